//! The slots that a host writes, under one share of the store's writes.

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

/// A call to the store on behalf of a slot.
#[derive(Clone, Debug)]
pub struct SlotCall {
    /// Slot.
    pub slot: SlotId,
    /// Call.
    pub call: StoreCall,
}

/// All slots that a host writes.
#[derive(Debug)]
pub struct SlotWriters {
    settings: SlotSettings,
    budget: WriteBudget,
    slots: BTreeMap<SlotId, SlotWriter>,
    /// Slot at which the next_slot round begins, so that a short budget serves all slots in turn.
    next_slot: SlotId,
    last_ticket: u64,
    evicted_counts: SlotCounts,
}

impl SlotWriters {
    /// Creates writers for no slot.
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

    /// Changes the share of the store's writes.
    pub fn set_write_rate(&mut self, now: Millis, per_s: u32) {
        self.budget.set_rate(now, per_s);
    }

    /// Takes an operation; `seen` is the slot's highest sequence number that the sender has seen.
    ///
    /// # Errors
    ///
    /// Returns [`QueueFull`] when too many operations of the slot wait.
    pub fn submit(
        &mut self,
        now: Millis,
        slot: SlotId,
        seen: u64,
        op: Op,
    ) -> Result<Ticket, QueueFull> {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let settings = self.settings;
        let writer = self.slots.entry(slot).or_insert_with(|| SlotWriter::new(slot, settings));
        writer.submit(now, ticket, seen, op).map(|()| ticket)
    }

    /// Returns replies that need no store, and calls to the store, one per slot at most.
    ///
    /// `unix_now` is the time since the Unix epoch.
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

    /// Takes the store's answer to a slot's call.
    pub fn on_store(&mut self, now: Millis, slot: SlotId, answer: StoreAnswer) -> Replies {
        let writer = self.slots.get_mut(&slot);
        writer.map(|writer| writer.on_store(now, answer)).unwrap_or_default()
    }

    /// Forgets slots that took no operation for `idle` and whose home is elsewhere.
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

    /// Returns what all writers did so far.
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
