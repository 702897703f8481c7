//! Messages between entry hosts.

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

/// State of an entry host, in rising precedence within one incarnation and round.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberState {
    /// The host answers.
    Alive,
    /// The host is stopping and said so itself.
    Leaving,
    /// The host did not answer a probe and may still refute this.
    Suspect,
    /// The host did not refute the suspicion in time.
    Dead,
}

/// What is known of an entry host.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// Host.
    pub host: HostName,
    /// Failure domain.
    pub domain: DomainName,
    /// Address for other entry hosts.
    pub address: SocketAddr,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Counts the host's own refutations within its incarnation.
    pub round: u32,
    /// State.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Returns whether this update replaces `held`.
    pub fn supersedes(&self, held: &Self) -> bool {
        let order = |update: &Self| (update.incarnation, update.round, update.state);
        order(self) > order(held)
    }
}

/// Stable short identifier of a name, for updates that are sent often.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ShortId(pub u32);

impl ShortId {
    /// Computes the identifier of a name.
    pub fn of(name: &str) -> Self {
        Self(crate::digest::fast_hash(name.as_bytes()) as u32)
    }
}

/// Load of a backend server, sent whenever it changes noticeably.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadUpdate {
    /// Server.
    pub server: ShortId,
    /// Age of the observation at the message's stamp.
    pub age: Age,
    /// Runs in progress.
    pub running: u32,
    /// Runs waiting.
    pub waiting: u32,
    /// Time for one token through the server's layers, in microseconds.
    pub step_us: u32,
    /// KV cache in use, in percent.
    pub kv_percent: u8,
    /// What the server's observer concluded.
    pub condition: ServerCondition,
}

/// What an observer concluded about a backend server.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum ServerCondition {
    /// The server takes work.
    #[default]
    Ready,
    /// The server reports that it takes no new work.
    Leaving,
    /// The server does not answer its observer.
    Silent,
}

/// What a backend server holds, sent when it changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DetailUpdate {
    /// Server.
    pub server: ShortId,
    /// Age of the observation at the message's stamp.
    pub age: Age,
    /// Process of the server.
    pub boot: u64,
    /// Most runs in progress.
    pub slots: u32,
    /// Role.
    pub role: Role,
    /// What it holds.
    pub holdings: SmallVec<[Holding; 2]>,
    /// Highest fencing number seen; `None` when the server ignores them.
    pub fencing: Option<FencingNumber>,
    /// One-way delay of the links to other servers, in microseconds.
    pub links_us: Vec<(ShortId, u32)>,
}

/// Whether the platform's host list shows a host or backend server as leaving.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostListUpdate {
    /// Entry host or backend server.
    pub name: ShortId,
    /// Age of the reading at the message's stamp.
    pub age: Age,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// When a failure domain last answered a host of the sender's domain.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReachabilityUpdate {
    /// Failure domain.
    pub domain: ShortId,
    /// Age of the answer at the message's stamp.
    pub age: Age,
}

/// Changes that travel with each message, bounded in number.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gossip {
    /// The sender's time, which the ages refer to.
    pub stamp: Stamp,
    /// Digest of the sender's member table.
    pub digest: u64,
    /// Changes of entry hosts.
    pub members: SmallVec<[MemberUpdate; 1]>,
    /// Reachability of other failure domains, among hosts of one domain.
    pub heard: SmallVec<[ReachabilityUpdate; 4]>,
    /// Loads of backend servers.
    pub loads: Vec<LoadUpdate>,
    /// Holdings of backend servers.
    pub details: Vec<DetailUpdate>,
    /// Changes of the host list.
    pub listed: Vec<HostListUpdate>,
}

/// A request of this slice to another entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetMessage {
    /// Asks whether the receiver is alive.
    Probe(Gossip),
    /// Asks the receiver to probe a host that did not answer the sender.
    ProbeFor(HostName),
    /// Tells that a host answered a probe made on the receiver's behalf.
    Reached(HostName),
    /// Passes on urgent changes.
    Rumor(Gossip),
    /// Exchanges whole member tables.
    Sync {
        /// The sender's member table.
        members: Vec<MemberUpdate>,
        /// Whether the sender wants all backend servers as well.
        servers: bool,
    },
}

/// The answer to a [`FleetMessage`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetReply {
    /// The sender is alive.
    Ack(Gossip),
    /// The message was taken.
    Noted,
    /// Whole tables.
    Tables {
        /// The sender's member table.
        members: Vec<MemberUpdate>,
        /// All backend servers, when they were asked for.
        servers: Gossip,
    },
}
