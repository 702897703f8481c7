//! Membership of hosts and the spread of what they observe, with a bounded number of messages a
//! host.
//!
//! In each failure domain two hosts, the aggregators, collect the reports of all others and send
//! digests back. The aggregators of different domains exchange summaries. Every host chooses the
//! aggregators by the same ranking over the hosts that it believes alive. Two hosts may disagree
//! for a while: an additional aggregator costs messages and does no harm.

pub mod messages;
pub mod node;
pub mod observations;
pub mod ranking;
pub mod sim;
#[cfg(test)]
mod tests;
pub mod timing;
