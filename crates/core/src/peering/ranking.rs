//! The ranking by which all hosts of a failure domain choose the same aggregators.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

use crate::peering::messages::Peer;

/// The number of aggregators of a failure domain. With two, the loss of one goes unnoticed.
pub const AGGREGATORS: usize = 2;

/// Returns the rank of a host; the least goes first. Wider links go first, since an aggregator sends
/// to all hosts of its domain; a hash spreads the role over failure domains and deployments.
pub fn rank(peer: &Peer) -> (Reverse<u32>, u64) {
    (Reverse(peer.link_mbps), xxh3_64(peer.host.as_str().as_bytes()))
}
