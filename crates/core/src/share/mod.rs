//! Shares of team limits over the entry hosts.
//!
//! Each limited team has a home among the entry hosts, which hands out shares of its limit by
//! demand, only to hosts on which the team is active. A host without an answer lets its last
//! share decay to an even split. A home that sees only a part of the hosts hands out at most
//! twice that part of the limit, so that the total stays within twice the limit however the
//! hosts are cut apart. Shares are limits of convenience: no promise rests on them.

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

/// The entry hosts as one of them sees them.
#[derive(Clone, Debug, Default)]
pub struct Cluster {
    /// Hosts that answer, this one included.
    pub reachable: Vec<HostName>,
    /// Hosts that exist, as far as is known, whether or not they can be reached.
    pub known_count: usize,
}

impl Cluster {
    /// Returns the part of `limit` that a home may hand out.
    fn grantable(&self, limit: MilliRate) -> MilliRate {
        let known = self.known_count.max(self.reachable.len()).max(1) as u64;
        let reachable = self.reachable.len().max(1) as u64;
        let grantable_hosts =
            if crate::defect::planted!(UnscaledShares) { known } else { 2 * reachable };
        MilliRate((limit.0 * grantable_hosts / known).min(limit.0))
    }

    /// Returns one host's part of `limit` when it is split evenly.
    fn even_split(&self, limit: MilliRate) -> MilliRate {
        MilliRate(limit.0 / self.known_count.max(self.reachable.len()).max(1) as u64)
    }
}
