//! Events that drive admission and the actions that it asks for.

use smallvec::SmallVec;

use crate::clock::Millis;
use crate::config::Priority;
use crate::config::Team;
use crate::name::ModelName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::reason::RefusalReason;

/// What requests compete for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Pool {
    /// Places on the servers of a model.
    Model(ModelName),
    /// Places on the servers of a plain service.
    Service(ServiceName),
}

/// Identifies a request towards admission.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestKey(pub u64);

/// Share and limits of a team.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TeamTerms {
    /// Share against other teams, at least 1.
    pub weight: u32,
    /// Priority of the team's requests.
    pub priority: Priority,
    /// Requests per second on this host; `None` for no limit.
    pub requests_per_s: Option<u32>,
    /// Requests in flight on this host, waiting ones included; `None` for no limit.
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
    /// Request.
    pub key: RequestKey,
    /// What it competes for.
    pub pool: Pool,
    /// Team.
    pub team: TeamName,
    /// Share and limits of the team.
    pub terms: TeamTerms,
    /// Shortest time in which it is likely to be served once admitted.
    pub service_time: Millis,
    /// Time by which it has to be served.
    pub deadline: Millis,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request asks for admission.
    Arrive(Arrival),
    /// An admitted request ended.
    Finish(RequestKey),
    /// The caller of a waiting request went away.
    Abandon(RequestKey),
    /// A pool's limit of requests in flight changed.
    Limit(Pool, u32),
    /// Time passed.
    Tick,
}

/// Why and until when a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Denial {
    /// Why.
    pub reason: RefusalReason,
    /// When another try may succeed; `None` when waiting does not help.
    pub retry_after: Option<Millis>,
}

/// What has to be told to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// It may run.
    Admit(RequestKey),
    /// It is refused and did not run.
    Refuse(RequestKey, Denial),
}

/// Actions in the order in which they were decided.
pub type Actions = SmallVec<[Action; 2]>;

/// Bounds of admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionSettings {
    /// Most requests that wait, over all pools.
    pub max_queued: usize,
    /// Part of a pool that teams above their share leave free for others that were active
    /// lately, in percent.
    pub reserve_percent: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { max_queued: 256, reserve_percent: 10 }
    }
}
