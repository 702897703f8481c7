//! The answers with changes, in the two formats that hosts exchange.
//!
//! A host that accepts [`PACKED_MEDIA_TYPE`] gets large values compressed; any other one, as those of
//! earlier releases, gets them as they are.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use flate2::Compression;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::forward::item_log::Changes;
use yuccanotch_core::forward::item_log::ItemChange;

/// The media type of answers whose large values are compressed.
pub(super) const PACKED_MEDIA_TYPE: &str = "application/vnd.yuccanotch.packed-changes";
/// The largest accepted answer, and the largest sum of its values, in bytes.
pub(super) const MAX_CHANGES_BYTES: usize = 8 << 20;
/// Values from this size on are compressed, in bytes.
const MIN_PACKED_BYTES: usize = 4 << 10;
/// The most compressed values that are kept.
const MAX_KEPT_VALUES: usize = 16;

/// Changes as hosts exchange them without compression.
#[derive(Debug, Deserialize, Serialize)]
struct PlainAnswer {
    changes: Changes,
    removal_delay_ms: u64,
}

/// Changes with compressed values.
#[derive(Debug, Deserialize, Serialize)]
struct PackedAnswer {
    is_complete: bool,
    revision: u64,
    items: Vec<PackedItem>,
    removal_delay_ms: u64,
}

#[derive(Debug, Deserialize, Serialize)]
struct PackedItem {
    key: String,
    revision: u64,
    value: Option<PackedValue>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
enum PackedValue {
    Plain(Bytes),
    Deflated(Bytes),
}

/// The changes that a host passes on.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct SharedChanges {
    pub(super) changes: Changes,
    /// How much longer the sender delays removals of servers.
    pub(super) removal_delay: Millis,
}

/// Keeps large values in their compressed form, so that each is compressed once a host at most, and
/// not at all on a host that got it so.
#[derive(Debug, Default)]
pub(super) struct PackedValues {
    by_key: RefCell<HashMap<String, (u64, Bytes)>>,
}

impl SharedChanges {
    /// Encodes the changes without compression.
    pub(super) fn encode_plain(self) -> Bytes {
        let answer = PlainAnswer { changes: self.changes, removal_delay_ms: self.removal_delay.0 };
        encode(&answer)
    }

    /// Decodes what [`Self::encode_plain`] returns; `None` if it cannot be read.
    pub(super) fn decode_plain(buf: &[u8]) -> Option<Self> {
        let answer: PlainAnswer = decode(buf)?;
        let removal_delay = Millis(answer.removal_delay_ms);
        Some(Self { changes: answer.changes, removal_delay })
    }

    /// Encodes the changes with large values compressed.
    pub(super) fn encode_packed(self, kept: &PackedValues) -> Bytes {
        let pack = |change: ItemChange| PackedItem {
            value: change.value.map(|value| kept.pack(&change.key, change.revision, value)),
            key: change.key,
            revision: change.revision,
        };
        encode(&PackedAnswer {
            is_complete: self.changes.is_complete,
            revision: self.changes.revision,
            items: self.changes.items.into_iter().map(pack).collect(),
            removal_delay_ms: self.removal_delay.0,
        })
    }

    /// Decodes what [`Self::encode_packed`] returns; `None` if it cannot be read or its values are too
    /// large together.
    pub(super) fn decode_packed(buf: &[u8], kept: &PackedValues) -> Option<Self> {
        let answer: PackedAnswer = decode(buf)?;
        let mut left = MAX_CHANGES_BYTES;
        let mut items = Vec::with_capacity(answer.items.len());
        for PackedItem { key, revision, value } in answer.items {
            let value = match value {
                None => None,
                Some(PackedValue::Plain(value)) => Some(value),
                Some(PackedValue::Deflated(packed)) => {
                    let value = inflate(&packed, left).ok()?;
                    kept.keep(&key, revision, packed);
                    Some(value)
                }
            };
            left = left.checked_sub(value.as_ref().map_or(0, Bytes::len))?;
            items.push(ItemChange { key, revision, value });
        }
        let changes = Changes { is_complete: answer.is_complete, revision: answer.revision, items };
        Some(Self { changes, removal_delay: Millis(answer.removal_delay_ms) })
    }
}

impl PackedValues {
    /// Returns the length of a change's value as it is sent.
    pub(super) fn packed_len(&self, change: &ItemChange) -> usize {
        let value =
            change.value.clone().map(|value| self.pack(&change.key, change.revision, value));
        match value {
            Some(PackedValue::Plain(bytes) | PackedValue::Deflated(bytes)) => bytes.len(),
            None => 0,
        }
    }

    fn pack(&self, key: &str, revision: u64, value: Bytes) -> PackedValue {
        if value.len() < MIN_PACKED_BYTES {
            return PackedValue::Plain(value);
        }
        let kept = self.by_key.borrow().get(key).filter(|(at, _)| *at == revision).cloned();
        if let Some((_, packed)) = kept {
            return PackedValue::Deflated(packed);
        }
        match deflate(&value) {
            Ok(packed) => {
                self.keep(key, revision, packed.clone());
                PackedValue::Deflated(packed)
            }
            Err(_) => PackedValue::Plain(value),
        }
    }

    /// Returns the number of values that are kept.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.by_key.borrow().len()
    }

    fn keep(&self, key: &str, revision: u64, packed: Bytes) {
        let mut by_key = self.by_key.borrow_mut();
        if by_key.len() >= MAX_KEPT_VALUES && !by_key.contains_key(key) {
            by_key.clear();
        }
        by_key.insert(key.to_owned(), (revision, packed));
    }
}

fn deflate(value: &[u8]) -> io::Result<Bytes> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(value)?;
    encoder.finish().map(Bytes::from)
}

/// Decompresses a value of at most `limit` bytes.
fn inflate(packed: &[u8], limit: usize) -> io::Result<Bytes> {
    let mut value = Vec::new();
    ZlibDecoder::new(packed).take(limit as u64 + 1).read_to_end(&mut value)?;
    if value.len() > limit {
        return Err(io::Error::from(io::ErrorKind::InvalidData));
    }
    Ok(value.into())
}

fn encode<T: Serialize>(answer: &T) -> Bytes {
    bincode::serde::encode_to_vec(answer, bincode::config::standard())
        .map(Bytes::from)
        .unwrap_or_default()
}

fn decode<T: DeserializeOwned>(buf: &[u8]) -> Option<T> {
    let config = bincode::config::standard().with_limit::<MAX_CHANGES_BYTES>();
    bincode::serde::decode_from_slice(buf, config).ok().map(|(answer, _)| answer)
}
