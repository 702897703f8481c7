//! The manifest: one store value that names the chunks of the current configuration.

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

/// Version of the layout of manifests and chunks.
const LAYOUT_VERSION: u32 = 1;
/// Accepted patches that a manifest lists, the newest included.
const MAX_RECENT_PATCHES: usize = 32;
/// Numbers of one epoch; a recovery of the store starts the next epoch.
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

/// Refers to an immutable chunk.
///
/// The key in the store holds the number and the patch that wrote the chunk besides its digest.
/// So no patch ever refers to a chunk that another patch may have left behind or deleted, except
/// through the manifest that it is based on.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ChunkRef {
    /// Number that the patch would get.
    pub number: ConfigNumber,
    /// Patch that wrote the chunk.
    pub patch: PatchId,
    /// Digest of the chunk.
    pub digest: Digest,
}

impl ChunkRef {
    /// Returns the chunk's key in the store.
    pub fn key(&self) -> String {
        format!("{CHUNK_PREFIX}{self}")
    }

    /// Returns the reference that a key of the store stands for.
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
        let malformed = || ConfigError::Malformed(format!("chunk reference {text:?}"));
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

/// Chunks of one section; an entry belongs to the chunk that its name hashes to.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SectionRef {
    /// One slot for each hash bucket, a power of two; `None` for an empty bucket.
    pub chunks: Vec<Option<ChunkRef>>,
}

/// One accepted patch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedPatch {
    /// Number that it got.
    pub number: ConfigNumber,
    /// Its id.
    pub patch: PatchId,
}

/// Tells that an entry host holds a higher number than the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BehindMark {
    /// Number that the host holds.
    pub number: ConfigNumber,
    /// The host.
    pub host: HostName,
}

/// What a patch id says about a patch against some base.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PatchStatus {
    /// The patch was accepted under this number.
    Accepted(ConfigNumber),
    /// Another patch followed the base.
    Superseded,
    /// The base is still current.
    BaseCurrent,
    /// The list of recent patches does not reach back to the base.
    HistoryTooShort,
}

/// Names the chunks of one configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Manifest {
    format: u32,
    /// Number of the configuration.
    pub number: ConfigNumber,
    /// Number that the patch was made against.
    pub base: ConfigNumber,
    /// Patch that led to this configuration.
    pub patch: PatchId,
    /// Accepted patches, newest first, this one included.
    pub recent: Vec<AcceptedPatch>,
    /// Present when the store was found behind the entry hosts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub floor: Option<BehindMark>,
    /// Chunks of each section.
    pub sections: BTreeMap<String, SectionRef>,
}

impl Manifest {
    /// Creates the manifest that follows `base`, or the first one.
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
        Self { format: LAYOUT_VERSION, number, base, patch, recent, floor: None, sections }
    }

    /// Returns the manifest's bytes.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a manifest has only string keys")
    }

    /// Reads a manifest.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::Malformed`] for other bytes or another layout.
    pub fn decode(buf: &[u8]) -> Result<Self, ConfigError> {
        let manifest: Self =
            serde_json::from_slice(buf).map_err(|e| ConfigError::Malformed(e.to_string()))?;
        if manifest.format != LAYOUT_VERSION {
            let text = format!("manifest layout {} is not {LAYOUT_VERSION}", manifest.format);
            return Err(ConfigError::Malformed(text));
        }
        for (name, section) in &manifest.sections {
            if !section.chunks.len().is_power_of_two() {
                return Err(ConfigError::Malformed(format!("buckets of section {name:?}")));
            }
        }
        Ok(manifest)
    }

    /// Returns all chunks with their section, in a fixed order.
    pub fn chunks(&self) -> impl Iterator<Item = (&str, ChunkRef)> {
        self.sections.iter().flat_map(|(name, section)| {
            section.chunks.iter().flatten().map(move |chunk| (name.as_str(), *chunk))
        })
    }

    /// Returns what became of the patch `id` against `base`.
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

    /// Returns the number that entry hosts hold if the store is behind them.
    pub fn newer_host_number(&self) -> Option<ConfigNumber> {
        let floor = self.floor.as_ref()?;
        (floor.number > self.number).then_some(floor.number)
    }
}

/// Returns the first number of the epoch after the one that `highest` belongs to.
///
/// A recovery takes it, so that the recovered configuration is above every number that an entry
/// host out of reach may still hold.
pub fn first_number_of_next_epoch(highest: ConfigNumber) -> ConfigNumber {
    ConfigNumber((highest.0 / NUMBERS_PER_EPOCH + 1) * NUMBERS_PER_EPOCH)
}
