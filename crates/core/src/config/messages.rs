//! Messages about configurations between entry hosts.

use serde::Deserialize;
use serde::Serialize;

use crate::digest::Digest;
use crate::ids::ConfigNumber;

/// Maximum total size of the chunks in one reply, in bytes.
///
/// A reply holds at least one chunk, even if that chunk is larger.
pub const MAX_REPLY_CHUNK_BYTES: usize = 512 * 1024;
/// Maximum number of chunks that one message requests.
pub const MAX_CHUNKS_PER_REQUEST: usize = 256;

/// A request about configurations from one entry host to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigMessage {
    /// Announces the number that the sender has adopted.
    Notice(ConfigNumber),
    /// Requests the manifest that the receiver has adopted.
    GetManifest,
    /// Requests chunks by digest.
    GetChunks(Vec<Digest>),
}

/// A chunk with the digest that it was requested by.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireChunk {
    /// Digest from the request; the receiver checks the bytes against it.
    pub digest: Digest,
    /// Bytes of the chunk.
    pub bytes: Vec<u8>,
}

/// The answer to a [`ConfigMessage`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigReply {
    /// Number that the receiver of a notice has adopted.
    Held(ConfigNumber),
    /// The encoded manifest that the sender of the reply has adopted, if any.
    Manifest(Option<Vec<u8>>),
    /// The requested chunks that the sender of the reply has and that fit one reply.
    Chunks(Vec<WireChunk>),
}
