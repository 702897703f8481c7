//! Which hosts and failure domains this host believes alive.

use crate::clock::Millis;
use crate::name::DomainName;
use crate::peering::node::Node;
use crate::peering::observations::short_hash;
use crate::peering::timing::MEMBERS_WAIT;
use crate::peering::timing::SUMMARY_TTL;

/// The number of hosts that a host assumes before it has heard any: it then takes nothing from what
/// all hosts share.
const ASSUMED_HOSTS: usize = 1_000;

impl Node {
    /// Returns the number of hosts believed alive, this one included.
    pub fn host_count(&self, now: Millis) -> usize {
        let heard_in_domain = self
            .peers
            .values()
            .filter(|k| k.peer.domain == self.own.domain && k.is_heard(now))
            .count();
        let in_domain = if self.has_aggregator(now) {
            self.members_in_digest.max(heard_in_domain)
        } else {
            heard_in_domain
        };
        let others = self.domains.values().filter(|d| now.since(d.updated_at) < SUMMARY_TTL);
        in_domain + 1 + others.map(|d| usize::from(d.hosts)).sum::<usize>()
    }

    /// Returns the largest number of hosts believed alive at any time within the last `window`.
    ///
    /// What all hosts share is divided by it, so that a host that is cut off, or hosts that just
    /// left, do not make the shares add up to too much.
    pub fn sharing_count(&self, now: Millis, window: Millis) -> usize {
        if !self.is_aggregator && !self.has_aggregator(now) && self.host_counts.is_empty() {
            return ASSUMED_HOSTS;
        }
        let recent = self.host_counts.iter().filter(|(at, _)| now.since(*at) < window);
        recent.map(|(_, count)| *count).max().unwrap_or(1).max(self.host_count(now))
    }

    /// Returns the short hashes of the hosts of the own domain that were alive within the last
    /// `window`, this one included; none while this host does not know the others.
    pub fn domain_members(&self, now: Millis, window: Millis) -> Vec<u32> {
        let is_new = self.started_at.is_none_or(|at| now.since(at) < MEMBERS_WAIT);
        if is_new || !(self.is_aggregator || self.has_aggregator(now)) {
            return Vec::new();
        }
        let recent = self.members.iter().filter(|(_, at)| now.since(**at) < window);
        let own = short_hash(self.own.host.as_str());
        let mut members: Vec<u32> = recent.map(|(host, _)| *host).chain([own]).collect();
        members.sort_unstable();
        members.dedup();
        members
    }

    /// Returns the failure domains of which hosts are believed alive, the own one included.
    pub fn live_domains(&self, now: Millis) -> Vec<DomainName> {
        let live = self.domains.iter().filter(|(_, d)| now.since(d.updated_at) < SUMMARY_TTL);
        let live = live.map(|(domain, _)| domain.clone());
        live.chain([self.own.domain.clone()]).collect()
    }
}
