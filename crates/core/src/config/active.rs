//! The configuration that an entry host has adopted and applies to requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::config::chunk;
use crate::config::document::Document;
use crate::config::manifest::Manifest;
use crate::config::manifest::PatchId;
use crate::config::reader::Chunks;
use crate::config::validate;
use crate::config::ConfigError;
use crate::config::Declaration;
use crate::config::Team;
use crate::digest::Digest;
use crate::ids::ConfigNumber;
use crate::name::TeamName;

const TEAMS_SECTION: &str = "teams";

/// The teams of a configuration.
///
/// Only the encoded chunks and an index by key are kept in memory; a team is decoded from its chunk
/// on each lookup.
#[derive(Clone, Debug, Default)]
struct Teams {
    /// Digest and bytes of the chunk of each hash bucket; `None` for an empty bucket.
    buckets: Vec<Option<(Digest, Arc<[u8]>)>>,
    /// Prefix of a key's digest and index of its team's bucket, sorted.
    by_key: Vec<(u64, u32)>,
}

impl Teams {
    fn read(manifest: &Manifest, chunks: &Chunks) -> Result<Self, ConfigError> {
        let mut teams = Self::default();
        let Some(section) = manifest.sections.get(TEAMS_SECTION) else { return Ok(teams) };
        for (i, chunk) in (0..).zip(&section.chunks) {
            let Some(chunk) = chunk else {
                teams.buckets.push(None);
                continue;
            };
            let bytes =
                chunks.get(&chunk.digest).ok_or_else(|| ConfigError::MissingChunk(chunk.key()))?;
            for team in read_bucket(bytes)?.values() {
                teams.by_key.extend(team.keys.iter().map(|key| (key_prefix(key), i)));
            }
            teams.buckets.push(Some((chunk.digest, Arc::clone(bytes))));
        }
        teams.by_key.sort_unstable();
        teams.by_key.shrink_to_fit();
        Ok(teams)
    }

    fn bucket(&self, i: usize) -> Option<BTreeMap<TeamName, Team>> {
        let (_, bytes) = self.buckets.get(i)?.as_ref()?;
        read_bucket(bytes).ok()
    }

    fn by_key(&self, key: &Digest) -> Option<(TeamName, Team)> {
        let prefix = key_prefix(key);
        let first = self.by_key.partition_point(|(other, _)| *other < prefix);
        let same = self.by_key[first..].iter().take_while(|(other, _)| *other == prefix);
        same.filter_map(|(_, i)| self.bucket(usize::try_from(*i).ok()?))
            .flatten()
            .find(|(_, team)| team.keys.contains(key))
    }

    fn by_name(&self, name: &TeamName) -> Option<Team> {
        if self.buckets.is_empty() {
            return None;
        }
        self.bucket(chunk::bucket_index(name.as_str(), self.buckets.len()))?.remove(name)
    }
}

fn read_bucket(bytes: &[u8]) -> Result<BTreeMap<TeamName, Team>, ConfigError> {
    serde_json::from_slice(bytes).map_err(|e| ConfigError::Malformed(e.to_string()))
}

fn key_prefix(key: &Digest) -> u64 {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&key.0[..8]);
    u64::from_be_bytes(prefix)
}

/// A configuration that a host has adopted, with its chunks.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// Number of the configuration.
    pub number: ConfigNumber,
    /// The declaration without its teams, which are looked up with [`ActiveConfig::team`] and
    /// [`ActiveConfig::team_by_key`].
    pub declaration: Declaration,
    manifest: Manifest,
    chunks: Chunks,
    teams: Teams,
}

impl ActiveConfig {
    /// Decodes the configuration of `manifest` from its chunks.
    ///
    /// # Errors
    ///
    /// Returns an error when a chunk is missing or does not match its digest, or when this
    /// version of the program cannot read the declaration.
    pub fn new(manifest: Manifest, chunks: Chunks) -> Result<Self, ConfigError> {
        let mut document = Document::new();
        for (section, chunk) in manifest.chunks() {
            let bytes =
                chunks.get(&chunk.digest).ok_or_else(|| ConfigError::MissingChunk(chunk.key()))?;
            let entries = chunk::decode(chunk.digest, bytes)?;
            if section != TEAMS_SECTION {
                document.extend(section, entries);
            }
        }
        let declaration = validate::check_document(&document).map_err(ConfigError::Invalid)?;
        let teams = Teams::read(&manifest, &chunks)?;
        Ok(Self { number: manifest.number, declaration, manifest, chunks, teams })
    }

    /// Returns the team whose bearer key has the digest `key`, with its name.
    pub fn team_by_key(&self, key: &Digest) -> Option<(TeamName, Team)> {
        self.teams.by_key(key)
    }

    /// Returns the team named `name`.
    pub fn team(&self, name: &TeamName) -> Option<Team> {
        self.teams.by_name(name)
    }

    /// Returns the id of the patch that produced this configuration.
    pub fn patch(&self) -> PatchId {
        self.manifest.patch
    }

    /// Returns the manifest that names the chunks.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Returns the chunks by digest.
    pub fn chunks(&self) -> &Chunks {
        &self.chunks
    }

    /// Returns the whole declaration as a JSON document, teams included.
    ///
    /// # Errors
    ///
    /// Returns an error when a chunk is missing, does not match its digest or is not an object.
    pub fn document(&self) -> Result<Document, ConfigError> {
        crate::config::reader::join_chunks(&self.manifest, &self.chunks)
    }
}
