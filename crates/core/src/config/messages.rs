//! Messages between entry hosts.

use serde::Deserialize;
use serde::Serialize;

use crate::digest::Digest;
use crate::ids::ConfigNumber;

/// Most bytes of chunks in one reply; a reply holds at least one chunk.
pub const MAX_REPLY_CHUNK_BYTES: usize = 512 * 1024;
/// Most chunks asked for in one message.
pub const MAX_CHUNKS_PER_REQUEST: usize = 256;

/// A request of this slice to another entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigMessage {
    /// The sender has adopted this number.
    Notice(ConfigNumber),
    /// Asks for the manifest in force.
    GetManifest,
    /// Asks for chunks.
    GetChunks(Vec<Digest>),
}

/// A chunk on the wire.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireChunk {
    /// Digest that it was asked for by; the receiver checks it.
    pub digest: Digest,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// The answer to a [`ConfigMessage`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigReply {
    /// Number that the receiver of a notice holds.
    Held(ConfigNumber),
    /// The manifest in force, if there is one.
    Manifest(Option<Vec<u8>>),
    /// Those of the chunks that are at hand and fit one reply.
    Chunks(Vec<WireChunk>),
}
