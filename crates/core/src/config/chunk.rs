//! Splits a document into immutable chunks and decodes chunks.
//!
//! The entries of a section are distributed over hash buckets by their names; each non-empty bucket
//! is stored as one chunk.

use std::collections::BTreeMap;

use crate::config::document::Document;
use crate::config::document::Section;
use crate::config::manifest::ChunkRef;
use crate::config::manifest::Manifest;
use crate::config::manifest::PatchId;
use crate::config::manifest::SectionRef;
use crate::config::ConfigError;
use crate::defect::planted;
use crate::digest::fast_hash;
use crate::digest::Digest;
use crate::finding::Finding;
use crate::ids::ConfigNumber;
use crate::store::MAX_VALUE_BYTES;

/// Mean chunk size above which the number of a section's buckets is doubled, in bytes.
const MAX_MEAN_CHUNK_BYTES: usize = 32 * 1024;
/// Mean chunk size below which the number of a section's buckets is halved, in bytes.
const MIN_MEAN_CHUNK_BYTES: usize = 8 * 1024;
const MAX_BUCKETS: usize = 4096;

/// A chunk that is not in the store yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewChunk {
    /// Reference by which the manifest names the chunk.
    pub chunk: ChunkRef,
    /// Encoded entries of one bucket.
    pub bytes: Vec<u8>,
}

/// A document split into chunks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SplitDocument {
    /// References to the chunks of each section, for the manifest.
    pub sections: BTreeMap<String, SectionRef>,
    /// Chunks that have to be written to the store.
    pub new_chunks: Vec<NewChunk>,
}

/// Returns the index of the hash bucket of the entry `name`; `buckets` is a power of two.
pub fn bucket_index(name: &str, buckets: usize) -> usize {
    let mask = buckets as u64 - 1;
    usize::try_from(fast_hash(name.as_bytes()) & mask).unwrap_or(0)
}

/// Splits `document` into chunks, reusing the chunks of `base` that have not changed.
///
/// New chunks get keys with `number` and `patch`.
///
/// # Errors
///
/// Returns a finding for each chunk that is larger than [`MAX_VALUE_BYTES`].
pub fn split(
    document: &Document,
    base: Option<&Manifest>,
    number: ConfigNumber,
    patch: PatchId,
) -> Result<SplitDocument, Vec<Finding>> {
    let mut split = SplitDocument { sections: BTreeMap::new(), new_chunks: Vec::new() };
    let mut findings = Vec::new();
    for (name, entries) in document.sections() {
        let old = base.and_then(|base| base.sections.get(name));
        let count = bucket_count(entries, old.map_or(1, |old| old.chunks.len()));
        let mut section = SectionRef { chunks: vec![None; count] };
        for (i, bytes) in encode_buckets(entries, count).into_iter().enumerate() {
            let Some(bytes) = bytes else { continue };
            if bytes.len() > MAX_VALUE_BYTES {
                let text = format!("the entries of one chunk exceed {MAX_VALUE_BYTES} bytes");
                findings.push(Finding { pointer: format!("/{name}"), text });
            }
            let digest = Digest::of(&bytes);
            let kept = old.filter(|old| old.chunks.len() == count).and_then(|old| old.chunks[i]);
            if let Some(kept) = kept.filter(|kept| kept.digest == digest) {
                section.chunks[i] = Some(kept);
                continue;
            }
            let chunk = ChunkRef { number, patch, digest };
            section.chunks[i] = Some(chunk);
            split.new_chunks.push(NewChunk { chunk, bytes });
        }
        split.sections.insert(name.clone(), section);
    }
    if findings.is_empty() {
        Ok(split)
    } else {
        Err(findings)
    }
}

fn bucket_count(entries: &Section, old: usize) -> usize {
    let bytes: usize = entries.iter().map(|(name, entry)| entry_bytes(name, entry)).sum();
    let mut count = old;
    while bytes / count > MAX_MEAN_CHUNK_BYTES && count < MAX_BUCKETS {
        count *= 2;
    }
    while count > 1 && bytes / count < MIN_MEAN_CHUNK_BYTES {
        count /= 2;
    }
    count
}

fn entry_bytes(name: &str, entry: &serde_json::Value) -> usize {
    /// The quotes of the name, the colon and the comma.
    const PUNCTUATION_BYTES: usize = 4;
    let value = serde_json::to_vec(entry).map_or(0, |buf| buf.len());
    name.len() + value + PUNCTUATION_BYTES
}

fn encode_buckets(entries: &Section, count: usize) -> Vec<Option<Vec<u8>>> {
    let mut buckets = vec![BTreeMap::new(); count];
    for (name, entry) in entries {
        buckets[bucket_index(name, count)].insert(name, entry);
    }
    let encode = |bucket: BTreeMap<_, _>| {
        (!bucket.is_empty())
            .then(|| serde_json::to_vec(&bucket).expect("a section has only string keys"))
    };
    buckets.into_iter().map(encode).collect()
}

/// Checks the digest of a chunk and decodes its entries.
///
/// # Errors
///
/// Returns [`ConfigError::Malformed`] when `bytes` do not match `digest` or are not a JSON object.
pub fn decode(digest: Digest, bytes: &[u8]) -> Result<Section, ConfigError> {
    if Digest::of(bytes) != digest && !planted!(AdoptUncheckedChunk) {
        return Err(ConfigError::Malformed(format!(
            "the bytes of chunk {digest} do not match its digest"
        )));
    }
    serde_json::from_slice(bytes).map_err(|e| ConfigError::Malformed(e.to_string()))
}
