//! Group commit of one slot.
//!
//! A writer keeps the records of its slot in memory and has at most one call to the store in
//! flight. Operations that arrive meanwhile form the next batch, so batches grow with the load. A
//! batch becomes one compare-and-swap of the slot's head (a swap), and its operations are answered
//! only after the store has confirmed the swap. After a conflict or a lost answer the writer reads
//! the slot again and applies the batch again; if the write had taken effect, the operations find
//! their own nonce in the records and change nothing.
//!
//! When the open segment grows too large, the writer seals it: it writes the records to a key of
//! their own, and the next swap of the head lists that segment and starts an empty open segment.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use rand::Rng;
use smallvec::SmallVec;

use super::budget::WriteBudget;
use super::encoding::segment_key;
use super::encoding::SegmentRef;
use super::encoding::SlotHead;
use super::messages::OpReply;
use super::record::ClaimKey;
use super::record::Record;
use super::record::SlotId;
use super::rules::Op;
use crate::clock::Millis;
use crate::ids::KeyVersion;
use crate::store::StoreError;
use crate::store::Versioned;

mod index;
mod read;
mod write;

use index::SegmentIndex;

/// Limits and times of a slot's writer.
#[derive(Clone, Copy, Debug)]
pub struct SlotSettings {
    /// How long records are kept after their last write.
    pub retention: Millis,
    /// Size at which the open segment is sealed, in bytes.
    pub seal_bytes: usize,
    /// Most operations that one swap commits.
    pub max_batch: usize,
    /// Most operations that wait for a batch.
    pub max_queue: usize,
    /// How long after a failed call to the store operations fail at once, without another call.
    pub store_backoff: Millis,
    /// Time after which an idle writer reads the head again.
    pub max_head_age: Millis,
}

impl Default for SlotSettings {
    fn default() -> Self {
        Self {
            retention: Millis(6 * 3_600 * 1_000),
            seal_bytes: 16 << 10,
            max_batch: 256,
            max_queue: 4_096,
            store_backoff: Millis(100),
            max_head_age: Millis(30_000),
        }
    }
}

/// Identifies an operation that waits for its reply.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// The error of an operation that was not queued because too many operations wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueFull;

/// Replies to send now.
pub type Replies = SmallVec<[(Ticket, OpReply); 4]>;

/// A call to the store that the driver has to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Reads a key.
    Get {
        /// Key to read.
        key: String,
    },
    /// Writes a key if it has the expected version (compare-and-swap).
    Swap {
        /// Key to write.
        key: String,
        /// Expected version; zero if the key must not exist.
        expect: KeyVersion,
        /// New value.
        value: Vec<u8>,
    },
    /// Deletes a sealed segment that the head does not list.
    Delete {
        /// Key to delete.
        key: String,
    },
}

/// The answer to a [`StoreCall`].
#[derive(Clone, Debug)]
pub enum StoreAnswer {
    /// Answer to a read.
    Got(Result<Option<Versioned>, StoreError>),
    /// Answer to a write.
    Swapped(Result<KeyVersion, StoreError>),
    /// Answer to a deletion.
    Deleted,
}

/// Counters of a slot's writer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlotCounts {
    /// Confirmed swaps of the head.
    pub swaps: u64,
    /// Swaps that failed because another writer had changed the head.
    pub conflicts: u64,
    /// Writes that may have taken effect without an answer from the store.
    pub lost_answers: u64,
    /// Segments sealed.
    pub seals: u64,
    /// Reads of heads and sealed segments.
    pub reads: u64,
    /// Bytes written, failed swaps included.
    pub written_bytes: u64,
    /// Reads that found an older copy of the head, as after a restore of the store.
    pub restores: u64,
    /// Values that could not be decoded, and listed segments that were missing.
    pub damaged: u64,
}

