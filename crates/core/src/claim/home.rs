//! Where a slot is written.

use smallvec::SmallVec;

use super::record::SlotId;
use crate::digest::fast_hash;
use crate::digest::rendezvous_weight;
use crate::name::HostName;

/// Members in the order in which they are asked to write `slot`; the first one is its home.
///
/// Hosts that see other members ask another home; that costs a lost swap and no more.
pub fn home_order(slot: SlotId, members: &[HostName]) -> SmallVec<[HostName; 8]> {
    let key = fast_hash(&slot.0.to_le_bytes());
    let mut order: SmallVec<[HostName; 8]> = members.iter().cloned().collect();
    order.sort_by_cached_key(|host| {
        (std::cmp::Reverse(rendezvous_weight(key, host.as_str())), host.clone())
    });
    order
}
