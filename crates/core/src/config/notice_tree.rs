//! Who of a failure domain watches the store, and who tells whom of a new number.
//!
//! The members are ordered by rendezvous weight. The first two watch the store; together they are
//! the roots of a tree along which each host tells a few others. Hosts with unlike views of the
//! members may tell somebody twice or not at all; numbers in the headers of other messages make
//! up for that.

use smallvec::SmallVec;

use crate::digest::fast_hash;
use crate::digest::rendezvous_weight;
use crate::name::DomainName;
use crate::name::HostName;

/// Hosts of a failure domain that watch the store.
pub const STORE_WATCHERS: usize = 2;
/// Hosts that each host tells of a new number.
pub const NOTICE_FANOUT: usize = 4;

/// Returns the members of a domain in the order of the tree.
fn rendezvous_order<'a>(domain: &DomainName, members: &'a [HostName]) -> Vec<&'a HostName> {
    let key = fast_hash(domain.as_str().as_bytes());
    let mut order: Vec<&HostName> = members.iter().collect();
    order.sort_by_key(|host| {
        (std::cmp::Reverse(rendezvous_weight(key, host.as_str())), host.as_str())
    });
    order.dedup();
    order
}

/// Returns whether `own` watches the store for its domain.
pub fn is_store_watcher(domain: &DomainName, members: &[HostName], own: &HostName) -> bool {
    rendezvous_order(domain, members).iter().take(STORE_WATCHERS).any(|host| *host == own)
}

/// Returns the hosts that `own` tells of a new number.
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
    let mut told: SmallVec<[HostName; NOTICE_FANOUT]> =
        order.iter().skip(first).take(NOTICE_FANOUT).map(|host| (*host).clone()).collect();
    if position < STORE_WATCHERS {
        // The watchers tell each other, in case one of them is cut off from the store.
        let others = order.iter().take(STORE_WATCHERS).filter(|host| **host != own);
        told.extend(others.map(|host| (*host).clone()));
    }
    told
}

/// Returns how many rounds of messages reach all `members` of a domain.
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
