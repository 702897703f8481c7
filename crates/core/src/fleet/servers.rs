//! Table of the backend servers: last observations, and updates that are still to be sent.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use super::messages::DetailUpdate;
use super::messages::HostListUpdate;
use super::messages::LoadUpdate;
use super::messages::ServerCondition;
use super::messages::ShortId;
use super::timing::Stamp;
use super::timing::Timing;
use crate::clock::Millis;
use crate::engine::LoadReport;
use crate::name::DomainName;
use crate::name::ServerName;

/// Consecutive failed observations after which a server counts as silent.
const SILENT_AFTER_FAILURES: u32 = 2;
/// Most links to other servers in the update of one server.
const MAX_LINKS_PER_UPDATE: usize = 32;
/// Most names whose host list entry is stored.
const MAX_HOST_LIST_ENTRIES: usize = 2_048;

/// A backend server as the configuration declares it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeclaredServer {
    /// Name of the server.
    pub name: ServerName,
    /// Failure domain of the server.
    pub domain: DomainName,
}

/// Last known state of a backend server.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    /// Failure domain of the server.
    pub domain: DomainName,
    /// Last load report; `None` before the first one.
    pub report: Option<Arc<LoadReport>>,
    /// Time of the last load observation on this host's clock.
    pub observed_at: Millis,
    /// Availability that the server's observers concluded.
    pub condition: ServerCondition,
    id: ShortId,
    /// Stamp of the last load observation.
    load_stamp: Option<Stamp>,
    /// Stamp of the observation in which the details last changed.
    detail_stamp: Option<Stamp>,
    /// Number of messages that carried the current load; `u32::MAX` before there is one.
    load_sends: u32,
    /// Number of messages that carried the current details; `u32::MAX` before there are any.
    detail_sends: u32,
    /// Number of consecutive failed observations by this host.
    failures: u32,
    /// Last load that this host started to send, and when.
    last_spread: Option<(LoadUpdate, Millis)>,
}

impl ServerRecord {
    fn new(declared: &DeclaredServer) -> Self {
        Self {
            domain: declared.domain.clone(),
            report: None,
            observed_at: Millis::ZERO,
            condition: ServerCondition::Ready,
            id: ShortId::of(declared.name.as_str()),
            load_stamp: None,
            detail_stamp: None,
            load_sends: u32::MAX,
            detail_sends: u32::MAX,
            failures: 0,
            last_spread: None,
        }
    }

    fn load(&self, stamp: Stamp) -> Option<LoadUpdate> {
        let report = self.report.as_ref()?;
        Some(LoadUpdate {
            server: self.id,
            age: stamp.age_of(self.load_stamp?),
            running: report.running,
            waiting: report.waiting,
            step_us: report.step_us,
            kv_percent: report.kv_percent,
            condition: self.condition,
        })
    }

    fn detail(&self, stamp: Stamp) -> Option<DetailUpdate> {
        let report = self.report.as_ref()?;
        let links = report.links_us.iter().take(MAX_LINKS_PER_UPDATE);
        Some(DetailUpdate {
            server: self.id,
            age: stamp.age_of(self.detail_stamp?),
            boot: report.boot,
            slots: report.slots,
            role: report.role,
            holdings: report.holdings.clone(),
            fencing: report.fencing,
            links_us: links.map(|(name, us)| (ShortId::of(name.as_str()), *us)).collect(),
        })
    }
}

/// Current time on the host's monotonic clock and as a stamp.
#[derive(Clone, Copy, Debug)]
pub(super) struct Now {
    pub(super) time: Millis,
    pub(super) stamp: Stamp,
}

/// Updates of backend servers and host list entries for one message.
#[derive(Debug, Default)]
pub(super) struct UpdateBatch {
    pub(super) loads: Vec<LoadUpdate>,
    pub(super) details: Vec<DetailUpdate>,
    pub(super) listed: Vec<HostListUpdate>,
}

#[derive(Clone, Copy, Debug)]
struct HostListEntry {
    leaving: bool,
    at: Stamp,
    sends: u32,
}

/// Kinds of updates that are sent to other failure domains.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum UpdateKind {
    Detail,
    HostList,
    Load,
}

/// Time and stamp of the last update of each kind and name sent to one other failure domain.
#[derive(Clone, Debug, Default)]
struct DomainSendLog(HashMap<(UpdateKind, ShortId), (Millis, Option<Stamp>)>);

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

