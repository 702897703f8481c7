//! The writers of all slots of a host, which share one budget of store writes.

use std::collections::BTreeMap;

use rand::Rng;

use super::budget::WriteBudget;
use super::record::SlotId;
use super::rules::Op;
use super::slot::QueueFull;
use super::slot::Replies;
use super::slot::SlotCounts;
use super::slot::SlotSettings;
use super::slot::SlotWriter;
use super::slot::StoreAnswer;
use super::slot::StoreCall;
use super::slot::Ticket;
use crate::clock::Millis;

/// A call to the store for a slot.
#[derive(Clone, Debug)]
pub struct SlotCall {
    /// Slot that the call reads or writes.
    pub slot: SlotId,
    /// Call to make.
    pub call: StoreCall,
}

/// The writers of all slots that a host writes.
#[derive(Debug)]
pub struct SlotWriters {
    settings: SlotSettings,
    budget: WriteBudget,
    slots: BTreeMap<SlotId, SlotWriter>,
    /// Slot that the next poll begins with, so that a short write budget serves all slots in turn.
    next_slot: SlotId,
    last_ticket: u64,
    evicted_counts: SlotCounts,
}

impl SlotWriters {
    /// Creates an empty set; a slot gets a writer with its first operation.
    pub fn new(settings: SlotSettings, budget: WriteBudget) -> Self {
        Self {
            settings,
            budget,
            slots: BTreeMap::new(),
            next_slot: SlotId(0),
            last_ticket: 0,
            evicted_counts: SlotCounts::default(),
        }
    }

    /// Changes the budget to `per_s` store writes a second.
    pub fn set_write_rate(&mut self, now: Millis, per_s: u32) {
        self.budget.set_rate(now, per_s);
    }

    /// Queues an operation, whose reply will carry the returned ticket.
    ///
    /// `seen_sequence` is the highest sequence number of the slot that the sender has seen.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] when too many operations of the slot wait.
    pub fn submit(
        &mut self,
        now: Millis,
        slot: SlotId,
        seen_sequence: u64,
        op: Op,
    ) -> Result<Ticket, QueueFull> {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let settings = self.settings;
        let writer = self.slots.entry(slot).or_insert_with(|| SlotWriter::new(slot, settings));
        writer.submit(now, ticket, seen_sequence, op).map(|()| ticket)
    }

    /// Returns replies that need no call to the store, and the calls to the store to make next, at
    /// most one per slot.
    ///
    /// `unix_now` is the time in ms since the Unix epoch.
    pub fn poll<R: Rng>(
        &mut self,
        now: Millis,
        unix_now: Millis,
        rng: &mut R,
    ) -> (Replies, Vec<SlotCall>) {
        let mut replies = Replies::new();
        let mut calls = Vec::new();
        let next_slot = self.next_slot;
        let (before, after): (Vec<SlotId>, Vec<SlotId>) =
            self.slots.keys().partition(|slot| **slot < next_slot);
        for slot in after.into_iter().chain(before) {
            let Some(writer) = self.slots.get_mut(&slot) else {
                continue;
            };
            let (due, call) = writer.poll(now, unix_now, &mut self.budget, rng);
            replies.extend(due);
            if let Some(call) = call {
                self.next_slot = SlotId(slot.0.wrapping_add(1));
                calls.push(SlotCall { slot, call });
            }
        }
        (replies, calls)
    }

    /// Processes the store's answer to a call for a slot, and returns the replies to send.
    pub fn on_store(&mut self, now: Millis, slot: SlotId, answer: StoreAnswer) -> Replies {
        let writer = self.slots.get_mut(&slot);
        writer.map(|writer| writer.on_store(now, answer)).unwrap_or_default()
    }

    /// Removes writers of slots whose home is another host, once they are idle and got no operation
    /// for `idle`.
    pub fn evict(&mut self, now: Millis, idle: Millis, is_home: impl Fn(SlotId) -> bool) {
        let evicted_counts = &mut self.evicted_counts;
        self.slots.retain(|slot, writer| {
            let kept = is_home(*slot) || !writer.is_idle() || now.since(writer.used_at()) < idle;
            if !kept {
                add_counts(evicted_counts, writer.counts());
            }
            kept
        });
    }

    /// Returns the number of records in memory.
    pub fn records(&self) -> usize {
        self.slots.values().map(SlotWriter::len).sum()
    }

    /// Returns the totals of all writers, removed ones included.
    pub fn counts(&self) -> SlotCounts {
        let mut counts = self.evicted_counts;
        self.slots.values().for_each(|writer| add_counts(&mut counts, writer.counts()));
        counts
    }
}

fn add_counts(sum: &mut SlotCounts, counts: SlotCounts) {
    sum.swaps += counts.swaps;
    sum.conflicts += counts.conflicts;
    sum.lost_answers += counts.lost_answers;
    sum.seals += counts.seals;
    sum.reads += counts.reads;
    sum.written_bytes += counts.written_bytes;
    sum.restores += counts.restores;
    sum.damaged += counts.damaged;
}
