//! Records of the outcomes of claimed calls, postponed while they cannot be written.

use yuccanotch_core::claim::ClaimState;
use yuccanotch_core::claim::Nonce;
use yuccanotch_core::claim::Op;
use yuccanotch_core::claim::OpKind;
use yuccanotch_core::claim::OpReply;

use super::commits::RecordLocation;
use super::CallOutcome;
use super::Claims;
use super::DispatchPermit;
use crate::host::Host;

/// Largest number of outcomes that wait to be recorded.
const MAX_UNRECORDED_OUTCOMES: usize = 16_384;

impl Claims {
    /// Records the outcome of a claimed call; returns whether it is recorded now.
    ///
    /// The outcome of a call that was or may have been run is recorded later if that fails now.
    pub fn record_outcome(
        &self,
        host: &Host,
        permit: DispatchPermit,
        outcome: CallOutcome,
    ) -> bool {
        let nonce = permit.call.nonce();
        let kind = match outcome {
            CallOutcome::Answer(answer) => self.end_call(nonce, ClaimState::answered(answer)),
            CallOutcome::Unknown => self.end_call(nonce, ClaimState::Unknown),
            CallOutcome::NotRun(reason) => {
                self.lock().registry.withdraw(nonce);
                self.call_ended.notify_all();
                OpKind::Refuse { reason }
            }
        };
        let op = permit.call.op_of_kind(kind);
        let reply = self.commit(host, &permit.location, op.clone());
        let recorded = is_recorded(&op, reply.as_ref());
        if !recorded && matches!(op.kind, OpKind::Finish { .. }) {
            self.postpone_record(op, permit.location);
        }
        recorded
    }

    /// Returns the number of outcomes that still have to be recorded.
    pub fn unrecorded_outcomes(&self) -> usize {
        self.lock().unrecorded.len()
    }

    fn end_call(&self, nonce: Nonce, state: ClaimState) -> OpKind {
        self.lock().registry.end(nonce, state.clone());
        self.call_ended.notify_all();
        OpKind::Finish { state }
    }

    /// Keeps the outcome of a call to record it later. Beyond the limit the oldest one is dropped;
    /// such a call has an unknown outcome once this host stops.
    fn postpone_record(&self, op: Op, location: RecordLocation) {
        let unrecorded = &mut self.lock().unrecorded;
        if unrecorded.len() >= MAX_UNRECORDED_OUTCOMES {
            unrecorded.pop_front();
        }
        unrecorded.push_back((op, location));
    }

    /// Records postponed outcomes, until one cannot be recorded.
    pub(super) fn record_backlog(&self, host: &Host) {
        for _ in 0..self.unrecorded_outcomes() {
            let Some((op, location)) = self.lock().unrecorded.pop_front() else {
                return;
            };
            let reply = self.commit(host, &location, op.clone());
            match reply {
                Some(OpReply::Unavailable) | None => {
                    self.lock().unrecorded.push_front((op, location));
                    return;
                }
                // Any other reply is final for the operation.
                Some(_) => {}
            }
        }
    }
}

fn is_recorded(op: &Op, reply: Option<&OpReply>) -> bool {
    let Some(OpReply::Recorded { record, .. }) = reply else {
        return false;
    };
    let own = record.nonce == op.nonce && record.holder == op.holder;
    match &op.kind {
        OpKind::Refuse { .. } => own && matches!(record.state, ClaimState::Tombstone(_)),
        _ => own && record.state != ClaimState::Claimed,
    }
}
