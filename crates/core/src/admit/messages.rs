//! Inputs, outputs and settings of admission control.

use smallvec::SmallVec;

use crate::clock::Millis;
use crate::config::Priority;
use crate::config::Team;
use crate::name::ModelName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::reason::RefusalReason;

/// Group of backend servers whose capacity requests compete for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Pool {
    /// The servers of a model.
    Model(ModelName),
    /// The servers of a plain service.
    Service(ServiceName),
}

/// Identifies a request to admission control; unique on a host.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestKey(pub u64);

/// Weight, priority and limits of a team.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TeamTerms {
    /// Weight of the team against other teams in fair queueing; 0 counts as 1.
    pub weight: u32,
    /// Priority of the team's requests.
    pub priority: Priority,
    /// Most requests per second on this host; `None` for no limit.
    pub requests_per_s: Option<u32>,
    /// Most requests in flight on this host, including waiting ones; `None` for no limit.
    pub in_flight: Option<u32>,
}

impl From<&Team> for TeamTerms {
    fn from(team: &Team) -> Self {
        Self {
            weight: team.weight,
            priority: team.priority,
            requests_per_s: team.requests_per_s,
            in_flight: team.in_flight,
        }
    }
}

/// A request that asks for admission.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Identifies the request in later events and actions.
    pub key: RequestKey,
    /// Servers whose capacity it competes for.
    pub pool: Pool,
    /// Team that sent it.
    pub team: TeamName,
    /// Weight, priority and limits of the team.
    pub terms: TeamTerms,
    /// Shortest likely time from its admission to its end.
    pub service_time: Millis,
    /// Time by which it has to end.
    pub deadline: Millis,
}

/// Input to an [`crate::admit::AdmissionController`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A request asks for admission.
    Arrive(Arrival),
    /// An admitted request ended.
    Finish(RequestKey),
    /// The caller of a waiting request closed its connection.
    Abandon(RequestKey),
    /// A pool's limit of admitted requests changed.
    Limit(Pool, u32),
    /// Time passed; see [`crate::admit::AdmissionController::wake_at`].
    Tick,
}

/// Reason of a refusal, and the time after which the caller may retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Denial {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time from the refusal after which a retry may succeed; `None` when waiting does not help.
    pub retry_after: Option<Millis>,
}

/// Decision about a request, which the driver delivers to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// The request may run.
    Admit(RequestKey),
    /// The request is refused and did not run.
    Refuse(RequestKey, Denial),
}

/// Actions in the order in which they were decided.
pub type Actions = SmallVec<[Action; 2]>;

/// Settings of admission control.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionSettings {
    /// Most waiting requests over all pools.
    pub max_queued: usize,
    /// Largest part of a pool's limit that teams above their share leave free for teams that were
    /// active recently, in percent.
    pub reserve_percent: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { max_queued: 256, reserve_percent: 10 }
    }
}