#[derive(Debug)]
struct PendingOp {
    ticket: Ticket,
    /// Highest sequence number of the slot that the sender has seen.
    seen_sequence: u64,
    /// Whether the head was read again because `seen_sequence` is beyond the writer's.
    rechecked: bool,
    op: Op,
}

#[derive(Debug)]
enum Phase {
    /// No call is in flight; the head has to be read before the next batch.
    NotRead,
    ReadingHead,
    /// No call is in flight; these sealed segments still have to be read, in order.
    Loading(VecDeque<SegmentRef>),
    /// The first of these segments is being read.
    ReadingSegment(VecDeque<SegmentRef>),
    /// No call is in flight; the slot is in memory.
    Ready,
    /// The open segment is being written as this sealed segment.
    Sealing(SegmentRef),
    /// This head is being written.
    Swapping(SlotHead),
    Deleting,
}

/// A sealed segment that the head does not list and that has to be deleted.
#[derive(Clone, Copy, Debug)]
struct Garbage {
    segment: u64,
    /// Version that the head must have passed before the segment can be deleted, because a delayed
    /// swap that expects this version may still list the segment.
    deletable_after: KeyVersion,
}

/// The writer of one slot.
#[derive(Debug)]
pub struct SlotWriter {
    slot: SlotId,
    settings: SlotSettings,
    phase: Phase,
    head_version: KeyVersion,
    sequence: u64,
    sealed: Vec<SegmentRef>,
    open: BTreeMap<ClaimKey, Record>,
    open_bytes: usize,
    index: SegmentIndex,
    queue: VecDeque<PendingOp>,
    batch: Vec<PendingOp>,
    /// Sealed copy of the open segment, which the next swap lists.
    pending_seal: Option<SegmentRef>,
    garbage: Vec<Garbage>,
    /// Records known before the head was read again, kept until all segments are read and the
    /// records that a restore lost can be determined.
    unverified: Vec<Record>,
    /// Records that a restore lost and that the next swaps write again.
    repairs: BTreeMap<ClaimKey, Record>,
    /// Until when operations fail without a call to the store.
    backoff_until: Millis,
    head_read_at: Millis,
    used_at: Millis,
    counts: SlotCounts,
}

impl SlotWriter {
    /// Creates a writer that has not read its slot yet.
    pub fn new(slot: SlotId, settings: SlotSettings) -> Self {
        Self {
            slot,
            settings,
            phase: Phase::NotRead,
            head_version: KeyVersion(0),
            sequence: 0,
            sealed: Vec::new(),
            open: BTreeMap::new(),
            open_bytes: 0,
            index: SegmentIndex::default(),
            queue: VecDeque::new(),
            batch: Vec::new(),
            pending_seal: None,
            garbage: Vec::new(),
            unverified: Vec::new(),
            repairs: BTreeMap::new(),
            backoff_until: Millis::ZERO,
            head_read_at: Millis::ZERO,
            used_at: Millis::ZERO,
            counts: SlotCounts::default(),
        }
    }

    /// Returns the writer's counters.
    pub fn counts(&self) -> SlotCounts {
        self.counts
    }

    /// Returns when [`Self::submit`] was last called.
    pub fn used_at(&self) -> Millis {
        self.used_at
    }

    /// Returns the number of records in memory.
    pub fn len(&self) -> usize {
        self.open.len() + self.index.len()
    }

    /// Returns whether no record is in memory.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether no operation or repair waits and no call to the store is in flight.
    pub fn is_idle(&self) -> bool {
        let in_flight = !matches!(self.phase, Phase::NotRead | Phase::Loading(_) | Phase::Ready);
        !in_flight && self.queue.is_empty() && self.repairs.is_empty() && self.unverified.is_empty()
    }

