//! SHA-256 digests, fast hashes and rendezvous hashing.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use sha2::Digest as _;
use sha2::Sha256;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A SHA-256 digest, as 64 hexadecimal digits in text formats and as 32 bytes in binary ones.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the SHA-256 digest of `buf`.
    pub fn of(buf: &[u8]) -> Self {
        Self(Sha256::digest(buf).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Digest {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut buf = [0; 32];
        hex::decode_to_slice(text, &mut buf)?;
        Ok(Self(buf))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(serde::de::Error::custom)
        } else {
            <[u8; 32]>::deserialize(deserializer).map(Self)
        }
    }
}

/// Computes the digest of an answer from its tokens, one by one.
#[derive(Clone, Debug, Default)]
pub struct TokenDigest(Sha256);

impl TokenDigest {
    /// Adds the next token, preceded by its length so that token boundaries change the digest.
    pub fn push(&mut self, token: &str) {
        self.0.update((token.len() as u64).to_le_bytes());
        self.0.update(token.as_bytes());
    }

    /// Returns the digest of the tokens pushed so far.
    pub fn finish(&self) -> Digest {
        Digest(self.0.clone().finalize().into())
    }
}

/// Returns a fast, stable 64-bit hash that is not resistant to deliberate collisions.
pub fn fast_hash(buf: &[u8]) -> u64 {
    xxh3_64(buf)
}

/// Returns the weight of `member` for `key` in rendezvous hashing; the highest weight wins.
pub fn rendezvous_weight(key: u64, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), key)
}

/// Returns the member with the highest rendezvous weight for `key`.
///
/// The choice does not depend on the order of `members`; equal weights go to the larger name.
pub fn rendezvous<'a>(key: u64, members: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    members.into_iter().max_by_key(|member| (rendezvous_weight(key, member), *member))
}
