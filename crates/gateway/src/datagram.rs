//! The datagrams between hosts: a message, and behind it what later releases have added.
//!
//! Hosts of an earlier release read what they know and leave the rest unread. So nothing in front may
//! change, and what is added goes behind everything else.

use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;
use yuccanotch_core::limits::LimitRows;
use yuccanotch_core::peering::messages::Content;
use yuccanotch_core::peering::messages::Message;
use yuccanotch_core::peering::messages::StoreContact;
use yuccanotch_core::peering::observations::Observations;
use yuccanotch_core::peering::observations::PrefillRow;
use yuccanotch_core::reachability::ReachRows;

/// The largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// The rows of pending prefill of a message's observations, which [`Observations`] does not encode;
/// empty from hosts that do not send them.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct PrefillRows {
    /// Those of the message's own observations.
    own: Vec<PrefillRow>,
    /// Those of the observations in a digest's surroundings.
    surroundings: Vec<PrefillRow>,
}

impl PrefillRows {
    /// Returns the rows of `message`.
    fn of(message: &Message) -> Self {
        let rows = |of: Option<&Observations>| of.map_or_else(Vec::new, |o| o.prefill.clone());
        let (own, surroundings) = match &message.content {
            Content::Join | Content::Peers(_) => (None, None),
            Content::Report { observations, .. } | Content::Summary { observations, .. } => {
                (Some(observations), None)
            }
            Content::Digest { observations, surroundings, .. } => {
                (Some(observations), surroundings.as_ref().map(|s| &s.observations))
            }
        };
        Self { own: rows(own), surroundings: rows(surroundings) }
    }

    /// Puts the rows into the observations of `message`.
    fn put_into(self, message: &mut Message) {
        match &mut message.content {
            Content::Join | Content::Peers(_) => {}
            Content::Report { observations, .. } | Content::Summary { observations, .. } => {
                observations.prefill = self.own;
            }
            Content::Digest { observations, surroundings, .. } => {
                observations.prefill = self.own;
                if let Some(surroundings) = surroundings {
                    surroundings.observations.prefill = self.surroundings;
                }
            }
        }
    }
}

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
        let prefill = PrefillRows::of(&self.message);
        let parts = (&self.message, &self.reach, &self.limits, &self.store, &prefill);
        bincode::serde::encode_to_vec(parts, bincode::config::standard()).ok()
    }

    /// Decodes a datagram; `None` if its message cannot be read.
    pub fn decode(buf: &[u8]) -> Option<Self> {
        let config = bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>();
        let (mut message, read) = bincode::serde::decode_from_slice(buf, config).ok()?;
        let (reach, read) = decode_next(buf, read);
        let (limits, read) = decode_next(buf, read);
        let (store, read) = decode_next(buf, read);
        let (prefill, _) = decode_next::<PrefillRows>(buf, read);
        prefill.put_into(&mut message);
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
