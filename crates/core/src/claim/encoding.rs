//! Encoding of a slot's values in the platform's store.
//!
//! The head of a slot is stored under [`head_key`]; it contains the records of the open segment
//! and lists the sealed segments. Each sealed segment is stored under [`segment_key`] and never
//! changes.

use bincode::config::Configuration;
use bincode::config::Limit;
use bincode::config::LittleEndian;
use bincode::config::Varint;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use super::record::ClaimKey;
use super::record::ClaimState;
use super::record::Holder;
use super::record::Nonce;
use super::record::Record;
use super::record::RequestDigest;
use super::record::SlotId;
use super::record::StoredAnswer;
use crate::clock::Millis;
use crate::ids::Incarnation;
use crate::name::HostName;
use crate::reason::RefusalReason;
use crate::store::MAX_VALUE_BYTES;

const FORMAT_VERSION: u8 = 1;

quick_error! {
    /// Why a value of a slot cannot be decoded.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ValueError {
        /// The value is not well-formed.
        Malformed(text: String) {
            display("the value of the slot is malformed: {}", text)
        }
        /// The value has a format version that this software does not support.
        Format(format: u8) {
            display("the value of the slot has the unknown format {}", format)
        }
    }
}

/// The entry of a sealed segment in the slot's head.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SegmentRef {
    /// Random number that identifies the segment within its slot.
    pub id: u64,
    /// When the segment's newest record was written, in ms since the Unix epoch.
    pub newest: Millis,
}

/// The value that a slot's writers compare and swap.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SlotHead {
    /// Number of writes of the head; the write that repairs a restored slot continues the count.
    pub sequence: u64,
    /// Sealed segments, oldest first.
    pub sealed: Vec<SegmentRef>,
    /// Records of the open segment.
    pub open: Vec<Record>,
}

#[derive(Deserialize, Serialize)]
struct WireHead {
    format: u8,
    sequence: u64,
    sealed: Vec<SegmentRef>,
    open: Vec<WireRecord>,
}

#[derive(Deserialize, Serialize)]
struct WireSegment {
    format: u8,
    records: Vec<WireRecord>,
}

#[derive(Deserialize, Serialize)]
struct WireRecord {
    key: [u8; 16],
    digest: [u8; 16],
    host: HostName,
    incarnation: u64,
    nonce: u64,
    generation: u32,
    written_ms: u64,
    state: WireState,
}

#[derive(Deserialize, Serialize)]
enum WireState {
    Claimed,
    Unknown,
    Answered { status: u16, content_type: String, body: Vec<u8> },
    AnswerNotKept,
    Tombstone { reason: String },
}

impl From<&Record> for WireRecord {
    fn from(record: &Record) -> Self {
        let state = match &record.state {
            ClaimState::Claimed => WireState::Claimed,
            ClaimState::Unknown => WireState::Unknown,
            ClaimState::Answered(answer) => WireState::Answered {
                status: answer.status,
                content_type: answer.content_type.clone(),
                body: answer.body.clone(),
            },
            ClaimState::AnswerSealed(_) | ClaimState::AnswerNotKept => WireState::AnswerNotKept,
            ClaimState::Tombstone(reason) => {
                WireState::Tombstone { reason: reason.as_str().to_owned() }
            }
        };
        Self {
            key: record.key.0.to_le_bytes(),
            digest: record.digest.0.to_le_bytes(),
            host: record.holder.host.clone(),
            incarnation: record.holder.incarnation.0,
            nonce: record.nonce.0,
            generation: record.generation,
            written_ms: record.written.0,
            state,
        }
    }
}

impl From<WireRecord> for Record {
    fn from(wire: WireRecord) -> Self {
        let state = match wire.state {
            WireState::Claimed => ClaimState::Claimed,
            WireState::Unknown => ClaimState::Unknown,
            WireState::Answered { status, content_type, body } => {
                ClaimState::Answered(StoredAnswer { status, content_type, body })
            }
            WireState::AnswerNotKept => ClaimState::AnswerNotKept,
            WireState::Tombstone { reason } => ClaimState::Tombstone(parse_reason(&reason)),
        };
        Self {
            key: ClaimKey(u128::from_le_bytes(wire.key)),
            digest: RequestDigest(u128::from_le_bytes(wire.digest)),
            holder: Holder { host: wire.host, incarnation: Incarnation(wire.incarnation) },
            nonce: Nonce(wire.nonce),
            generation: wire.generation,
            written: Millis(wire.written_ms),
            state,
        }
    }
}

/// Returns the reason with this text; a reason that only later versions know becomes
/// [`RefusalReason::Tombstoned`].
fn parse_reason(text: &str) -> RefusalReason {
    let named = RefusalReason::ALL.iter().copied().find(|reason| reason.as_str() == text);
    named.unwrap_or(RefusalReason::Tombstoned)
}

type DecodeConfig = Configuration<LittleEndian, Varint, Limit<MAX_VALUE_BYTES>>;

fn decode_config() -> DecodeConfig {
    bincode::config::standard().with_limit::<MAX_VALUE_BYTES>()
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("plain records can be encoded")
}

fn decode<T: for<'de> Deserialize<'de>>(buf: &[u8]) -> Result<T, ValueError> {
    match buf.first() {
        Some(&FORMAT_VERSION) => {}
        Some(&format) => return Err(ValueError::Format(format)),
        None => return Err(ValueError::Malformed("empty".to_owned())),
    }
    let decoded = bincode::serde::decode_from_slice(buf, decode_config());
    let (value, len) = decoded.map_err(|e| ValueError::Malformed(e.to_string()))?;
    if len != buf.len() {
        return Err(ValueError::Malformed("trailing bytes".to_owned()));
    }
    Ok(value)
}

impl SlotHead {
    /// Encodes the head as a value of the store.
    pub fn encode(&self) -> Vec<u8> {
        encode(&WireHead {
            format: FORMAT_VERSION,
            sequence: self.sequence,
            sealed: self.sealed.clone(),
            open: self.open.iter().map(WireRecord::from).collect(),
        })
    }

    /// Decodes a head from a value of the store.
    ///
    /// # Errors
    ///
    /// Returns an error when the value is malformed or of an unknown format.
    pub fn decode(buf: &[u8]) -> Result<Self, ValueError> {
        let wire: WireHead = decode(buf)?;
        let open = wire.open.into_iter().map(Record::from).collect();
        Ok(Self { sequence: wire.sequence, sealed: wire.sealed, open })
    }
}

/// Encodes the records of a sealed segment as a value of the store.
pub fn encode_segment<'a>(records: impl IntoIterator<Item = &'a Record>) -> Vec<u8> {
    let records = records.into_iter().map(WireRecord::from).collect();
    encode(&WireSegment { format: FORMAT_VERSION, records })
}

/// Decodes the records of a sealed segment from a value of the store.
///
/// # Errors
///
/// Returns an error when the value is malformed or of an unknown format.
pub fn decode_segment(buf: &[u8]) -> Result<Vec<Record>, ValueError> {
    let wire: WireSegment = decode(buf)?;
    Ok(wire.records.into_iter().map(Record::from).collect())
}

/// Returns the encoded size of a record, in bytes.
pub fn encoded_len(record: &Record) -> usize {
    encode(&WireRecord::from(record)).len()
}

/// Returns the key under which the store keeps a slot's head.
pub fn head_key(slot: SlotId) -> String {
    format!("claims/{slot}/head")
}

/// Returns the key under which the store keeps a sealed segment.
pub fn segment_key(slot: SlotId, id: u64) -> String {
    format!("claims/{slot}/segment/{id:016x}")
}
