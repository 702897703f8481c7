//! Scenario files, which describe a deployment, the load of its callers and the faults.

mod check;
mod deployment;
mod fault;
mod load;

use std::fs;
use std::ops::Range;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;
use yuccanotch_core::finding::Finding;
use yuccanotch_core::finding::Findings;

use crate::error::LoadError;

pub use self::deployment::DeploymentSpec;
pub use self::deployment::ModelSpec;
pub use self::deployment::RouteSpec;
pub use self::deployment::ServiceSpec;
pub use self::deployment::TeamSpec;
pub use self::fault::EntryAction;
pub use self::fault::EntryStop;
pub use self::fault::FaultAction;
pub use self::fault::PeersAction;
pub use self::fault::TimedFault;
pub use self::load::CallLoad;
pub use self::load::ChatLoad;
pub use self::load::FloodSpec;

/// Shortest run, in seconds: throughput figures exclude the first second.
pub const MIN_SECONDS: u32 = 2;
/// Longest run, in seconds.
pub const MAX_SECONDS: u32 = 50;

/// A scenario as its JSON file describes it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Title of the report.
    pub title: String,
    /// Time during which requests arrive, in seconds.
    pub seconds: u32,
    /// Deployment that is started when no addresses of entry hosts are given.
    pub deployment: DeploymentSpec,
    /// Loads of model requests.
    #[serde(default)]
    pub chat: Vec<ChatLoad>,
    /// Loads of calls to plain services.
    #[serde(default)]
    pub calls: Vec<CallLoad>,
    /// Faults that are injected.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
    /// Highest accepted number of engine crashes, which requests with a mark may cause; `None` for
    /// no limit.
    #[serde(default)]
    pub max_crashes: Option<u64>,
    /// Team whose requests are a flood; the latency of the other teams during the flood is compared
    /// with that before it.
    #[serde(default)]
    pub flood: Option<FloodSpec>,
}

impl Scenario {
    /// Reads and checks a scenario file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read, or with all findings.
    pub fn read(path: &Path) -> Result<Self, LoadError> {
        let text = fs::read(path).map_err(|e| LoadError::File(path.to_owned(), e))?;
        Self::parse(&text).map_err(LoadError::Findings)
    }

    /// Parses and checks a scenario.
    ///
    /// # Errors
    ///
    /// Returns every finding with its JSON pointer.
    pub fn parse(text: &[u8]) -> Result<Self, Vec<Finding>> {
        let scenario: Self = serde_json::from_slice(text)
            .map_err(|e| vec![Finding { pointer: String::new(), text: e.to_string() }])?;
        let mut findings = Findings::new();
        scenario.check(&mut findings);
        findings.into_result(scenario)
    }

    /// Returns the time range in which a team sends model requests, in milliseconds since the start
    /// of the run; `None` when it sends none.
    pub fn flood_window_ms(&self, team: &str) -> Option<Range<u64>> {
        let loads = self.chat.iter().filter(|chat| chat.team == team);
        let from_ms = loads.clone().map(|chat| chat.from_ms).min()?;
        let end_ms = u64::from(self.seconds) * 1000;
        let to_ms = loads.map(|chat| chat.to_ms.unwrap_or(end_ms)).max()?;
        Some(from_ms..to_ms)
    }
}
