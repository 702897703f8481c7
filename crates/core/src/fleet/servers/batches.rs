//! Updates that are due for other hosts, in batches of one message each.

use std::collections::HashMap;

use super::Now;
use super::ServerTable;
use crate::clock::Millis;
use crate::fleet::messages::DetailUpdate;
use crate::fleet::messages::HostListUpdate;
use crate::fleet::messages::LoadUpdate;
use crate::fleet::messages::ServerCondition;
use crate::fleet::messages::ShortId;
use crate::fleet::timing::Stamp;
use crate::fleet::timing::Timing;
use crate::name::DomainName;

/// Updates of backend servers and host list entries for one message.
#[derive(Debug, Default)]
pub(in crate::fleet) struct UpdateBatch {
    pub(in crate::fleet) loads: Vec<LoadUpdate>,
    pub(in crate::fleet) details: Vec<DetailUpdate>,
    pub(in crate::fleet) listed: Vec<HostListUpdate>,
}

/// Kinds of updates that are sent to other failure domains.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum UpdateKind {
    Detail,
    HostList,
    Load,
}

/// Time and stamp of the last update of each kind and name sent to one other failure domain.
#[derive(Clone, Debug, Default)]
pub(super) struct DomainSendLog(HashMap<(UpdateKind, ShortId), (Millis, Option<Stamp>)>);

impl DomainSendLog {
    /// Returns whether an update is due, because its stamp differs from the one last sent or its
    /// refresh period has passed, and records it as sent if so.
    fn mark_sent_if_due(
        &mut self,
        now: Now,
        kind: UpdateKind,
        id: ShortId,
        at: Option<Stamp>,
        timing: &Timing,
    ) -> bool {
        let refresh_period = match kind {
            UpdateKind::Load => timing.cross_domain_load_refresh_period,
            UpdateKind::Detail | UpdateKind::HostList => timing.cross_domain_detail_refresh_period,
        };
        let sent = self.0.get(&(kind, id));
        let due = sent
            .is_none_or(|(time, stamp)| now.time.since(*time) >= refresh_period || at != *stamp);
        if due {
            self.0.insert((kind, id), (now.time, at));
        }
        due
    }
}

impl ServerTable {
    /// Returns the updates that are due for a host of the own failure domain, least sent first,
    /// and counts them as sent.
    pub(in crate::fleet) fn take_local_batch(
        &mut self,
        stamp: Stamp,
        limit: u32,
        timing: &Timing,
    ) -> UpdateBatch {
        let mut batch = UpdateBatch::default();
        let mut due: Vec<_> = self
            .servers
            .values_mut()
            .filter(|record| record.load_sends < timing.max_load_sends)
            .collect();
        due.sort_by_key(|record| record.load_sends);
        for record in due.into_iter().take(timing.max_loads_per_message) {
            record.load_sends += 1;
            batch.loads.extend(record.load(stamp));
        }
        let mut due: Vec<_> =
            self.servers.values_mut().filter(|record| record.detail_sends < limit).collect();
        due.sort_by_key(|record| record.detail_sends);
        for record in due.into_iter().take(timing.max_details_per_message) {
            record.detail_sends += 1;
            batch.details.extend(record.detail(stamp));
        }
        for (name, listed) in self.listed.iter_mut().filter(|(_, listed)| listed.sends < limit) {
            listed.sends += 1;
            let age = stamp.age_of(listed.at);
            batch.listed.push(HostListUpdate { name: *name, age, leaving: listed.leaving });
        }
        batch
    }

    /// Returns the updates about servers of `own` and host list entries that are due for
    /// `remote_domain`, and records them as sent.
    pub(in crate::fleet) fn take_cross_domain_batch(
        &mut self,
        now: Now,
        own: &DomainName,
        remote_domain: &DomainName,
        timing: &Timing,
    ) -> UpdateBatch {
        let sent = self.send_logs.entry(remote_domain.clone()).or_default();
        let mut batch = UpdateBatch::default();
        let own_servers = self.servers.values().filter(|record| record.domain == *own);
        for record in own_servers.filter(|record| record.report.is_some()) {
            if batch.details.len() < timing.max_details_per_message
                && sent.mark_sent_if_due(
                    now,
                    UpdateKind::Detail,
                    record.id,
                    record.detail_stamp,
                    timing,
                )
            {
                batch.details.extend(record.detail(now.stamp));
            }
            // The load of a ready server has no stamp and is sent once in each refresh period, and
            // when the server has just become ready.
            let at = record.load_stamp.filter(|_| record.condition != ServerCondition::Ready);
            if batch.loads.len() < timing.max_loads_per_message
                && sent.mark_sent_if_due(now, UpdateKind::Load, record.id, at, timing)
            {
                batch.loads.extend(record.load(now.stamp));
            }
        }
        for (name, listed) in &self.listed {
            if sent.mark_sent_if_due(now, UpdateKind::HostList, *name, Some(listed.at), timing) {
                let age = now.stamp.age_of(listed.at);
                batch.listed.push(HostListUpdate { name: *name, age, leaving: listed.leaving });
            }
        }
        batch
    }

    /// Marks all updates as due for `remote_domain` again.
    pub(in crate::fleet) fn reset_cross_domain_sends(&mut self, remote_domain: &DomainName) {
        self.send_logs.remove(remote_domain);
    }

    /// Returns all updates, for a host that has just joined.
    pub(in crate::fleet) fn all_updates(&self, stamp: Stamp) -> UpdateBatch {
        let listed = self.listed.iter().map(|(name, listed)| HostListUpdate {
            name: *name,
            age: stamp.age_of(listed.at),
            leaving: listed.leaving,
        });
        UpdateBatch {
            loads: self.servers.values().filter_map(|record| record.load(stamp)).collect(),
            details: self.servers.values().filter_map(|record| record.detail(stamp)).collect(),
            listed: listed.collect(),
        }
    }
}
