//! Deletes chunks that no configuration can refer to any more.
//!
//! The key of a chunk contains the number that its patch would get. A manifest refers only to
//! chunks of the preceding manifest and to chunks written for its own number. A chunk that was
//! written for number N or lower and that manifest N does not refer to can therefore never be
//! referred to again.

use std::collections::BTreeSet;

use crate::config::manifest::ChunkRef;
use crate::config::manifest::Manifest;
use crate::config::manifest::CHUNK_PREFIX;
use crate::config::manifest::MANIFEST_KEY;
use crate::config::store_call::Procedure;
use crate::config::store_call::Step;
use crate::config::store_call::StoreAnswer;
use crate::config::store_call::StoreCall;
use crate::ids::KeyVersion;

/// Most chunks that one procedure deletes.
const MAX_DELETES: usize = 512;

#[derive(Debug)]
enum State {
    ReadingManifest,
    Listing(Box<Manifest>),
    Deleting(Vec<(String, KeyVersion)>),
}

/// Deletes chunks that are not referred to any more and returns how many it deleted.
#[derive(Debug)]
pub struct ChunkCollector {
    state: State,
    deleted: usize,
}

impl ChunkCollector {
    /// Creates a procedure that begins with a read of the manifest.
    pub fn new() -> Self {
        Self { state: State::ReadingManifest, deleted: 0 }
    }

    fn delete_next(&mut self) -> Step<usize> {
        match &mut self.state {
            State::Deleting(garbage) => match garbage.pop() {
                Some((key, expect)) => Step::call(StoreCall::Delete { key, expect }),
                None => Step::Done(self.deleted),
            },
            _ => Step::Done(self.deleted),
        }
    }
}

impl Default for ChunkCollector {
    fn default() -> Self {
        Self::new()
    }
}

fn garbage(manifest: &Manifest, keys: Vec<(String, KeyVersion)>) -> Vec<(String, KeyVersion)> {
    let used: BTreeSet<ChunkRef> = manifest.chunks().map(|(_, chunk)| chunk).collect();
    let is_garbage = |key: &str| {
        ChunkRef::from_key(key)
            .is_some_and(|chunk| chunk.number <= manifest.number && !used.contains(&chunk))
    };
    keys.into_iter().filter(|(key, _)| is_garbage(key)).take(MAX_DELETES).collect()
}

impl Procedure for ChunkCollector {
    type Outcome = usize;

    fn next(&mut self, answer: Option<StoreAnswer>) -> Step<usize> {
        match (answer, &self.state) {
            (None, _) => Step::call(StoreCall::Get(MANIFEST_KEY.to_owned())),
            (Some(StoreAnswer::Value(Some(value))), State::ReadingManifest) => {
                let Ok(manifest) = Manifest::decode(&value.value) else {
                    return Step::Done(0);
                };
                self.state = State::Listing(Box::new(manifest));
                Step::call(StoreCall::List(CHUNK_PREFIX.to_owned()))
            }
            (Some(StoreAnswer::Keys(keys)), State::Listing(manifest)) => {
                self.state = State::Deleting(garbage(manifest, keys));
                self.delete_next()
            }
            (Some(StoreAnswer::Deleted), State::Deleting(_)) => {
                self.deleted += 1;
                self.delete_next()
            }
            // The procedure that runs after the next patch deletes the chunks that are left.
            _ => Step::Done(self.deleted),
        }
    }
}
