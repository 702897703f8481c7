//! Requests that crash backend servers.

mod messages;

pub use messages::QuarantineMessage;
pub use messages::QuarantineReply;
