//! Splits a document into immutable chunks and joins chunks again.

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

/// Mean size of a chunk above which a section gets more buckets, in bytes.
const MAX_MEAN_CHUNK_BYTES: usize = 32 * 1024;
/// Mean size of a chunk below which a section gets fewer buckets, in bytes.
const MIN_MEAN_CHUNK_BYTES: usize = 8 * 1024;
const MAX_BUCKETS: usize = 4096;

/// A chunk that is not in the store yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewChunk {
    /// Its reference.
    pub chunk: ChunkRef,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// A document split into chunks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SplitDocument {
    /// Chunks of each section.
    pub sections: BTreeMap<String, SectionRef>,
    /// Chunks to write.
    pub new_chunks: Vec<NewChunk>,
}

/// Returns the bucket that an entry belongs to.
pub fn bucket_index(name: &str, buckets: usize) -> usize {
    let mask = buckets as u64 - 1;
    usize::try_from(fast_hash(name.as_bytes()) & mask).unwrap_or(0)
}

/// Splits `document`, taking over the chunks of `base` that have not changed.
///
/// # Errors
///
/// Returns findings for sections with a chunk too large for the store.
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
                let text = format!("entries of one chunk exceed {MAX_VALUE_BYTES} bytes");
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

/// Reads the entries of a chunk after checking its digest.
///
/// # Errors
///
/// Returns [`ConfigError::Malformed`] when the bytes are not the chunk that `digest` stands for.
pub fn decode(digest: Digest, bytes: &[u8]) -> Result<Section, ConfigError> {
    if Digest::of(bytes) != digest && !planted!(AdoptUncheckedChunk) {
        return Err(ConfigError::Malformed(format!("chunk {digest} has other bytes")));
    }
    serde_json::from_slice(bytes).map_err(|e| ConfigError::Malformed(e.to_string()))
}