/// Declared backend servers with the updates that are still to be sent about them.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerTable {
    servers: BTreeMap<ServerName, ServerRecord>,
    names: HashMap<ShortId, ServerName>,
    listed: HashMap<ShortId, HostListEntry>,
    send_logs: BTreeMap<DomainName, DomainSendLog>,
    version: u64,
}

impl ServerTable {
    /// Replaces the set of servers by the declared ones and keeps the records of servers that
    /// remain in the same failure domain.
    ///
    /// Returns whether any server is new.
    pub(super) fn declare(&mut self, declared: &[DeclaredServer]) -> bool {
        let mut old = std::mem::take(&mut self.servers);
        let mut has_new = false;
        self.names.clear();
        self.send_logs.clear();
        for server in declared {
            let kept = old.remove(&server.name).filter(|old| old.domain == server.domain);
            has_new |= kept.is_none();
            let record = kept.unwrap_or_else(|| ServerRecord::new(server));
            self.names.insert(record.id, server.name.clone());
            self.servers.insert(server.name.clone(), record);
        }
        self.version += 1;
        has_new
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&ServerName, &ServerRecord)> {
        self.servers.iter()
    }

    /// Returns whether there is a server without a load report.
    pub(super) fn is_incomplete(&self) -> bool {
        self.servers.values().any(|record| record.report.is_none())
    }

    pub(super) fn get(&self, name: &ServerName) -> Option<&ServerRecord> {
        self.servers.get(name)
    }

