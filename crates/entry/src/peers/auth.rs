//! Proof of a shared key, and tags under keys that hold for one connection.

use std::fmt;

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

/// Bytes of a tag at the end of each body.
pub(super) const TAG_BYTES: usize = 16;
/// Bytes of each side's random part of a connection's key.
pub(super) const NONCE_BYTES: usize = 16;

const MIN_KEY_BYTES: usize = 16;

pub(super) type Nonce = [u8; NONCE_BYTES];

/// Shared keys of the entry hosts: the first one signs, all verify.
///
/// A key is replaced without a gap in three steps: append the new one on all hosts, move it to
/// the front on all hosts, remove the old one.
#[derive(Clone, Eq, PartialEq)]
pub struct PeerKeys(Vec<Vec<u8>>);

impl PeerKeys {
    /// Takes the keys; `None` when there is none or one is shorter than 16 bytes.
    pub fn new(keys: Vec<Vec<u8>>) -> Option<Self> {
        let usable = !keys.is_empty() && keys.iter().all(|key| key.len() >= MIN_KEY_BYTES);
        usable.then_some(Self(keys))
    }

    pub(super) fn signing_key(&self) -> &[u8] {
        &self.0[0]
    }

    /// Returns the key under which `tag` proves `parts`.
    pub(super) fn find_key(&self, parts: &[&[u8]], tag: &[u8]) -> Option<&[u8]> {
        self.0.iter().map(Vec::as_slice).find(|key| verify(key, parts, tag))
    }
}

impl fmt::Debug for PeerKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PeerKeys({})", self.0.len())
    }
}

/// What a tag is for; a tag of one kind never verifies as another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub(super) enum Purpose {
    Hello = 1,
    Welcome = 2,
    Session = 3,
    Request = 4,
    Reply = 5,
}

fn mac(key: &[u8], parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key).expect("a key of any length is taken");
    for part in parts {
        mac.update(&(part.len() as u64).to_le_bytes());
        mac.update(part);
    }
    mac
}

pub(super) fn tag(key: &[u8], parts: &[&[u8]]) -> [u8; TAG_BYTES] {
    let full_tag = mac(key, parts).finalize().into_bytes();
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&full_tag[..TAG_BYTES]);
    tag
}

fn verify(key: &[u8], parts: &[&[u8]], tag: &[u8]) -> bool {
    tag.len() == TAG_BYTES && mac(key, parts).verify_truncated_left(tag).is_ok()
}

/// Key of one connection.
#[derive(Clone)]
pub(super) struct SessionKey([u8; 32]);

impl SessionKey {
    pub(super) fn derive(shared_key: &[u8], client: &Nonce, server: &Nonce) -> Self {
        let purpose = [Purpose::Session as u8];
        let mac = mac(shared_key, &[&purpose, client, server]);
        Self(mac.finalize().into_bytes().into())
    }

    /// Appends the tag of `body` on the stream `stream_id`.
    pub(super) fn append_tag(
        &self,
        purpose: Purpose,
        stream_id: u32,
        mut body: Vec<u8>,
    ) -> Vec<u8> {
        let parts = [&[purpose as u8][..], &stream_id.to_le_bytes(), &body];
        let tag = tag(&self.0, &parts);
        body.extend_from_slice(&tag);
        body
    }

    /// Checks the tag and returns the body without it.
    pub(super) fn check_tag<'a>(
        &self,
        purpose: Purpose,
        stream_id: u32,
        tagged_body: &'a [u8],
    ) -> Option<&'a [u8]> {
        let (body, tag) = tagged_body.split_at(tagged_body.len().checked_sub(TAG_BYTES)?);
        let parts = [&[purpose as u8][..], &stream_id.to_le_bytes(), body];
        verify(&self.0, &parts, tag).then_some(body)
    }
}
