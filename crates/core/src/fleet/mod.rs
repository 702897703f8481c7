//! Membership of entry hosts and observation of backend servers.
//!
//! Hosts of a failure domain probe a few random peers, directly and through others, and spread
//! changes with the probes. Each backend server is observed by two hosts of its domain. A few
//! hosts of each domain keep links to the other domains. Nothing here carries a promise: all of
//! it may be late or wrong without harm beyond a slower route.

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
