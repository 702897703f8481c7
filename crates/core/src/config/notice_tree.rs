//! Selects the hosts of a failure domain that watch the store and those that each host notifies of
//! a new configuration number.
//!
//! The members are ordered by rendezvous weight. The first two watch the store and are the roots of
//! a tree along which each host notifies a few others. While hosts have different views of the
//! members, a host may be notified twice or not at all; a host without a notice learns the number
//! from the header of another peer message.

use smallvec::SmallVec;

use crate::digest::fast_hash;
use crate::digest::rendezvous_weight;
use crate::name::DomainName;
use crate::name::HostName;

/// Number of hosts of a failure domain that watch the store.
pub const STORE_WATCHERS: usize = 2;
/// Maximum number of hosts that each host notifies of a new number, besides the other watchers.
pub const NOTICE_FANOUT: usize = 4;

/// Returns the members of a failure domain by descending rendezvous weight, without duplicates.
fn rendezvous_order<'a>(domain: &DomainName, members: &'a [HostName]) -> Vec<&'a HostName> {
    let key = fast_hash(domain.as_str().as_bytes());
    let mut order: Vec<&HostName> = members.iter().collect();
    order.sort_by_key(|host| {
        (std::cmp::Reverse(rendezvous_weight(key, host.as_str())), host.as_str())
    });
    order.dedup();
    order
}

/// Returns whether the host `own` watches the store for its failure domain.
pub fn is_store_watcher(domain: &DomainName, members: &[HostName], own: &HostName) -> bool {
    rendezvous_order(domain, members).iter().take(STORE_WATCHERS).any(|host| *host == own)
}

/// Returns the hosts that the host `own` notifies of a new number.
pub fn notice_targets(
    domain: &DomainName,
    members: &[HostName],
    own: &HostName,
) -> SmallVec<[HostName; NOTICE_FANOUT]> {
    let order = rendezvous_order(domain, members);
    let Some(position) = order.iter().position(|host| *host == own) else {
        return SmallVec::new();
    };
    let first = STORE_WATCHERS + position * NOTICE_FANOUT;
    let mut targets: SmallVec<[HostName; NOTICE_FANOUT]> =
        order.iter().skip(first).take(NOTICE_FANOUT).map(|host| (*host).clone()).collect();
    if position < STORE_WATCHERS {
        // The watchers notify each other, because one of them may have no connection to the store.
        let others = order.iter().take(STORE_WATCHERS).filter(|host| **host != own);
        targets.extend(others.map(|host| (*host).clone()));
    }
    targets
}

/// Returns how many rounds of notices reach a failure domain with this number of members.
///
/// The watchers have the number before the first round.
pub fn notice_rounds(members: usize) -> usize {
    let mut reached = STORE_WATCHERS;
    let mut layer = STORE_WATCHERS;
    let mut rounds = 0;
    while reached < members {
        layer *= NOTICE_FANOUT;
        reached += layer;
        rounds += 1;
    }
    rounds
}
