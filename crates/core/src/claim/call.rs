//! The steps of one call, from its key to a permit, an answer or a refusal.

use super::messages::HolderStatus;
use super::messages::OpReply;
use super::record::ClaimKey;
use super::record::ClaimState;
use super::record::Holder;
use super::record::Nonce;
use super::record::Record;
use super::record::RequestDigest;
use super::record::StoredAnswer;
use super::registry::ClaimRegistry;
use super::rules::Op;
use super::rules::OpKind;
use crate::clock::Millis;
use crate::defect::planted;
use crate::reason::Outcome;
use crate::reason::RefusalReason;

const MAX_COMMIT_TRIES: u32 = 4;
const MAX_STATUS_TRIES: u32 = 3;
const RETRY_PAUSE: Millis = Millis(40);
const MAX_STATUS_WAIT: Millis = Millis(1_000);

/// What a call wants from its claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// To be dispatched.
    Run,
    /// To be refused for good.
    Refuse(RefusalReason),
}

/// What the call needs next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Commit an operation at the slot's home, or at the arbiter of a bound key.
    Commit(Op),
    /// Ask a holder for the state of its claim.
    Ask {
        /// Holder.
        holder: Holder,
        /// Nonce of its claim.
        nonce: Nonce,
        /// Longest span to wait for the end of its call.
        wait: Millis,
    },
    /// Read the record from a sealed segment.
    ReadSegment(u64),
    /// Wait, then go on with [`Input::Resume`].
    Pause(Millis),
    /// Dispatch the call, once.
    Run,
    /// Tell the caller.
    ReplyToCaller(CallerReply),
}

/// What a caller is told without a dispatch by this call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerReply {
    /// The answer of the call that ran under the key.
    Answer(StoredAnswer),
    /// A refusal.
    Refuse {
        /// What the caller may conclude.
        outcome: Outcome,
        /// Why.
        reason: RefusalReason,
        /// Whether asking again with the same key may tell more.
        retry_may_resolve: bool,
    },
}

/// What happened since the last step.
#[derive(Clone, Debug)]
pub enum Input {
    /// The call begins.
    Start,
    /// Answer to [`Step::Commit`].
    CommitReply(OpReply),
    /// No answer to [`Step::Commit`].
    NoCommitReply,
    /// Answer to [`Step::Ask`].
    StatusReply(HolderStatus),
    /// No answer to [`Step::Ask`].
    NoStatusReply,
    /// Answer to [`Step::ReadSegment`].
    Segment(SegmentRead),
    /// The wait of [`Step::Pause`] is over.
    Resume,
}

/// What a read of a sealed segment found.
#[derive(Clone, Debug)]
pub enum SegmentRead {
    /// The record of the call's key.
    Found(Record),
    /// The segment or its record is gone.
    Missing,
    /// The store did not answer.
    Unavailable,
}

/// One call under one nonce.
#[derive(Debug)]
pub struct CallClaim {
    op: Op,
    purpose: Purpose,
    deadline: Millis,
    asked_holder: Option<(Holder, Nonce)>,
    unanswered_commits: u32,
    unanswered_asks: u32,
    claimed_again: bool,
}

impl CallClaim {
    /// Creates a call; `nonce` is drawn at random for it alone.
    pub fn new(
        key: ClaimKey,
        digest: RequestDigest,
        holder: Holder,
        nonce: Nonce,
        purpose: Purpose,
        deadline: Millis,
    ) -> Self {
        let kind = match purpose {
            Purpose::Run => OpKind::Claim,
            Purpose::Refuse(reason) => OpKind::Refuse { reason },
        };
        let op = Op { key, digest, holder, nonce, kind };
        Self {
            op,
            purpose,
            deadline,
            asked_holder: None,
            unanswered_commits: 0,
            unanswered_asks: 0,
            claimed_again: false,
        }
    }

    /// Returns the call's nonce.
    pub fn nonce(&self) -> Nonce {
        self.op.nonce
    }

