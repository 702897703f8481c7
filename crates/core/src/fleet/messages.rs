//! Messages between entry hosts about membership and backend servers.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use super::timing::Age;
use super::timing::Stamp;
use crate::engine::Holding;
use crate::engine::Role;
use crate::ids::FencingNumber;
use crate::ids::Incarnation;
use crate::name::DomainName;
use crate::name::HostName;

/// State of an entry host; within one incarnation and round, a later variant replaces an earlier
/// one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberState {
    /// The host answers probes.
    Alive,
    /// The host has announced that it is stopping.
    Leaving,
    /// The host did not answer a probe and can still refute the suspicion.
    Suspect,
    /// The host did not refute the suspicion in time.
    Dead,
}

/// Identity and state of an entry host, as sent between hosts.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// Name of the host.
    pub host: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address at which other entry hosts reach it.
    pub address: SocketAddr,
    /// Incarnation of the host's process.
    pub incarnation: Incarnation,
    /// Counter that the host itself raises within its incarnation, to refute a wrong state or to
    /// announce that it is leaving.
    pub round: u32,
    /// State of the host.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Returns whether this update replaces `held`.
    pub fn supersedes(&self, held: &Self) -> bool {
        let order = |update: &Self| (update.incarnation, update.round, update.state);
        order(self) > order(held)
    }
}

/// Stable hash of a name, which replaces the name in updates that are sent often.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ShortId(pub u32);

impl ShortId {
    /// Computes the identifier of a name.
    pub fn of(name: &str) -> Self {
        Self(crate::digest::fast_hash(name.as_bytes()) as u32)
    }
}

/// Load of a backend server, sent whenever it changes by more than a threshold.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadUpdate {
    /// Server that was observed.
    pub server: ShortId,
    /// Age of the observation at the message's stamp.
    pub age: Age,
    /// Number of runs in progress.
    pub running: u32,
    /// Number of runs that wait for a slot.
    pub waiting: u32,
    /// Time for one token through the server's layers, in microseconds.
    pub step_us: u32,
    /// KV cache in use, in percent.
    pub kv_percent: u8,
    /// Availability that the server's observer concluded.
    pub condition: ServerCondition,
}

/// Availability of a backend server as its observer concluded it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum ServerCondition {
    /// The server accepts new work.
    #[default]
    Ready,
    /// The server reports that it accepts no new work.
    Leaving,
    /// The server does not answer its observer.
    Silent,
}

/// Properties of a backend server that rarely change, sent when they change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DetailUpdate {
    /// Server that was observed.
    pub server: ShortId,
    /// Age of the observation at the message's stamp.
    pub age: Age,
    /// Identifier of the server's process, which changes with each restart.
    pub boot: u64,
    /// Most runs that the server executes at a time.
    pub slots: u32,
    /// Role of the server in a chain.
    pub role: Role,
    /// Models, layers and adapters that the server has loaded.
    pub holdings: SmallVec<[Holding; 2]>,
    /// Highest fencing number that the server has seen; `None` when it ignores fencing numbers.
    pub fencing: Option<FencingNumber>,
    /// One-way delay of the links to other servers, in microseconds.
    pub links_us: Vec<(ShortId, u32)>,
}

/// Whether the platform's host list shows a host or backend server as leaving.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostListUpdate {
    /// Entry host or backend server of the host list.
    pub name: ShortId,
    /// Age of the reading at the message's stamp.
    pub age: Age,
    /// Whether the list shows it as leaving.
    pub leaving: bool,
}

/// Time at which another failure domain last answered a host of the sender's failure domain.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReachabilityUpdate {
    /// Failure domain that answered.
    pub domain: ShortId,
    /// Age of the answer at the message's stamp.
    pub age: Age,
}

/// Changes that a message carries; each list has a maximum length in [`super::Timing`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gossip {
    /// Time at the sender that the ages refer to.
    pub stamp: Stamp,
    /// Digest of the sender's member table, by which the receiver detects missed changes.
    pub digest: u64,
    /// Changes of entry hosts.
    pub members: SmallVec<[MemberUpdate; 1]>,
    /// Reachability of other failure domains; sent only within one failure domain.
    pub heard: SmallVec<[ReachabilityUpdate; 4]>,
    /// Loads of backend servers.
    pub loads: Vec<LoadUpdate>,
    /// Properties of backend servers that rarely change.
    pub details: Vec<DetailUpdate>,
    /// Changes of the host list.
    pub listed: Vec<HostListUpdate>,
}

/// A request about membership or backend servers to another entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetMessage {
    /// Asks whether the receiver is alive.
    Probe(Gossip),
    /// Asks the receiver to probe a host that did not answer the sender.
    ProbeFor(HostName),
    /// Reports that a host answered a probe that was sent on the receiver's behalf.
    Reached(HostName),
    /// Forwards urgent changes outside the regular probes.
    Rumor(Gossip),
    /// Sends the complete member table and asks for the receiver's.
    Sync {
        /// The sender's member table.
        members: Vec<MemberUpdate>,
        /// Whether the sender asks for the updates of all backend servers as well.
        servers: bool,
    },
}

/// The answer to a [`FleetMessage`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetReply {
    /// The sender is alive.
    Ack(Gossip),
    /// The message was processed.
    Noted,
    /// Complete tables, in answer to [`FleetMessage::Sync`].
    Tables {
        /// The sender's member table.
        members: Vec<MemberUpdate>,
        /// Updates of all backend servers; empty when they were not asked for.
        servers: Gossip,
    },
}