    /// Queues an operation; [`SlotWriter::poll`] or [`SlotWriter::on_store`] returns its reply.
    ///
    /// `seen_sequence` is the highest sequence number of the slot that the sender has seen.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] when too many operations wait.
    pub fn submit(
        &mut self,
        now: Millis,
        ticket: Ticket,
        seen_sequence: u64,
        op: Op,
    ) -> Result<(), QueueFull> {
        self.used_at = now;
        if self.queue.len() >= self.settings.max_queue {
            return Err(QueueFull);
        }
        self.queue.push_back(PendingOp { ticket, seen_sequence, rechecked: false, op });
        Ok(())
    }

    /// Returns replies that need no call to the store, and the next call to the store, if any.
    ///
    /// `unix_now` is the time in ms since the Unix epoch.
    pub fn poll<R: Rng>(
        &mut self,
        now: Millis,
        unix_now: Millis,
        budget: &mut WriteBudget,
        rng: &mut R,
    ) -> (Replies, Option<StoreCall>) {
        if now < self.backoff_until {
            return (self.fail_queue(), None);
        }
        if matches!(self.phase, Phase::Loading(_)) {
            return (Replies::new(), self.read_segment());
        }
        if matches!(self.phase, Phase::NotRead) && self.has_work() {
            return (Replies::new(), Some(self.read_head()));
        }
        if !matches!(self.phase, Phase::Ready) {
            return (Replies::new(), None);
        }
        if self.queue.is_empty() && self.repairs.is_empty() {
            return (Replies::new(), self.poll_maintenance(now, budget));
        }
        self.poll_ready(now, unix_now, budget, rng)
    }

    /// Processes the answer to the call in flight, and returns the replies to send.
    pub fn on_store(&mut self, now: Millis, answer: StoreAnswer) -> Replies {
        let phase = std::mem::replace(&mut self.phase, Phase::NotRead);
        match (phase, answer) {
            (Phase::ReadingHead, StoreAnswer::Got(Ok(found))) => self.on_head(now, found),
            (Phase::ReadingSegment(todo), StoreAnswer::Got(Ok(found))) => {
                self.on_segment(now, todo, found)
            }
            (Phase::Sealing(segment), StoreAnswer::Swapped(result)) => {
                self.on_sealed(now, segment, result)
            }
            (Phase::Swapping(head), StoreAnswer::Swapped(result)) => {
                self.on_swapped(now, head, result)
            }
            (Phase::Deleting, StoreAnswer::Deleted) => {
                self.phase = Phase::Ready;
                Replies::new()
            }
            _ => self.on_store_unavailable(now),
        }
    }

    fn has_work(&self) -> bool {
        !self.queue.is_empty() || !self.repairs.is_empty() || !self.unverified.is_empty()
    }

    fn lookup(&self, key: ClaimKey) -> Option<Record> {
        let known = self.repairs.get(&key).or_else(|| self.open.get(&key));
        known.cloned().or_else(|| self.index.get(key))
    }

    fn reply_for(&self, key: ClaimKey) -> OpReply {
        match self.lookup(key) {
            Some(record) => OpReply::Recorded { record, sequence: self.sequence },
            None => OpReply::Absent,
        }
    }

    fn discard_segment(&mut self, segment: u64) {
        self.garbage.push(Garbage { segment, deletable_after: self.head_version });
    }

    /// Returns the next call of a slot without operations: a read of the head when it is old, or
    /// the deletion of an unlisted segment.
    fn poll_maintenance(&mut self, now: Millis, budget: &mut WriteBudget) -> Option<StoreCall> {
        if now.since(self.head_read_at) >= self.settings.max_head_age {
            return Some(self.read_head());
        }
        let version = self.head_version;
        let due = self.garbage.iter().position(|garbage| version > garbage.deletable_after)?;
        if self.sealed.iter().any(|segment| segment.id == self.garbage[due].segment) {
            self.garbage.swap_remove(due);
            return None;
        }
        if !budget.take(now) {
            return None;
        }
        let garbage = self.garbage.swap_remove(due);
        self.phase = Phase::Deleting;
        Some(StoreCall::Delete { key: segment_key(self.slot, garbage.segment) })
    }
}