    /// Returns a number that increases with each change of the table.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn is_listed_leaving(&self, name: &str) -> bool {
        self.listed.get(&ShortId::of(name)).is_some_and(|listed| listed.leaving)
    }

    /// Records an observation by this host; `report` is `None` when the server did not answer.
    ///
    /// Returns whether other hosts have to be told at once, which is when the server's condition
    /// changed.
    pub(super) fn observe(
        &mut self,
        now: Now,
        name: &ServerName,
        report: Option<LoadReport>,
        timing: &Timing,
    ) -> bool {
        let Some(record) = self.servers.get_mut(name) else {
            return false;
        };
        let old = record.condition;
        match report {
            Some(report) => record_report(now, record, report),
            None => {
                record.failures += 1;
                if record.failures < SILENT_AFTER_FAILURES {
                    return false;
                }
                record.condition = ServerCondition::Silent;
                record.observed_at = now.time;
            }
        }
        record.load_stamp = Some(next_stamp(record.load_stamp, now.stamp));
        self.version += 1;
        let Some(load) = record.load(now.stamp) else {
            return false;
        };
        let last_spread = record.last_spread.as_ref();
        if last_spread.is_none_or(|(last, at)| {
            now.time.since(*at) >= timing.load_refresh_period
                || load_differs(last, &load, slots_of(record))
        }) {
            record.last_spread = Some((load, now.time));
            record.load_sends = 0;
        }
        record.condition != old
    }

    /// Applies a load update from another host; returns whether it has to be forwarded at once,
    /// which is when the server's condition changed.
    pub(super) fn apply_load(&mut self, now: Now, sent: Stamp, load: &LoadUpdate) -> bool {
        let Some(record) = self.record_mut(load.server) else {
            return false;
        };
        let at = sent.before(load.age);
        if record.load_stamp.is_some_and(|held| !at.is_after(held)) {
            return false;
        }
        let Some(report) = record.report.as_mut().map(Arc::make_mut) else {
            return false;
        };
        report.running = load.running;
        report.waiting = load.waiting;
        report.step_us = load.step_us;
        report.kv_percent = load.kv_percent;
        let old = record.condition;
        if !crate::defect::planted!(IgnoreSpreadLeaving) {
            record.condition = load.condition;
            report.leaving = load.condition == ServerCondition::Leaving;
        }
        record.load_stamp = Some(at);
        record.observed_at = now.time - now.stamp.age_of(at).span();
        record.load_sends = 0;
        record.last_spread = Some((*load, now.time));
        let urgent = record.condition != old;
        self.version += 1;
        urgent
    }

    /// Applies a detail update from another host.
    pub(super) fn apply_detail(&mut self, sent: Stamp, detail: &DetailUpdate) {
        let names = &self.names;
        let links = detail.links_us.iter().take(MAX_LINKS_PER_UPDATE);
        let links_us = links.filter_map(|(id, us)| Some((names.get(id)?.clone(), *us))).collect();
        let Some(name) = self.names.get(&detail.server).cloned() else {
            return;
        };
        let Some(record) = self.servers.get_mut(&name) else {
            return;
        };
        let at = sent.before(detail.age);
        if record.detail_stamp.is_some_and(|held| !at.is_after(held)) {
            return;
        }
        let old = record.report.take();
        let load = old.as_ref();
        record.report = Some(Arc::new(LoadReport {
            server: name,
            boot: detail.boot,
            age_ms: Millis::ZERO,
            running: load.map_or(0, |load| load.running),
            waiting: load.map_or(0, |load| load.waiting),
            slots: detail.slots,
            step_us: load.map_or(0, |load| load.step_us),
            kv_percent: load.map_or(0, |load| load.kv_percent),
            leaving: record.condition == ServerCondition::Leaving,
            holdings: detail.holdings.clone(),
            role: detail.role,
            fencing: detail.fencing,
            links_us,
        }));
        record.detail_stamp = Some(at);
        record.detail_sends = 0;
        self.version += 1;
    }

    /// Applies a host list entry read at `at`; returns whether it changed and so has to be
    /// forwarded at once.
    pub(super) fn apply_listed(&mut self, name: ShortId, leaving: bool, at: Stamp) -> bool {
        let known = self.listed.get(&name);
        let changed = known.map_or(leaving, |known| known.leaving != leaving);
        if !changed || known.is_some_and(|known| !at.is_after(known.at)) {
            return false;
        }
        if known.is_none() && self.listed.len() >= MAX_HOST_LIST_ENTRIES {
            return false;
        }
        self.listed.insert(name, HostListEntry { leaving, at, sends: 0 });
        self.version += 1;
        true
    }

    pub(super) fn apply_listed_update(&mut self, sent: Stamp, update: &HostListUpdate) -> bool {
        self.apply_listed(update.name, update.leaving, sent.before(update.age))
    }

    /// Returns the updates that are due for a host of the own failure domain, least sent first,
    /// and counts them as sent.
    pub(super) fn take_local_batch(
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
    pub(super) fn take_cross_domain_batch(
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
    pub(super) fn reset_cross_domain_sends(&mut self, remote_domain: &DomainName) {
        self.send_logs.remove(remote_domain);
    }

    /// Returns all updates, for a host that has just joined.
    pub(super) fn all_updates(&self, stamp: Stamp) -> UpdateBatch {
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

    fn record_mut(&mut self, id: ShortId) -> Option<&mut ServerRecord> {
        let name = self.names.get(&id)?;
        self.servers.get_mut(name)
    }
}

fn slots_of(record: &ServerRecord) -> u32 {
    record.report.as_ref().map_or(0, |report| report.slots)
}

/// Returns the stamp of a new observation by this host, which is always after the held one.
fn next_stamp(held: Option<Stamp>, now: Stamp) -> Stamp {
    match held {
        Some(held) if !now.is_after(held) => held.next(),
        _ => now,
    }
}

fn record_report(now: Now, record: &mut ServerRecord, report: LoadReport) {
    record.failures = 0;
    record.condition =
        if report.leaving { ServerCondition::Leaving } else { ServerCondition::Ready };
    let changed = record.report.as_ref().is_none_or(|old| detail_differs(old, &report));
    if changed {
        record.detail_stamp = Some(next_stamp(record.detail_stamp, now.stamp));
        record.detail_sends = 0;
    }
    record.observed_at = now.time - report.age_ms;
    record.report = Some(Arc::new(LoadReport { age_ms: Millis::ZERO, ..report }));
}

fn detail_differs(old: &LoadReport, new: &LoadReport) -> bool {
    let links_differ = || {
        old.links_us.len() != new.links_us.len()
            || old.links_us.iter().zip(&new.links_us).any(|((old_name, old_us), (name, us))| {
                old_name != name || differs_by_quarter(*old_us, *us)
            })
    };
    old.boot != new.boot
        || old.slots != new.slots
        || old.role != new.role
        || old.holdings != new.holdings
        || old.fencing != new.fencing
        || links_differ()
}

fn differs_by_quarter(old: u32, new: u32) -> bool {
    old.abs_diff(new) > old.min(new) / 4
}

/// Returns whether a load differs enough from the one that was sent last to be sent again.
fn load_differs(old: &LoadUpdate, new: &LoadUpdate, slots: u32) -> bool {
    let runs = |load: &LoadUpdate| load.running + load.waiting;
    old.condition != new.condition
        || runs(old).abs_diff(runs(new)) > slots / 8
        || differs_by_quarter(old.step_us, new.step_us)
        || old.kv_percent.abs_diff(new.kv_percent) > 10
}
