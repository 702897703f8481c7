//! An index of the records in a slot's sealed segments, without their answers.

use std::collections::HashMap;
use std::collections::HashSet;

use crate::claim::encoding::SegmentRef;
use crate::claim::record::ClaimKey;
use crate::claim::record::ClaimState;
use crate::claim::record::Holder;
use crate::claim::record::Nonce;
use crate::claim::record::Record;
use crate::claim::record::RequestDigest;
use crate::clock::Millis;
use crate::reason::RefusalReason;

/// A [`ClaimState`] without the answer.
#[derive(Clone, Copy, Debug)]
enum IndexedState {
    Claimed,
    Unknown,
    Answered,
    AnswerNotKept,
    Tombstone(RefusalReason),
}

#[derive(Clone, Debug)]
struct Entry {
    digest: RequestDigest,
    nonce: Nonce,
    written: Millis,
    segment: u64,
    /// Position in [`SegmentIndex::holders`].
    holder: u32,
    generation: u32,
    state: IndexedState,
}

/// Finds the newest sealed record of a key.
#[derive(Debug, Default)]
pub struct SegmentIndex {
    entries: HashMap<ClaimKey, Entry>,
    segments: HashSet<u64>,
    /// Each distinct holder once, because many records have the same one.
    holders: Vec<Holder>,
    holder_numbers: HashMap<Holder, u32>,
}

impl SegmentIndex {
    /// Returns the number of indexed keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the segment was added.
    pub fn has_segment(&self, segment: u64) -> bool {
        self.segments.contains(&segment)
    }

    /// Adds the records of a segment, which must be newer than all segments added before.
    pub fn add_segment(&mut self, segment: u64, records: &[Record]) {
        self.segments.insert(segment);
        for record in records {
            let entry = Entry {
                digest: record.digest,
                nonce: record.nonce,
                written: record.written,
                segment,
                holder: self.holder_number(&record.holder),
                generation: record.generation,
                state: indexed_state(&record.state),
            };
            self.entries.insert(record.key, entry);
        }
    }

    /// Removes the records of all segments that are not in `kept`.
    pub fn retain_segments(&mut self, kept: &[SegmentRef]) {
        let kept: HashSet<u64> = kept.iter().map(|segment| segment.id).collect();
        if self.segments.is_subset(&kept) {
            return;
        }
        self.segments.retain(|segment| kept.contains(segment));
        self.entries.retain(|_, entry| kept.contains(&entry.segment));
        if self.entries.is_empty() {
            self.holders.clear();
            self.holder_numbers.clear();
        }
    }

    /// Returns the newest record of a key; an answer is replaced by its segment's number.
    pub fn get(&self, key: ClaimKey) -> Option<Record> {
        self.entries.get(&key).map(|entry| self.record(key, entry))
    }

    /// Returns the newest record of each indexed key.
    pub fn records(&self) -> impl Iterator<Item = Record> + '_ {
        self.entries.iter().map(|(key, entry)| self.record(*key, entry))
    }

    fn record(&self, key: ClaimKey, entry: &Entry) -> Record {
        let state = match entry.state {
            IndexedState::Claimed => ClaimState::Claimed,
            IndexedState::Unknown => ClaimState::Unknown,
            IndexedState::Answered => ClaimState::AnswerSealed(entry.segment),
            IndexedState::AnswerNotKept => ClaimState::AnswerNotKept,
            IndexedState::Tombstone(reason) => ClaimState::Tombstone(reason),
        };
        Record {
            key,
            digest: entry.digest,
            holder: self.holders[entry.holder as usize].clone(),
            nonce: entry.nonce,
            generation: entry.generation,
            written: entry.written,
            state,
        }
    }

    fn holder_number(&mut self, holder: &Holder) -> u32 {
        if let Some(number) = self.holder_numbers.get(holder) {
            return *number;
        }
        let number = self.holders.len() as u32;
        self.holders.push(holder.clone());
        self.holder_numbers.insert(holder.clone(), number);
        number
    }
}

fn indexed_state(state: &ClaimState) -> IndexedState {
    match state {
        ClaimState::Claimed => IndexedState::Claimed,
        ClaimState::Unknown => IndexedState::Unknown,
        ClaimState::Answered(_) | ClaimState::AnswerSealed(_) => IndexedState::Answered,
        ClaimState::AnswerNotKept => IndexedState::AnswerNotKept,
        ClaimState::Tombstone(reason) => IndexedState::Tombstone(*reason),
    }
}
