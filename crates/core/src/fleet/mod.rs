//! Membership of entry hosts and observation of backend servers.

mod messages;

pub use messages::FleetMessage;
pub use messages::FleetReply;
