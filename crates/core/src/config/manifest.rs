//! The manifest: the store value that lists the chunks of the current configuration.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::config::ConfigError;
use crate::digest::Digest;
use crate::ids::ConfigNumber;
use crate::name::HostName;

/// Key of the manifest in the platform's store.
pub const MANIFEST_KEY: &str = "config/manifest";
/// Prefix of the keys of all chunks.
pub const CHUNK_PREFIX: &str = "config/chunk/";

/// Version of the format of manifests and chunks.
const FORMAT_VERSION: u32 = 1;
/// Maximum number of accepted patches that a manifest lists, the newest included.
const MAX_RECENT_PATCHES: usize = 32;
/// Length of an epoch of configuration numbers; a recovery of the store starts the next epoch.
const NUMBERS_PER_EPOCH: u64 = 1_000_000;

/// Identifies one patch, as 16 hexadecimal digits on the wire.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PatchId(pub u64);

impl fmt::Display for PatchId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for PatchId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl Serialize for PatchId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for PatchId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// A reference to an immutable chunk.
///
/// The chunk's key in the store contains the digest, the patch that wrote the chunk and the number
/// that this patch would get. A patch therefore never refers to a chunk that another patch may have
/// left over or deleted, except to the chunks of the manifest that it is based on.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ChunkRef {
    /// Number that the patch gets if it is accepted.
    pub number: ConfigNumber,
    /// Patch that wrote the chunk.
    pub patch: PatchId,
    /// Digest of the chunk's bytes.
    pub digest: Digest,
}

impl ChunkRef {
    /// Returns the chunk's key in the store.
    pub fn key(&self) -> String {
        format!("{CHUNK_PREFIX}{self}")
    }

    /// Parses a key of the store; returns `None` if it is not the key of a chunk.
    pub fn from_key(key: &str) -> Option<Self> {
        key.strip_prefix(CHUNK_PREFIX)?.parse().ok()
    }
}

impl fmt::Display for ChunkRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.number, self.patch, self.digest)
    }
}

impl FromStr for ChunkRef {
    type Err = ConfigError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || {
            ConfigError::Malformed(format!("chunk reference {text:?} is not NUMBER-PATCH-DIGEST"))
        };
        let mut parts = text.splitn(3, '-');
        let mut part = || parts.next().ok_or_else(malformed);
        let number = part()?.parse().map_err(|_| malformed())?;
        let patch = part()?.parse().map_err(|_| malformed())?;
        let digest = part()?.parse().map_err(|_| malformed())?;
        Ok(Self { number: ConfigNumber(number), patch, digest })
    }
}

impl Serialize for ChunkRef {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ChunkRef {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// References to the chunks of one section; the hash of an entry's name selects its chunk.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SectionRef {
    /// One element for each hash bucket, `None` for an empty one; their number is a power of two.
    pub chunks: Vec<Option<ChunkRef>>,
}

/// An entry of the list of accepted patches.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedPatch {
    /// Number that the patch got.
    pub number: ConfigNumber,
    /// Id of the patch.
    pub patch: PatchId,
}

/// A mark in the manifest of a store that is behind the entry hosts.
///
/// No patch is accepted while its number is higher than the number of the manifest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BehindMark {
    /// Lowest number that the store has to be recovered to.
    pub number: ConfigNumber,
    /// Host that wrote the mark.
    pub host: HostName,
}

/// The status of a patch, determined from a manifest by the patch's id and base number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PatchStatus {
    /// The patch was accepted under this number.
    Accepted(ConfigNumber),
    /// Another patch was accepted on the base, so this one was not.
    Superseded,
    /// The base is the current number, so the patch may still be accepted.
    BaseCurrent,
    /// The list of recent patches does not reach back to the base, so the status is unknown.
    HistoryTooShort,
}

/// The stored description of one configuration: its number, history and chunks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Manifest {
    /// Version of the format; see [`FORMAT_VERSION`].
    format: u32,
    /// Number of the configuration.
    pub number: ConfigNumber,
    /// Number that the patch was made against, 0 for the first configuration.
    pub base: ConfigNumber,
    /// Id of the patch that produced this configuration.
    pub patch: PatchId,
    /// Accepted patches, newest first, this one included.
    pub recent: Vec<AcceptedPatch>,
    /// Present when an entry host has found the store behind it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub floor: Option<BehindMark>,
    /// References to the chunks of each section.
    pub sections: BTreeMap<String, SectionRef>,
}

impl Manifest {
    /// Creates the manifest that follows `base`, or the first one if `base` is `None`.
    pub fn following(
        base: Option<&Self>,
        number: ConfigNumber,
        patch: PatchId,
        sections: BTreeMap<String, SectionRef>,
    ) -> Self {
        let mut recent = vec![AcceptedPatch { number, patch }];
        if let Some(base) = base {
            recent.extend(base.recent.iter().copied());
            recent.truncate(MAX_RECENT_PATCHES);
        }
        let base = base.map_or(ConfigNumber(0), |base| base.number);
        Self { format: FORMAT_VERSION, number, base, patch, recent, floor: None, sections }
    }

    /// Encodes the manifest as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a manifest has only string keys")
    }

    /// Decodes a manifest.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::Malformed`] when `buf` is no manifest or has another format version.
    pub fn decode(buf: &[u8]) -> Result<Self, ConfigError> {
        let manifest: Self =
            serde_json::from_slice(buf).map_err(|e| ConfigError::Malformed(e.to_string()))?;
        if manifest.format != FORMAT_VERSION {
            let text =
                format!("the manifest has format {} instead of {FORMAT_VERSION}", manifest.format);
            return Err(ConfigError::Malformed(text));
        }
        for (name, section) in &manifest.sections {
            if !section.chunks.len().is_power_of_two() {
                return Err(ConfigError::Malformed(format!(
                    "the number of buckets of section {name:?} is not a power of two"
                )));
            }
        }
        Ok(manifest)
    }

    /// Returns all chunks with their section, ordered by section and bucket.
    pub fn chunks(&self) -> impl Iterator<Item = (&str, ChunkRef)> {
        self.sections.iter().flat_map(|(name, section)| {
            section.chunks.iter().flatten().map(move |chunk| (name.as_str(), *chunk))
        })
    }

    /// Returns the status of the patch `id`, which was made against the number `base`.
    pub fn patch_status(&self, base: ConfigNumber, id: PatchId) -> PatchStatus {
        if let Some(accepted) = self.recent.iter().find(|accepted| accepted.patch == id) {
            return PatchStatus::Accepted(accepted.number);
        }
        if self.number == base {
            return PatchStatus::BaseCurrent;
        }
        let complete = self.recent.len() < MAX_RECENT_PATCHES;
        let reaches_base = self.recent.iter().any(|accepted| accepted.number <= base);
        if self.number > base && (complete || reaches_base) {
            PatchStatus::Superseded
        } else {
            PatchStatus::HistoryTooShort
        }
    }

    /// Returns the number of the mark if it is higher than this manifest's number.
    ///
    /// The store is then behind the entry host that wrote the mark.
    pub fn newer_host_number(&self) -> Option<ConfigNumber> {
        let floor = self.floor.as_ref()?;
        (floor.number > self.number).then_some(floor.number)
    }
}

/// Returns the first number of the epoch that follows the epoch of `highest`.
///
/// A recovery uses it, so that the recovered configuration has a higher number than any that an
/// unreachable entry host may have adopted.
pub fn first_number_of_next_epoch(highest: ConfigNumber) -> ConfigNumber {
    ConfigNumber((highest.0 / NUMBERS_PER_EPOCH + 1) * NUMBERS_PER_EPOCH)
}
