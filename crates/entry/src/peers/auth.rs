//! Authentication: connections by a key that the hosts share, bodies by tags under a key that is
//! valid for one connection.

use std::fmt;

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

/// Length of the tag at the end of each body, in bytes.
pub(super) const TAG_BYTES: usize = 16;
/// Length of the random value that each side contributes to a connection's key, in bytes.
pub(super) const NONCE_BYTES: usize = 16;

const MIN_KEY_BYTES: usize = 16;

pub(super) type Nonce = [u8; NONCE_BYTES];

/// Shared keys of the entry hosts: tags are made with the first key and verified with any of them.
///
/// A key is replaced without failed calls in three steps: append the new one on all hosts, move it
/// to the front on all hosts, remove the old one.
#[derive(Clone, Eq, PartialEq)]
pub struct PeerKeys(Vec<Vec<u8>>);

impl PeerKeys {
    /// Creates a set of keys; returns `None` if `keys` is empty or a key is shorter than 16 bytes.
    pub fn new(keys: Vec<Vec<u8>>) -> Option<Self> {
        let usable = !keys.is_empty() && keys.iter().all(|key| key.len() >= MIN_KEY_BYTES);
        usable.then_some(Self(keys))
    }

    pub(super) fn signing_key(&self) -> &[u8] {
        &self.0[0]
    }

    /// Returns the key under which `tag` is the tag of `parts`, if there is one.
    pub(super) fn find_key(&self, parts: &[&[u8]], tag: &[u8]) -> Option<&[u8]> {
        self.0.iter().map(Vec::as_slice).find(|key| verify(key, parts, tag))
    }
}

impl fmt::Debug for PeerKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PeerKeys({})", self.0.len())
    }
}

/// Purpose of a tag. It is one of the tagged parts, so a tag made for one purpose never verifies
/// for another.
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
    let mut mac =
        <Hmac<Sha256> as Mac>::new_from_slice(key).expect("HMAC accepts keys of any length");
    for part in parts {
        mac.update(&(part.len() as u64).to_le_bytes());
        mac.update(part);
    }
    mac
}

/// Returns the HMAC-SHA256 of `parts` under `key`, truncated to [`TAG_BYTES`].
pub(super) fn tag(key: &[u8], parts: &[&[u8]]) -> [u8; TAG_BYTES] {
    let full_tag = mac(key, parts).finalize().into_bytes();
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&full_tag[..TAG_BYTES]);
    tag
}

fn verify(key: &[u8], parts: &[&[u8]], tag: &[u8]) -> bool {
    tag.len() == TAG_BYTES && mac(key, parts).verify_truncated_left(tag).is_ok()
}

/// Key of one connection, derived from a shared key and the nonces of both sides.
#[derive(Clone)]
pub(super) struct SessionKey([u8; 32]);

impl SessionKey {
    pub(super) fn derive(shared_key: &[u8], client: &Nonce, server: &Nonce) -> Self {
        let purpose = [Purpose::Session as u8];
        let mac = mac(shared_key, &[&purpose, client, server]);
        Self(mac.finalize().into_bytes().into())
    }

    /// Appends the tag of `body`, which is valid only for this purpose and this stream.
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

    /// Returns the body without its tag, or `None` if the tag is wrong.
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
