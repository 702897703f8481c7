//! The choice of the host that writes a slot.

use smallvec::SmallVec;

use super::record::SlotId;
use crate::digest::fast_hash;
use crate::digest::rendezvous_weight;
use crate::name::HostName;

/// Returns the members in the order in which they are asked to write `slot`; the first is its home.
///
/// Hosts that see different members may choose different homes. This costs a failed
/// compare-and-swap but is safe.
pub fn home_order(slot: SlotId, members: &[HostName]) -> SmallVec<[HostName; 8]> {
    let key = fast_hash(&slot.0.to_le_bytes());
    let mut order: SmallVec<[HostName; 8]> = members.iter().cloned().collect();
    order.sort_by_cached_key(|host| {
        (std::cmp::Reverse(rendezvous_weight(key, host.as_str())), host.clone())
    });
    order
}
