//! Gossip membership of entry hosts and observation of backend servers.
//!
//! The entry hosts of a failure domain probe random peers, directly and through other hosts, and
//! send changes along with the probes. Two hosts of its failure domain observe each backend
//! server, and two hosts of each failure domain probe every other failure domain. No correctness
//! guarantee depends on this state: stale or wrong entries only lead to slower routes.

mod assignments;
mod gossip;
mod members;
mod messages;
mod node;
mod probe;
mod servers;
mod timing;

#[cfg(test)]
mod tests;

pub use members::Member;
pub use members::MAX_MEMBERS;
pub use messages::DetailUpdate;
pub use messages::FleetMessage;
pub use messages::FleetReply;
pub use messages::Gossip;
pub use messages::HostListUpdate;
pub use messages::LoadUpdate;
pub use messages::MemberState;
pub use messages::MemberUpdate;
pub use messages::ReachabilityUpdate;
pub use messages::ServerCondition;
pub use messages::ShortId;
pub use node::FleetAction;
pub use node::FleetEvent;
pub use node::FleetNode;
pub use node::HostIdentity;
pub use servers::DeclaredServer;
pub use servers::ServerRecord;
pub use timing::Age;
pub use timing::Stamp;
pub use timing::Timing;
