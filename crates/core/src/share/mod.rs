//! Shares of team limits over the entry hosts.

mod messages;

pub use messages::ShareMessage;
pub use messages::ShareReply;
