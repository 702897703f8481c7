//! Writes a slot: builds batches, seals the open segment and swaps the head.

use std::collections::BTreeMap;

use rand::Rng;

use super::Garbage;
use super::PendingOp;
use super::Phase;
use super::Replies;
use super::SlotWriter;
use super::StoreCall;
use crate::claim::budget::WriteBudget;
use crate::claim::encoding::encode_segment;
use crate::claim::encoding::head_key;
use crate::claim::encoding::segment_key;
use crate::claim::encoding::SegmentRef;
use crate::claim::encoding::SlotHead;
use crate::claim::messages::OpReply;
use crate::claim::record::ClaimKey;
use crate::claim::record::Record;
use crate::claim::rules::next_record;
use crate::clock::Millis;
use crate::defect::planted;
use crate::ids::KeyVersion;
use crate::store::StoreError;

impl SlotWriter {
    pub(super) fn poll_ready<R: Rng>(
        &mut self,
        now: Millis,
        unix_now: Millis,
        budget: &mut WriteBudget,
        rng: &mut R,
    ) -> (Replies, Option<StoreCall>) {
        let mut replies = Replies::new();
        if self.begin_recheck() {
            return (replies, Some(self.read_head()));
        }
        let retention = self.settings.retention;
        self.repairs.retain(|_, record| record.written + retention > unix_now);
        self.take_batch(&mut replies);
        let changes = self.batch_changes(unix_now);
        if changes.is_empty() {
            self.answer_batch(&mut replies);
            return (replies, None);
        }
        if !budget.take(now) {
            self.requeue_batch();
            return (replies, None);
        }
        if self.pending_seal.is_none() && self.open_bytes >= self.settings.seal_bytes {
            return (replies, Some(self.seal_open(rng)));
        }
        if planted!(ReplyBeforeCommit) {
            let early = self.batch.iter().map(|pending| {
                let record = changes.get(&pending.op.key).cloned();
                let record = record.or_else(|| self.lookup(pending.op.key));
                let reply = record.map_or(OpReply::Absent, |record| OpReply::Recorded {
                    record,
                    sequence: self.sequence,
                });
                (pending.ticket, reply)
            });
            replies.extend(early.collect::<Vec<_>>());
        }
        (replies, Some(self.swap_head(unix_now, changes)))
    }

    /// Returns whether the head has to be read again, because a sender has seen a higher sequence
    /// number than this writer. Marks all waiting operations, so that each causes one read at most.
    pub(super) fn begin_recheck(&mut self) -> bool {
        let sequence = self.sequence;
        let ahead = |pending: &PendingOp| pending.seen_sequence > sequence && !pending.rechecked;
        if !self.queue.iter().any(ahead) {
            return false;
        }
        self.queue.iter_mut().for_each(|pending| pending.rechecked = true);
        true
    }

    pub(super) fn take_batch(&mut self, replies: &mut Replies) {
        while self.batch.len() < self.settings.max_batch {
            let Some(pending) = self.queue.pop_front() else {
                break;
            };
            if pending.seen_sequence > self.sequence {
                replies.push((pending.ticket, OpReply::Restored));
            } else {
                self.batch.push(pending);
            }
        }
    }

    pub(super) fn requeue_batch(&mut self) {
        while let Some(pending) = self.batch.pop() {
            self.queue.push_front(pending);
        }
    }

    pub(super) fn answer_batch(&mut self, replies: &mut Replies) {
        for pending in std::mem::take(&mut self.batch) {
            replies.push((pending.ticket, self.reply_for(pending.op.key)));
        }
    }

    /// Returns the records to write: up to `max_batch` records to repair, and on top of them the
    /// changes of the batch's operations, applied one by one.
    pub(super) fn batch_changes(&self, unix_now: Millis) -> BTreeMap<ClaimKey, Record> {
        let repairs = self.repairs.iter().take(self.settings.max_batch);
        let mut changes: BTreeMap<ClaimKey, Record> =
            repairs.map(|(key, record)| (*key, record.clone())).collect();
        for PendingOp { op, .. } in &self.batch {
            let present = changes.get(&op.key).cloned().or_else(|| self.lookup(op.key));
            if let Some(record) = next_record(present.as_ref(), op, unix_now) {
                changes.insert(op.key, record);
            }
        }
        changes
    }

