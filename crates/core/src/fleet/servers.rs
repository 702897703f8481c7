//! Table of the backend servers: last observations, and updates that are still to be sent.

mod batches;
mod record;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use self::batches::DomainSendLog;
use self::record::load_differs;
use self::record::next_stamp;
use self::record::record_report;
use self::record::slots_of;
use self::record::MAX_LINKS_PER_UPDATE;
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

pub(super) use self::batches::UpdateBatch;

pub use self::record::DeclaredServer;
pub use self::record::ServerRecord;

/// Consecutive failed observations after which a server counts as silent.
const SILENT_AFTER_FAILURES: u32 = 2;
/// Most names whose host list entry is stored.
const MAX_HOST_LIST_ENTRIES: usize = 2_048;

/// Current time on the host's monotonic clock and as a stamp.
#[derive(Clone, Copy, Debug)]
pub(super) struct Now {
    pub(super) time: Millis,
    pub(super) stamp: Stamp,
}

#[derive(Clone, Copy, Debug)]
struct HostListEntry {
    leaving: bool,
    at: Stamp,
    sends: u32,
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

    fn record_mut(&mut self, id: ShortId) -> Option<&mut ServerRecord> {
        let name = self.names.get(&id)?;
        self.servers.get_mut(name)
    }
}