    /// Returns the call's key.
    pub fn key(&self) -> ClaimKey {
        self.op.key
    }

    /// Returns the operation that records the end of the granted call.
    pub fn op_of_kind(&self, kind: OpKind) -> Op {
        Op { kind, ..self.op.clone() }
    }

    /// Takes what happened and returns what is needed next.
    pub fn step(&mut self, now: Millis, input: Input, registry: &mut ClaimRegistry) -> Step {
        match input {
            Input::Start => self.start(registry),
            Input::CommitReply(reply) => self.on_reply(now, reply, registry),
            Input::NoCommitReply => self.on_no_commit_reply(now, registry),
            Input::StatusReply(status) => self.on_status(now, status, registry),
            Input::NoStatusReply => self.on_no_status_reply(now, registry),
            Input::Segment(SegmentRead::Found(record)) => {
                self.settle_from_state(&record.state, registry)
            }
            Input::Segment(SegmentRead::Missing) => self.refuse_without_answer(registry),
            Input::Segment(SegmentRead::Unavailable) => self.refuse_unread_segment(registry),
            Input::Resume => self.resume(now, registry),
        }
    }

    fn start(&mut self, registry: &mut ClaimRegistry) -> Step {
        if self.purpose == Purpose::Run {
            registry.open(self.op.nonce);
            if planted!(DispatchBeforeClaim) {
                registry.grant(self.op.nonce);
                return Step::Run;
            }
        }
        Step::Commit(self.op.clone())
    }

    fn on_reply(&mut self, now: Millis, reply: OpReply, registry: &mut ClaimRegistry) -> Step {
        match reply {
            OpReply::Recorded { record, .. } => self.on_record(now, record, registry),
            OpReply::Absent | OpReply::ArbiterGone => {
                self.refuse(Outcome::Unknown, RefusalReason::OutcomeUnknown, registry)
            }
            OpReply::Unavailable => self.on_no_commit_reply(now, registry),
            OpReply::Restored => {
                self.refuse(Outcome::Unknown, RefusalReason::StoreRestored, registry)
            }
        }
    }

    fn on_record(&mut self, now: Millis, record: Record, registry: &mut ClaimRegistry) -> Step {
        if record.digest != self.op.digest {
            return self.refuse(Outcome::NotRun, RefusalReason::KeyReused, registry);
        }
        if record.state != ClaimState::Claimed {
            return self.settle_from_state(&record.state, registry);
        }
        if record.nonce == self.op.nonce && record.holder == self.op.holder {
            return self.on_granted(registry);
        }
        if self.purpose != Purpose::Run {
            return self.refuse(Outcome::Unknown, RefusalReason::OutcomeUnknown, registry);
        }
        self.ask(now, record.holder, record.nonce, registry)
    }

    fn on_granted(&mut self, registry: &mut ClaimRegistry) -> Step {
        if registry.grant(self.op.nonce) {
            return Step::Run;
        }
        self.refuse(Outcome::Unknown, RefusalReason::OutcomeUnknown, registry)
    }

    fn on_no_commit_reply(&mut self, now: Millis, registry: &mut ClaimRegistry) -> Step {
        self.unanswered_commits += 1;
        if self.unanswered_commits < MAX_COMMIT_TRIES && now + RETRY_PAUSE < self.deadline {
            return Step::Pause(RETRY_PAUSE);
        }
        if planted!(NotRunWithoutTombstone) {
            return self.refuse(Outcome::NotRun, RefusalReason::StoreUnavailable, registry);
        }
        self.refuse(Outcome::Unknown, RefusalReason::StoreUnavailable, registry)
    }

