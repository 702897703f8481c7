//! At-most-once execution of calls that may not be repeated.

mod messages;

pub use messages::ClaimMessage;
pub use messages::ClaimReply;
