//! Reads the current manifest and its chunks from the store.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::config::chunk;
use crate::config::document::Document;
use crate::config::manifest::ChunkRef;
use crate::config::manifest::Manifest;
use crate::config::manifest::MANIFEST_KEY;
use crate::config::store_call::Procedure;
use crate::config::store_call::RetryBackoff;
use crate::config::store_call::Step;
use crate::config::store_call::StoreAnswer;
use crate::config::store_call::StoreCall;
use crate::config::ConfigError;
use crate::digest::Digest;
use crate::ids::KeyVersion;
use crate::store::StoreError;

/// Bytes of chunks by digest.
pub type Chunks = BTreeMap<Digest, Arc<[u8]>>;

/// A configuration as read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredConfig {
    /// The manifest.
    pub manifest: Manifest,
    /// Version of the manifest's key.
    pub version: KeyVersion,
    /// Chunks of the manifest, checked against their digests.
    pub chunks: Chunks,
}

impl StoredConfig {
    /// Decodes the chunks and joins them to one document.
    ///
    /// # Errors
    ///
    /// Returns an error when a chunk is missing, does not match its digest or is not an object.
    pub fn document(&self) -> Result<Document, ConfigError> {
        join_chunks(&self.manifest, &self.chunks)
    }
}

/// Decodes the chunks of `manifest` and joins them to one document.
///
/// # Errors
///
/// Returns an error when a chunk is missing, does not match its digest or is not an object.
pub fn join_chunks(manifest: &Manifest, chunks: &Chunks) -> Result<Document, ConfigError> {
    let mut document = Document::new();
    for (section, chunk) in manifest.chunks() {
        let bytes =
            chunks.get(&chunk.digest).ok_or_else(|| ConfigError::MissingChunk(chunk.key()))?;
        document.extend(section, chunk::decode(chunk.digest, bytes)?);
    }
    Ok(document)
}

/// A manifest that has been read, with the chunks read so far.
#[derive(Debug)]
struct PartialRead {
    stored: StoredConfig,
    missing: Vec<ChunkRef>,
}

/// Reads the current configuration, except for chunks that the caller already has.
///
/// The outcome is `None` when the store holds no configuration.
#[derive(Debug)]
pub struct Reader {
    known_chunks: Chunks,
    backoff: RetryBackoff,
    partial: Option<PartialRead>,
}

impl Reader {
    /// Creates a reader that takes chunks from `known_chunks` instead of reading them.
    pub fn new(known_chunks: Chunks) -> Self {
        Self { known_chunks, backoff: RetryBackoff::new(), partial: None }
    }

    fn call(&self) -> StoreCall {
        let chunk = self.partial.as_ref().and_then(|partial| partial.missing.last());
        StoreCall::Get(chunk.map_or_else(|| MANIFEST_KEY.to_owned(), ChunkRef::key))
    }

    fn retry(&mut self, e: ConfigError) -> Step<Result<Option<StoredConfig>, ConfigError>> {
        match self.backoff.on_failure() {
            Some(pause) => Step::Call { call: self.call(), pause },
            None => Step::Done(Err(e)),
        }
    }

    fn take_manifest(&mut self, version: KeyVersion, bytes: &[u8]) -> Result<(), ConfigError> {
        let manifest = Manifest::decode(bytes)?;
        let mut chunks = Chunks::new();
        let mut missing = Vec::new();
        for (_, chunk) in manifest.chunks() {
            match self.known_chunks.get(&chunk.digest) {
                Some(bytes) => {
                    chunks.insert(chunk.digest, Arc::clone(bytes));
                }
                None => missing.push(chunk),
            }
        }
        self.partial =
            Some(PartialRead { stored: StoredConfig { manifest, version, chunks }, missing });
        Ok(())
    }

    fn add_chunk(&mut self, bytes: Vec<u8>) -> Result<(), ConfigError> {
        let Some(partial) = &mut self.partial else { return Ok(()) };
        let Some(chunk) = partial.missing.last() else { return Ok(()) };
        if Digest::of(&bytes) != chunk.digest {
            return Err(ConfigError::Malformed(format!(
                "the bytes of {} do not match their digest",
                chunk.key()
            )));
        }
        partial.stored.chunks.insert(chunk.digest, bytes.into());
        partial.missing.pop();
        self.backoff.on_success();
        Ok(())
    }

    fn advance(&mut self) -> Step<Result<Option<StoredConfig>, ConfigError>> {
        let complete = self.partial.as_ref().is_some_and(|partial| partial.missing.is_empty());
        if complete {
            if let Some(partial) = self.partial.take() {
                return Step::Done(Ok(Some(partial.stored)));
            }
        }
        Step::call(self.call())
    }

    /// Starts over with the manifest, because a chunk may be missing since its manifest was
    /// replaced.
    fn restart(&mut self, key: String) -> Step<Result<Option<StoredConfig>, ConfigError>> {
        if let Some(partial) = self.partial.take() {
            self.known_chunks.extend(partial.stored.chunks);
        }
        self.retry(ConfigError::MissingChunk(key))
    }
}

impl Procedure for Reader {
    type Outcome = Result<Option<StoredConfig>, ConfigError>;

    fn next(&mut self, answer: Option<StoreAnswer>) -> Step<Self::Outcome> {
        let value = match answer {
            None => return Step::call(self.call()),
            Some(StoreAnswer::Value(value)) => value,
            Some(StoreAnswer::Failed(e)) => return self.retry(ConfigError::Store(e)),
            Some(_) => return self.retry(ConfigError::Store(StoreError::AnswerLost)),
        };
        let taken = match (value, &self.partial) {
            (None, None) => return Step::Done(Ok(None)),
            (None, Some(partial)) => {
                let key = partial.missing.last().map(ChunkRef::key).unwrap_or_default();
                return self.restart(key);
            }
            (Some(value), None) => self.take_manifest(value.version, &value.value),
            (Some(value), Some(_)) => self.add_chunk(value.value),
        };
        match taken {
            Ok(()) => self.advance(),
            Err(e) => Step::Done(Err(e)),
        }
    }
}
