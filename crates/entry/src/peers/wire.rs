//! Messages of the links, their encoding and their size limits.

use bytes::Bytes;
use h2::RecvStream;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;
use yuccanotch_core::ids::ConfigNumber;
use yuccanotch_core::ids::Incarnation;
use yuccanotch_core::name::HostName;
use yuccanotch_core::peer::PeerHeader;
use yuccanotch_core::peer::PeerReply;
use yuccanotch_core::peer::PeerRequest;

use crate::peers::auth::Nonce;
use crate::peers::auth::TAG_BYTES;

/// Largest body on an authenticated connection, in bytes: enough for a store value and
/// its framing.
pub(super) const MAX_BODY_BYTES: usize = (1 << 20) + (64 << 10);
/// Largest body before a connection is authenticated, in bytes.
pub(super) const MAX_HELLO_BYTES: usize = 512;

/// First body of a connection, sent by the side that connected.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Hello {
    pub(super) host: HostName,
    pub(super) incarnation: Incarnation,
    pub(super) nonce: Nonce,
}

/// Answer to [`Hello`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Welcome {
    pub(super) host: HostName,
    pub(super) incarnation: Incarnation,
    pub(super) nonce: Nonce,
}

/// A request as it is sent; the host and incarnation of the sender were proven when the connection
/// was opened.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireRequest {
    pub(super) config: ConfigNumber,
    pub(super) request: PeerRequest,
}

/// A reply as it is sent.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WireReply {
    pub(super) config: ConfigNumber,
    pub(super) reply: PeerReply,
}

/// Identity that the peer proved when the connection was opened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct PeerIdentity {
    pub(super) host: HostName,
    pub(super) incarnation: Incarnation,
}

impl PeerIdentity {
    pub(super) fn header(&self, config: ConfigNumber) -> PeerHeader {
        PeerHeader { host: self.host.clone(), incarnation: self.incarnation, config }
    }
}

impl From<Hello> for PeerIdentity {
    fn from(hello: Hello) -> Self {
        Self { host: hello.host, incarnation: hello.incarnation }
    }
}

impl From<Welcome> for PeerIdentity {
    fn from(welcome: Welcome) -> Self {
        Self { host: welcome.host, incarnation: welcome.incarnation }
    }
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyFault {
    /// The body is larger than the limit.
    Oversized,
    /// The stream failed before the end of the body.
    Broken,
}

pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("bincode can encode every type of message")
}

/// Decodes a body; returns `None` if it is malformed, would need too much memory or has bytes after
/// the value.
pub(super) fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    let config = bincode::config::standard().with_limit::<MAX_BODY_BYTES>();
    let (value, read) = bincode::serde::decode_from_slice(body, config).ok()?;
    (read == body.len()).then_some(value)
}

/// Splits a body into its content and its tag; returns `None` if it is shorter than a tag.
pub(super) fn split_tag(tagged_body: &[u8]) -> Option<(&[u8], &[u8])> {
    Some(tagged_body.split_at(tagged_body.len().checked_sub(TAG_BYTES)?))
}

/// Reads a body of at most `limit` bytes to its end.
pub(super) async fn read_body(body: &mut RecvStream, limit: usize) -> Result<Bytes, BodyFault> {
    let mut buf = Vec::new();
    while let Some(part) = body.data().await {
        let part = part.map_err(|_| BodyFault::Broken)?;
        if buf.len() + part.len() > limit {
            return Err(BodyFault::Oversized);
        }
        body.flow_control().release_capacity(part.len()).map_err(|_| BodyFault::Broken)?;
        buf.extend_from_slice(&part);
    }
    Ok(buf.into())
}
