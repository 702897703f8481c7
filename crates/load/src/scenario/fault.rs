//! Faults of scenarios.

use serde::Deserialize;
use serde::Serialize;
use yuccanotch_standin::FaultRequest;

/// A fault that begins at a fixed time, or at a random time within a range.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TimedFault {
    /// Earliest start, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// Latest start, in milliseconds; the start is drawn from the seed. `None` for exactly `at_ms`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to_ms: Option<u64>,
    /// Effect of the fault.
    #[serde(flatten)]
    pub action: FaultAction,
}

/// Effect of a fault.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(untagged)]
pub enum FaultAction {
    /// An entry host is stopped.
    Entry(EntryAction),
    /// The peer links of a failure domain's entry hosts are cut.
    Peers(PeersAction),
    /// The stand-ins inject a fault.
    Standin(FaultRequest),
}

/// How an entry host is stopped.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryStop {
    /// Immediately, as by a crash.
    Kill,
    /// Gracefully, after its requests in flight.
    Drain,
}

/// Stops an entry host and restarts it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryAction {
    /// How the host is stopped.
    pub entry: EntryStop,
    /// Index of the entry host in the deployment.
    pub index: usize,
    /// Time until the restart, in milliseconds; 0 for no restart.
    #[serde(default)]
    pub for_ms: u64,
}

/// Cuts the peer links between the entry hosts of a failure domain and all other entry hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeersAction {
    /// Name of the failure domain.
    pub peers_cut: String,
    /// Duration, in milliseconds.
    pub for_ms: u64,
}

impl TimedFault {
    /// Returns a short description for reports.
    pub fn label(&self) -> String {
        match &self.action {
            FaultAction::Entry(entry) => match entry.entry {
                EntryStop::Kill => format!("entry {} killed", entry.index),
                EntryStop::Drain => format!("entry {} drained", entry.index),
            },
            FaultAction::Peers(peers) => format!("peer links of {} cut", peers.peers_cut),
            FaultAction::Standin(req) => {
                let value = serde_json::to_value(&req.fault).unwrap_or_default();
                let text = |key: &str| value[key].as_str().unwrap_or_default().to_owned();
                format!("{} {}", text("fault"), text("target")).trim().to_owned()
            }
        }
    }

    /// Returns the duration of the fault, in milliseconds.
    pub fn duration_ms(&self) -> u64 {
        match &self.action {
            FaultAction::Entry(entry) => entry.for_ms,
            FaultAction::Peers(peers) => peers.for_ms,
            FaultAction::Standin(req) => req.for_ms,
        }
    }
}
