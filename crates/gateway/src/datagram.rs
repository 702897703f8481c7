//! The datagrams between hosts: a message, and behind it what later releases have added.
//!
//! Hosts of an earlier release read what they know and leave the rest unread. So nothing in front may
//! change, and what is added goes behind everything else.

use serde::de::DeserializeOwned;
use yuccanotch_core::limits::LimitRows;
use yuccanotch_core::peering::messages::Message;
use yuccanotch_core::peering::messages::StoreContact;
use yuccanotch_core::reachability::ReachRows;

/// The largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// What a datagram says.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// The message.
    pub message: Message,
    /// Which servers and hosts are reached; empty from hosts that do not send it.
    pub reach: ReachRows,
    /// The rates that servers name; empty from hosts that do not send them.
    pub limits: LimitRows,
    /// When the store last answered; nothing from hosts that do not say so.
    pub store: StoreContact,
}

impl Datagram {
    /// Encodes the datagram; `None` if that fails.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let parts = (&self.message, &self.reach, &self.limits, &self.store);
        bincode::serde::encode_to_vec(parts, bincode::config::standard()).ok()
    }

    /// Decodes a datagram; `None` if its message cannot be read.
    pub fn decode(buf: &[u8]) -> Option<Self> {
        let config = bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>();
        let (message, read) = bincode::serde::decode_from_slice(buf, config).ok()?;
        let (reach, read) = decode_next(buf, read);
        let (limits, read) = decode_next(buf, read);
        let (store, _) = decode_next(buf, read);
        Some(Self { message, reach, limits, store })
    }
}

/// Decodes what stands in `buf` from `at` on, and returns it with the place behind it; the default if
/// nothing that can be read stands there.
fn decode_next<T: DeserializeOwned + Default>(buf: &[u8], at: usize) -> (T, usize) {
    let config = bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>();
    match bincode::serde::decode_from_slice(&buf[at..], config) {
        Ok((value, read)) => (value, at + read),
        Err(_) => (T::default(), buf.len()),
    }
}
