//! Rates that servers name: how many requests a second each takes from all hosts together.
//!
//! A host learns a server's rate from its answers or from other hosts. The rate is divided among a
//! few hosts, which all hosts choose alike from what they know of each other (`sharing`), so that no
//! messages are needed for each request and each share is large enough to be used. A host without a
//! share begins no request at the server. Only the first server of a chain gets requests from hosts;
//! the rates of the others do not matter.
//!
//! The newest answer to a request counts, whichever host got it. A rate ends when such an answer names
//! none, or with the server's incarnation.

mod messages;
mod sharing;
mod state;
#[cfg(test)]
mod tests;

pub use messages::LimitRow;
pub use messages::LimitRows;
pub use messages::RequestedLimit;
pub use sharing::own_share;
pub use sharing::sharing_domains;
pub use state::LimitChange;
pub use state::ServerLimits;
