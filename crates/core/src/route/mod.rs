//! Chooses a chain of backend servers for each attempt of a request.
//!
//! A [`Router`] holds a view of the servers that lags behind. It corrects the view by the host's
//! own runs that reports do not show yet, and learns from the host's own answers which servers and
//! links are slower than reported. [`Router::choose`] finds the chain with the shortest expected
//! time out of a random sample, so that hosts with the same view do not all pick the same servers.

mod fixed;
mod messages;
mod outlier;
mod path;
mod prefix;
mod router;
mod sample;
mod server;
mod stats;
mod table;
mod version;

#[cfg(test)]
mod tests;

pub use messages::ChainChoice;
pub use messages::ChainQuery;
pub use messages::Policy;
pub use messages::ServerInput;
pub use messages::StageCapacity;
pub use messages::Verdict;
pub use router::Router;
