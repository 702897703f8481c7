//! Dispatches to the backend server, which may refuse a call or lose its answer.

use rand::Rng;
use yuccanotch_core::claim::ClaimKey;
use yuccanotch_core::claim::ClaimState;
use yuccanotch_core::claim::OpKind;
use yuccanotch_core::claim::RequestDigest;
use yuccanotch_core::claim::StoredAnswer;
use yuccanotch_core::reason::RefusalReason;

use super::callers::Request;
use super::callers::Response;
use super::event::Event;
use super::process::CallId;
use super::process::OutcomeCommit;
use super::process::ProcessId;
use super::simulation::Simulation;

/// Result of a dispatch to the backend server; `Lost` means that no answer arrived.
#[derive(Clone, Debug)]
pub(super) enum DispatchResult {
    Answer(Vec<u8>),
    Lost,
    Refused,
}

/// What the backend server and the callers saw of one key with one request body.
#[derive(Debug, Default)]
pub(super) struct Execution {
    pub(super) dispatches: u32,
    pub(super) answer: Vec<u8>,
    pub(super) reported_not_run: bool,
}

impl Simulation<'_> {
    /// Dispatches a call to the backend server.
    pub(super) fn on_dispatch(&mut self, process: ProcessId, call: CallId) {
        let Some(found) = self.processes[process].calls.get(&call) else {
            return;
        };
        let Request { key, digest, .. } = self.requests[found.request].clone();
        if self.rng.random_bool(0.15) {
            let result = DispatchResult::Refused;
            self.schedule_after(1, Event::DispatchDone { process, call, result });
            return;
        }
        self.log(format!("process {process} call {call} dispatches key {key}"));
        let answer = format!("confirmed {key} by {process}/{call}").into_bytes();
        self.record_dispatch(self.keys[key], digest, answer.clone());
        let span = self.rng.random_range(1..80);
        let lost = self.rng.random_bool(0.15);
        let result = if lost { DispatchResult::Lost } else { DispatchResult::Answer(answer) };
        self.schedule_after(span, Event::DispatchDone { process, call, result });
    }

    fn record_dispatch(&mut self, key: ClaimKey, digest: RequestDigest, answer: Vec<u8>) {
        let execution = self.executions.entry((key, digest.0)).or_default();
        execution.dispatches += 1;
        execution.answer = answer;
        if execution.reported_not_run {
            self.record_violation("a call that was told not_run was dispatched".to_owned());
        }
        let of_key = self.executions.range((key, 0)..=(key, u128::MAX));
        let dispatches: u32 = of_key.map(|(_, execution)| execution.dispatches).sum();
        if dispatches > 1 {
            self.record_violation(format!("a key was dispatched {dispatches} times"));
        }
    }

    /// Ends a dispatched call and begins to record its outcome.
    pub(super) fn on_dispatch_done(
        &mut self,
        process: ProcessId,
        call: CallId,
        result: DispatchResult,
    ) {
        let host = &mut self.processes[process];
        let Some(found) = host.calls.get_mut(&call) else {
            return;
        };
        let request = found.request;
        let nonce = found.claim.nonce();
        let refusal = matches!(result, DispatchResult::Refused);
        found.outcome_commit = Some(OutcomeCommit { refusal, attempts: 0 });
        self.next_wait += 1;
        found.wait = self.next_wait;
        let kind = match result {
            DispatchResult::Answer(body) => {
                let answer = StoredAnswer {
                    status: 200,
                    content_type: "text/plain".to_owned(),
                    body: body.clone(),
                };
                let state = ClaimState::answered(answer);
                host.registry.end(nonce, state.clone());
                self.respond(request, Response::Answer(body));
                OpKind::Finish { state }
            }
            DispatchResult::Lost => {
                host.registry.end(nonce, ClaimState::Unknown);
                self.respond_unknown(request);
                OpKind::Finish { state: ClaimState::Unknown }
            }
            DispatchResult::Refused => {
                host.registry.withdraw(nonce);
                OpKind::Refuse { reason: RefusalReason::NoServer }
            }
        };
        let op = self.processes[process].calls[&call].claim.op_of_kind(kind);
        self.processes[process].outcome_ops.insert(call, op.clone());
        self.commit(process, call, op);
    }
}