    pub(super) fn seal_open<R: Rng>(&mut self, rng: &mut R) -> StoreCall {
        let newest = self.open.values().map(|record| record.written).max().unwrap_or_default();
        let segment = SegmentRef { id: rng.random(), newest };
        let value = encode_segment(self.open.values());
        self.counts.written_bytes += value.len() as u64;
        self.phase = Phase::Sealing(segment);
        StoreCall::Swap { key: segment_key(self.slot, segment.id), expect: KeyVersion(0), value }
    }

    pub(super) fn on_sealed(
        &mut self,
        now: Millis,
        segment: SegmentRef,
        result: Result<KeyVersion, StoreError>,
    ) -> Replies {
        self.requeue_batch();
        match result {
            Ok(_) => {
                self.pending_seal = Some(segment);
                self.counts.seals += 1;
                self.phase = Phase::Ready;
                Replies::new()
            }
            // The segment may exist, but no head lists it.
            Err(StoreError::AnswerLost | StoreError::Conflict(_)) => {
                self.counts.lost_answers += 1;
                self.discard_segment(segment.id);
                self.phase = Phase::Ready;
                Replies::new()
            }
            Err(_) => self.on_store_unavailable(now),
        }
    }

    pub(super) fn swap_head(
        &mut self,
        unix_now: Millis,
        changes: BTreeMap<ClaimKey, Record>,
    ) -> StoreCall {
        let live = |written: Millis| written + self.settings.retention > unix_now;
        let mut sealed = self.sealed.clone();
        let mut open = self.open.clone();
        if let Some(segment) = self.pending_seal {
            sealed.push(segment);
            open.clear();
        }
        sealed.retain(|segment| live(segment.newest));
        open.extend(changes);
        let open = open.into_values().filter(|record| live(record.written)).collect();
        let head = SlotHead { sequence: self.sequence + 1, sealed, open };
        let value = head.encode();
        self.counts.written_bytes += value.len() as u64;
        self.phase = Phase::Swapping(head);
        StoreCall::Swap { key: head_key(self.slot), expect: self.head_version, value }
    }

    pub(super) fn on_swapped(
        &mut self,
        now: Millis,
        head: SlotHead,
        result: Result<KeyVersion, StoreError>,
    ) -> Replies {
        match result {
            Ok(version) => self.on_committed(version, head),
            Err(StoreError::Conflict(_)) => {
                self.counts.conflicts += 1;
                self.requeue_and_reread();
                Replies::new()
            }
            Err(StoreError::AnswerLost) => {
                self.counts.lost_answers += 1;
                self.requeue_and_reread();
                Replies::new()
            }
            Err(_) => self.on_store_unavailable(now),
        }
    }

    pub(super) fn on_committed(&mut self, version: KeyVersion, head: SlotHead) -> Replies {
        self.counts.swaps += 1;
        self.head_version = version;
        self.sequence = head.sequence;
        if let Some(segment) = self.pending_seal.take() {
            let records: Vec<Record> = std::mem::take(&mut self.open).into_values().collect();
            self.index.add_segment(segment.id, &records);
        }
        for dropped in self.sealed.iter().filter(|segment| !head.sealed.contains(segment)) {
            self.garbage.push(Garbage { segment: dropped.id, deletable_after: KeyVersion(0) });
        }
        for record in &head.open {
            self.repairs.remove(&record.key);
        }
        self.sealed = head.sealed;
        self.index.retain_segments(&self.sealed);
        self.set_open(head.open);
        self.phase = Phase::Ready;
        let mut replies = Replies::new();
        self.answer_batch(&mut replies);
        replies
    }

    /// Returns the batch to the queue and requires a read of the head, because the store may hold
    /// another head.
    pub(super) fn requeue_and_reread(&mut self) {
        self.requeue_batch();
        if let Some(segment) = self.pending_seal.take() {
            self.discard_segment(segment.id);
        }
        self.phase = Phase::NotRead;
    }

    /// Handles a value that cannot be decoded, or a missing segment, like a failed call to the
    /// store, so that the head is not overwritten.
    pub(super) fn on_damaged(&mut self, now: Millis) -> Replies {
        self.counts.damaged += 1;
        self.on_store_unavailable(now)
    }

    /// Fails all waiting operations and starts the backoff.
    pub(super) fn on_store_unavailable(&mut self, now: Millis) -> Replies {
        self.requeue_and_reread();
        self.backoff_until = now + self.settings.store_backoff;
        self.fail_queue()
    }

    pub(super) fn fail_queue(&mut self) -> Replies {
        let failed = std::mem::take(&mut self.queue);
        failed.into_iter().map(|pending| (pending.ticket, OpReply::Unavailable)).collect()
    }
}
