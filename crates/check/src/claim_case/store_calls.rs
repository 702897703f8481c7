//! Calls of the slot writers to a store that loses requests and replies.

use rand::Rng;
use yuccanotch_core::claim::SlotId;
use yuccanotch_core::claim::StoreAnswer;
use yuccanotch_core::claim::StoreCall;
use yuccanotch_core::store::StoreError;

use super::event::Event;
use super::process::ProcessId;
use super::simulation::Simulation;

/// Stands for the slot of a call whose sender gave up, so that nobody receives its answer.
const ABANDONED_CALL_SLOT: SlotId = SlotId(u16::MAX);

impl Simulation<'_> {
    /// Polls the slot writers of a process and schedules their calls to the store.
    pub(super) fn poll_writers(&mut self, process: ProcessId) {
        let now = self.now;
        let (replies, calls) = self.processes[process].writers.poll(now, now, &mut self.rng);
        self.deliver_replies(process, replies);
        for call in calls {
            let latency = self.store_latency();
            let event = Event::RunStoreCall { process, slot: call.slot, call: call.call };
            self.schedule_after(latency, event);
        }
    }

    /// Runs a call at the store and schedules its answer.
    pub(super) fn on_store_call(&mut self, process: ProcessId, slot: SlotId, call: StoreCall) {
        let request_lost = self.fault_occurs(self.plan.store_request_loss);
        let reply_lost = self.fault_occurs(self.plan.store_reply_loss);
        let lost_answer = lost_answer(&call);
        if request_lost {
            self.deliver_late_or_never(process, call);
            self.schedule_after(60, Event::StoreReply { process, slot, answer: lost_answer });
            return;
        }
        let answer = self.store.call(call);
        if slot == ABANDONED_CALL_SLOT {
            return;
        }
        let answer = if reply_lost { lost_answer } else { answer };
        let latency = self.store_latency();
        self.schedule_after(latency, Event::StoreReply { process, slot, answer });
    }

    /// Delivers a call whose request was lost long after its sender gave up, or never.
    fn deliver_late_or_never(&mut self, process: ProcessId, call: StoreCall) {
        if self.rng.random_bool(0.5) {
            let wait = self.rng.random_range(1..400);
            let slot = ABANDONED_CALL_SLOT;
            self.schedule_after(wait, Event::RunStoreCall { process, slot, call });
        }
    }

    fn store_latency(&mut self) -> u64 {
        let probability = self.plan.slow_probability;
        if self.fault_occurs(probability) {
            return self.rng.random_range(1..300);
        }
        self.rng.random_range(1..4)
    }
}

/// Returns what the sender of a call assumes when no answer arrives.
fn lost_answer(call: &StoreCall) -> StoreAnswer {
    match call {
        StoreCall::Get { .. } => StoreAnswer::Got(Err(StoreError::AnswerLost)),
        StoreCall::Swap { .. } => StoreAnswer::Swapped(Err(StoreError::AnswerLost)),
        StoreCall::Delete { .. } => StoreAnswer::Deleted,
    }
}
