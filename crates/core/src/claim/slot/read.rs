//! Reads a slot (its head, then the sealed segments not yet indexed) and finds the records that a
//! restore of the store lost.

use std::collections::VecDeque;

use super::index::SegmentIndex;
use super::Phase;
use super::Replies;
use super::SlotWriter;
use super::StoreCall;
use crate::claim::encoding::decode_segment;
use crate::claim::encoding::encoded_len;
use crate::claim::encoding::head_key;
use crate::claim::encoding::segment_key;
use crate::claim::encoding::SegmentRef;
use crate::claim::encoding::SlotHead;
use crate::claim::record::Record;
use crate::claim::repair;
use crate::clock::Millis;
use crate::defect::planted;
use crate::ids::KeyVersion;
use crate::store::Versioned;

impl SlotWriter {
    pub(super) fn read_head(&mut self) -> StoreCall {
        self.phase = Phase::ReadingHead;
        self.counts.reads += 1;
        StoreCall::Get { key: head_key(self.slot) }
    }

    pub(super) fn read_segment(&mut self) -> Option<StoreCall> {
        let Phase::Loading(todo) = &mut self.phase else {
            return None;
        };
        let todo = std::mem::take(todo);
        let first = todo.front().copied()?;
        self.phase = Phase::ReadingSegment(todo);
        self.counts.reads += 1;
        Some(StoreCall::Get { key: segment_key(self.slot, first.id) })
    }

    pub(super) fn on_head(&mut self, now: Millis, found: Option<Versioned>) -> Replies {
        let (version, head) = match found {
            None => (KeyVersion(0), SlotHead::default()),
            Some(found) => match SlotHead::decode(&found.value) {
                Ok(head) => (found.version, head),
                Err(_) => return self.on_damaged(now),
            },
        };
        if head.sequence < self.sequence {
            self.on_restored();
        }
        self.head_version = version;
        self.sequence = self.sequence.max(head.sequence);
        self.sealed = head.sealed;
        // The sealed copy of these records may not be indexed yet. If the store is restored before
        // it is read, only this copy shows what was lost.
        self.unverified.extend(std::mem::take(&mut self.open).into_values());
        self.set_open(head.open);
        self.pending_seal = None;
        self.index.retain_segments(&self.sealed);
        let unknown = |segment: &&SegmentRef| !self.index.has_segment(segment.id);
        let mut todo: VecDeque<SegmentRef> = self.sealed.iter().filter(unknown).copied().collect();
        if planted!(TakeoverWithoutSegments) {
            todo.clear();
        }
        self.continue_loading(now, todo);
        Replies::new()
    }

    pub(super) fn on_segment(
        &mut self,
        now: Millis,
        mut todo: VecDeque<SegmentRef>,
        found: Option<Versioned>,
    ) -> Replies {
        let records = found.map(|found| decode_segment(&found.value));
        match (todo.pop_front(), records) {
            (Some(segment), Some(Ok(records))) => {
                self.index.add_segment(segment.id, &records);
                self.continue_loading(now, todo);
                Replies::new()
            }
            // Another writer may have deleted the segment; the next read of the head shows it.
            _ => self.on_damaged(now),
        }
    }

    /// Reads the next segment of `todo`; when none is left, determines the records to repair.
    pub(super) fn continue_loading(&mut self, now: Millis, todo: VecDeque<SegmentRef>) {
        if !todo.is_empty() {
            self.phase = Phase::Loading(todo);
            return;
        }
        self.phase = Phase::Ready;
        self.head_read_at = now;
        for record in std::mem::take(&mut self.unverified) {
            if repair::needs_repair(&record, self.lookup(record.key).as_ref()) {
                self.repairs.insert(record.key, record);
            }
        }
    }

    /// Keeps all known records for a comparison with the older copy found in the store.
    pub(super) fn on_restored(&mut self) {
        self.counts.restores += 1;
        if planted!(RestoreWithoutRepair) {
            self.sequence = 0;
            self.open.clear();
            self.index = SegmentIndex::default();
            return;
        }
        let known = self.index.records().chain(self.open.values().cloned());
        let mut unverified: Vec<Record> = known.collect();
        unverified.extend(std::mem::take(&mut self.repairs).into_values());
        unverified.append(&mut self.unverified);
        self.unverified = unverified;
        self.index = SegmentIndex::default();
    }

    pub(super) fn set_open(&mut self, records: Vec<Record>) {
        self.open_bytes = records.iter().map(encoded_len).sum();
        self.open = records.into_iter().map(|record| (record.key, record)).collect();
    }
}
