//! Claims of the calls that the processes have accepted.

use rand::Rng;
use yuccanotch_core::claim::segment_key;
use yuccanotch_core::claim::CallerReply;
use yuccanotch_core::claim::ClaimKey;
use yuccanotch_core::claim::ClaimMessage;
use yuccanotch_core::claim::Input;
use yuccanotch_core::claim::OpReply;
use yuccanotch_core::claim::SegmentRead;
use yuccanotch_core::claim::Step;
use yuccanotch_core::claim::StoreAnswer;
use yuccanotch_core::claim::StoreCall;

use super::callers::Response;
use super::event::Event;
use super::process::CallId;
use super::process::ProcessId;
use super::process::WaitId;
use super::simulation::Simulation;

impl Simulation<'_> {
    /// Passes an input to the claim of a call, unless the call has stopped waiting for it.
    pub(super) fn on_input(
        &mut self,
        process: ProcessId,
        call: CallId,
        wait: WaitId,
        input: Input,
    ) {
        let now = self.now;
        let host = &mut self.processes[process];
        let Some(found) = host.calls.get_mut(&call) else {
            return;
        };
        if found.wait != wait {
            return;
        }
        self.next_wait += 1;
        found.wait = self.next_wait;
        if matches!(input, Input::NoCommitReply) {
            found.commits += 1;
        }
        if let Input::CommitReply(OpReply::Recorded { record, sequence }) = &input {
            let slot = record.key.slot(self.plan.slots);
            let seen = host.seen_sequences.entry(slot).or_default();
            *seen = (*seen).max(*sequence);
        }
        if found.outcome_commit.is_some() {
            self.on_outcome_input(process, call, input);
            return;
        }
        let step = found.claim.step(now, input, &mut host.registry);
        self.on_step(process, call, step);
    }

    fn on_step(&mut self, process: ProcessId, call: CallId, step: Step) {
        match step {
            Step::Commit(op) => self.commit(process, call, op),
            Step::Ask { holder, nonce, wait } => {
                if holder.host == self.processes[process].holder.host {
                    let status = self.processes[process].registry.status(&holder, nonce);
                    self.schedule_input(process, call, 20, Input::StatusReply(status));
                    return;
                }
                let message = ClaimMessage::Ask { holder: holder.clone(), nonce, wait };
                self.send_peer(process, call, &holder.host, message, Input::NoStatusReply);
            }
            Step::ReadSegment(id) => {
                let key = self.processes[process].calls[&call].claim.key();
                let record = self.read_segment(key, id);
                self.schedule_input(process, call, 2, Input::Segment(record));
            }
            Step::Pause(span) => self.schedule_input(process, call, span.0, Input::Resume),
            Step::Run => {
                let is_late = self.fault_occurs(0.1);
                let span = self.rng.random_range(0..if is_late { 600 } else { 30 });
                self.schedule_after(span, Event::Dispatch { process, call });
            }
            Step::ReplyToCaller(caller_reply) => {
                let request = self.remove_call(process, call);
                let response = match caller_reply {
                    CallerReply::Answer(answer) => Response::Answer(answer.body),
                    CallerReply::Refuse { outcome, reason, .. } => {
                        Response::Refused { outcome, reason }
                    }
                };
                self.respond(request, response);
            }
        }
    }

    /// Ends a call and returns the index of its request.
    pub(super) fn remove_call(&mut self, process: ProcessId, call: CallId) -> usize {
        let removed = self.processes[process].calls.remove(&call);
        removed.expect("a call is removed once").request
    }

    /// Schedules an input for the current wait of a call.
    pub(super) fn schedule_input(
        &mut self,
        process: ProcessId,
        call: CallId,
        span: u64,
        input: Input,
    ) {
        let wait = self.processes[process].calls[&call].wait;
        self.schedule_after(span, Event::Input { process, call, wait, input });
    }

    fn read_segment(&mut self, key: ClaimKey, id: u64) -> SegmentRead {
        let path = segment_key(key.slot(self.plan.slots), id);
        match self.store.call(StoreCall::Get { key: path }) {
            StoreAnswer::Got(read) => SegmentRead::from_store(read, key),
            _ => SegmentRead::Unavailable,
        }
    }
}
