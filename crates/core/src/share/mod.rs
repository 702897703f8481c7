//! Distribution of the teams' request limits over the entry hosts.
//!
//! Each team with a request limit has a home, one of the entry hosts. The other hosts report the
//! team's demand to its home, which grants each host on which the team is active a share of the
//! limit according to demand. On a host whose reports get no answer, the last share decays to an
//! even split of the limit. A home that reaches only a fraction of the hosts grants at most twice
//! that fraction of the limit, so that the total stays within twice the limit however the network
//! is partitioned. Shares are approximate: no guarantee depends on them.

mod home;
mod messages;
mod node;

#[cfg(test)]
mod tests;

pub use messages::Demand;
pub use messages::Grant;
pub use messages::MilliRate;
pub use messages::ShareMessage;
pub use messages::ShareReply;
pub use messages::TeamId;
pub use node::ShareNode;

use crate::name::HostName;

/// The entry hosts that one entry host knows.
#[derive(Clone, Debug, Default)]
pub struct Cluster {
    /// Hosts that can be reached, this one included.
    pub reachable: Vec<HostName>,
    /// Number of hosts known to exist, whether or not they can be reached.
    pub known_count: usize,
}

impl Cluster {
    /// Returns the part of `limit` that a home may grant in total.
    fn grantable(&self, limit: MilliRate) -> MilliRate {
        let known = self.known_count.max(self.reachable.len()).max(1) as u64;
        let reachable = self.reachable.len().max(1) as u64;
        let grantable_hosts =
            if crate::defect::planted!(UnscaledShares) { known } else { 2 * reachable };
        MilliRate((limit.0 * grantable_hosts / known).min(limit.0))
    }

    /// Returns one host's part of `limit` if it is split evenly over the known hosts.
    fn even_split(&self, limit: MilliRate) -> MilliRate {
        MilliRate(limit.0 / self.known_count.max(self.reachable.len()).max(1) as u64)
    }
}
