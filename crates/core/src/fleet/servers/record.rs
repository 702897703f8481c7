//! Last known state of one backend server, and when it differs enough to be sent again.

use std::sync::Arc;

use super::Now;
use crate::clock::Millis;
use crate::engine::LoadReport;
use crate::fleet::messages::DetailUpdate;
use crate::fleet::messages::LoadUpdate;
use crate::fleet::messages::ServerCondition;
use crate::fleet::messages::ShortId;
use crate::fleet::timing::Stamp;
use crate::name::DomainName;
use crate::name::ServerName;

/// Most links to other servers in the update of one server.
pub(super) const MAX_LINKS_PER_UPDATE: usize = 32;

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
    pub(super) id: ShortId,
    /// Stamp of the last load observation.
    pub(super) load_stamp: Option<Stamp>,
    /// Stamp of the observation in which the details last changed.
    pub(super) detail_stamp: Option<Stamp>,
    /// Number of messages that carried the current load; `u32::MAX` before there is one.
    pub(super) load_sends: u32,
    /// Number of messages that carried the current details; `u32::MAX` before there are any.
    pub(super) detail_sends: u32,
    /// Number of consecutive failed observations by this host.
    pub(super) failures: u32,
    /// Last load that this host started to send, and when.
    pub(super) last_spread: Option<(LoadUpdate, Millis)>,
}

impl ServerRecord {
    /// Creates the record of a server that has not been observed.
    pub(super) fn new(declared: &DeclaredServer) -> Self {
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

    /// Returns the update of the load; `None` before there is one.
    pub(super) fn load(&self, stamp: Stamp) -> Option<LoadUpdate> {
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

    /// Returns the update of the details; `None` before there are any.
    pub(super) fn detail(&self, stamp: Stamp) -> Option<DetailUpdate> {
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

/// Records a load report that this host has read.
pub(super) fn record_report(now: Now, record: &mut ServerRecord, report: LoadReport) {
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

/// Returns the stamp of a new observation by this host, which is always after the held one.
pub(super) fn next_stamp(held: Option<Stamp>, now: Stamp) -> Stamp {
    match held {
        Some(held) if !now.is_after(held) => held.next(),
        _ => now,
    }
}

/// Returns the slots of a server; 0 before its first report.
pub(super) fn slots_of(record: &ServerRecord) -> u32 {
    record.report.as_ref().map_or(0, |report| report.slots)
}

/// Returns whether a load differs enough from the one that was sent last to be sent again.
pub(super) fn load_differs(old: &LoadUpdate, new: &LoadUpdate, slots: u32) -> bool {
    let runs = |load: &LoadUpdate| load.running + load.waiting;
    old.condition != new.condition
        || runs(old).abs_diff(runs(new)) > slots / 8
        || differs_by_quarter(old.step_us, new.step_us)
        || old.kv_percent.abs_diff(new.kv_percent) > 10
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
