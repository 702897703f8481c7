//! Commits that record the outcomes of dispatched calls.

use yuccanotch_core::claim::ClaimState;
use yuccanotch_core::claim::Input;
use yuccanotch_core::claim::OpReply;
use yuccanotch_core::reason::Outcome;
use yuccanotch_core::reason::RefusalReason;

use super::callers::Response;
use super::process::CallId;
use super::process::ProcessId;
use super::simulation::Simulation;

/// Number of failed commits after which a process gives up recording the outcome of a call. Once
/// the faults have ended, it gives up refusals only.
const MAX_OUTCOME_COMMITS: u32 = 6;

impl Simulation<'_> {
    /// Handles an input of a call whose outcome is being recorded.
    pub(super) fn on_outcome_input(&mut self, process: ProcessId, call: CallId, input: Input) {
        let host = &mut self.processes[process];
        let found = host.calls.get_mut(&call).expect("the call is in progress");
        let mut outcome_commit = found.outcome_commit.expect("the call is ending");
        let nonce = found.claim.nonce();
        let request = found.request;
        match input {
            Input::CommitReply(OpReply::Unavailable) | Input::NoCommitReply => {
                outcome_commit.attempts += 1;
                found.outcome_commit = Some(outcome_commit);
                if outcome_commit.attempts < MAX_OUTCOME_COMMITS
                    || (self.faults_ended && !outcome_commit.refusal)
                {
                    self.schedule_input(process, call, 40, Input::Resume);
                    return;
                }
            }
            Input::Resume => {
                let op = host.outcome_ops[&call].clone();
                self.commit(process, call, op);
                return;
            }
            Input::CommitReply(OpReply::Recorded { record, .. }) if outcome_commit.refusal => {
                self.remove_call(process, call);
                let refused = matches!(record.state, ClaimState::Tombstone(_));
                self.respond_to_refusal(request, refused && record.nonce == nonce);
                return;
            }
            _ => {}
        }
        self.remove_call(process, call);
        if outcome_commit.refusal {
            self.respond_unknown(request);
        }
    }

    fn respond_to_refusal(&mut self, request: usize, is_recorded: bool) {
        if !is_recorded {
            self.respond_unknown(request);
            return;
        }
        let reason = RefusalReason::NoServer;
        self.respond(request, Response::Refused { outcome: Outcome::NotRun, reason });
    }
}