    fn on_status(
        &mut self,
        now: Millis,
        status: HolderStatus,
        registry: &mut ClaimRegistry,
    ) -> Step {
        let Some((holder, held)) = self.asked_holder.clone() else {
            return self.refuse(Outcome::Unknown, RefusalReason::OutcomeUnknown, registry);
        };
        match status {
            HolderStatus::Running => self.ask(now, holder, held, registry),
            HolderStatus::Ended(state) => self.settle_from_state(&state, registry),
            HolderStatus::Abandoned => self.commit(OpKind::Reclaim { abandoned: held }),
            HolderStatus::Forgotten if !self.claimed_again => {
                self.claimed_again = true;
                self.commit(OpKind::Claim)
            }
            HolderStatus::Forgotten => {
                self.refuse(Outcome::Unknown, RefusalReason::OutcomeUnknown, registry)
            }
            HolderStatus::Gone if planted!(ReclaimFromGoneHolder) => {
                self.commit(OpKind::Reclaim { abandoned: held })
            }
            HolderStatus::Gone => self.commit(OpKind::MarkUnknown { held }),
        }
    }

    fn on_no_status_reply(&mut self, now: Millis, registry: &mut ClaimRegistry) -> Step {
        self.unanswered_asks += 1;
        if self.unanswered_asks < MAX_STATUS_TRIES && now + RETRY_PAUSE < self.deadline {
            return Step::Pause(RETRY_PAUSE);
        }
        self.refuse(Outcome::Unknown, RefusalReason::OutcomeUnknown, registry)
    }

    fn resume(&mut self, now: Millis, registry: &mut ClaimRegistry) -> Step {
        match self.asked_holder.clone() {
            Some((holder, nonce)) if self.op.kind == OpKind::Claim => {
                self.ask(now, holder, nonce, registry)
            }
            _ => Step::Commit(self.op.clone()),
        }
    }

    fn commit(&mut self, kind: OpKind) -> Step {
        self.op.kind = kind;
        self.unanswered_commits = 0;
        self.asked_holder = None;
        Step::Commit(self.op.clone())
    }

    fn ask(
        &mut self,
        now: Millis,
        holder: Holder,
        nonce: Nonce,
        registry: &mut ClaimRegistry,
    ) -> Step {
        if now >= self.deadline {
            return self.refuse(Outcome::Unknown, RefusalReason::DeadlineExceeded, registry);
        }
        self.op.kind = OpKind::Claim;
        self.asked_holder = Some((holder.clone(), nonce));
        let wait = self.deadline.since(now).min(MAX_STATUS_WAIT);
        Step::Ask { holder, nonce, wait }
    }

    fn settle_from_state(&mut self, state: &ClaimState, registry: &mut ClaimRegistry) -> Step {
        match state {
            ClaimState::Answered(answer) => {
                registry.abandon(self.op.nonce);
                Step::ReplyToCaller(CallerReply::Answer(answer.clone()))
            }
            ClaimState::AnswerSealed(segment) => Step::ReadSegment(*segment),
            ClaimState::AnswerNotKept => self.refuse_without_answer(registry),
            ClaimState::Tombstone(reason) => self.refuse(Outcome::NotRun, *reason, registry),
            ClaimState::Claimed | ClaimState::Unknown => {
                self.refuse(Outcome::Unknown, RefusalReason::OutcomeUnknown, registry)
            }
        }
    }

    fn refuse_without_answer(&mut self, registry: &mut ClaimRegistry) -> Step {
        self.refuse(Outcome::Ran, RefusalReason::AnswerNotKept, registry)
    }

    fn refuse_unread_segment(&mut self, registry: &mut ClaimRegistry) -> Step {
        registry.abandon(self.op.nonce);
        Step::ReplyToCaller(CallerReply::Refuse {
            outcome: Outcome::Ran,
            reason: RefusalReason::StoreUnavailable,
            retry_may_resolve: true,
        })
    }

    /// Gives the claim up before the caller is told anything, so that it cannot run afterwards.
    fn refuse(
        &mut self,
        outcome: Outcome,
        reason: RefusalReason,
        registry: &mut ClaimRegistry,
    ) -> Step {
        registry.abandon(self.op.nonce);
        let retry_may_resolve = outcome == Outcome::Unknown;
        Step::ReplyToCaller(CallerReply::Refuse { outcome, reason, retry_may_resolve })
    }
}
