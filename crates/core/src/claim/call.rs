//! The state machine of one call, from its key to a dispatch, an answer or a refusal.
//!
//! The driver makes the request that [`Step`] names and passes the result back as [`Input`].

use super::encoding::decode_segment;
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
use crate::store::StoreError;
use crate::store::Versioned;

const MAX_COMMIT_TRIES: u32 = 4;
const MAX_STATUS_TRIES: u32 = 3;
const RETRY_PAUSE: Millis = Millis(40);
const MAX_STATUS_WAIT: Millis = Millis(1_000);

/// The purpose for which a call uses its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// The call is to be dispatched.
    Run,
    /// The call is to be refused permanently, for this reason.
    Refuse(RefusalReason),
}

/// What the driver of a call has to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Send an operation to the slot's home, or to the arbiter of a bound key.
    Commit(Op),
    /// Ask the holder of another claim for the state of its call.
    Ask {
        /// Process that holds the claim.
        holder: Holder,
        /// Nonce of that claim.
        nonce: Nonce,
        /// Longest time that the holder waits for the end of its call, in ms.
        wait: Millis,
    },
    /// Read the call's record from the sealed segment with this number.
    ReadSegment(u64),
    /// Wait for this time, then continue with [`Input::Resume`].
    Pause(Millis),
    /// Dispatch the call; returned at most once.
    Run,
    /// Reply to the caller; the call ends without a dispatch.
    ReplyToCaller(CallerReply),
}

/// The reply to a caller whose call ends without a dispatch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerReply {
    /// The stored answer of an earlier call with the same key.
    Answer(StoredAnswer),
    /// A refusal.
    Refuse {
        /// Whether the call ran, as far as is known.
        outcome: Outcome,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Whether a later request with the same key may get a definite answer.
        retry_may_resolve: bool,
    },
}

/// The result of the last [`Step`].
#[derive(Clone, Debug)]
pub enum Input {
    /// The call begins; the first input.
    Start,
    /// Reply to [`Step::Commit`].
    CommitReply(OpReply),
    /// [`Step::Commit`] got no reply; the operation may have taken effect.
    NoCommitReply,
    /// Reply to [`Step::Ask`].
    StatusReply(HolderStatus),
    /// [`Step::Ask`] got no reply.
    NoStatusReply,
    /// Result of [`Step::ReadSegment`].
    Segment(SegmentRead),
    /// The wait of [`Step::Pause`] is over.
    Resume,
}

/// The result of a read of a sealed segment.
#[derive(Clone, Debug)]
pub enum SegmentRead {
    /// The record of the call's key.
    Found(Record),
    /// The segment no longer exists, or has no record of the key.
    Missing,
    /// The store did not answer.
    Unavailable,
}

impl SegmentRead {
    /// Returns what a read of a sealed segment tells about a key; an unreadable segment counts as
    /// one without records.
    pub fn from_store(read: Result<Option<Versioned>, StoreError>, key: ClaimKey) -> Self {
        match read {
            Ok(Some(found)) => {
                let records = decode_segment(&found.value).unwrap_or_default();
                let found = records.into_iter().find(|record| record.key == key);
                found.map_or(Self::Missing, Self::Found)
            }
            Ok(None) => Self::Missing,
            Err(_) => Self::Unavailable,
        }
    }
}

/// The state of one call and its claim, under one nonce.
#[derive(Debug)]
pub struct CallClaim {
    op: Op,
    purpose: Purpose,
    deadline: Millis,
    /// Holder that was last asked for the state of its call, with the nonce of its claim.
    asked_holder: Option<(Holder, Nonce)>,
    unanswered_commits: u32,
    unanswered_asks: u32,
    /// Whether the claim was committed again after the holder had forgotten its own.
    claimed_again: bool,
}

impl CallClaim {
    /// Creates the state of a call; `nonce` must be random and used for this call only.
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

    /// Returns the nonce of the call's claim.
    pub fn nonce(&self) -> Nonce {
        self.op.nonce
    }

    /// Returns the call's key.
    pub fn key(&self) -> ClaimKey {
        self.op.key
    }

    /// Returns an operation of the given kind under the call's own claim, such as the one that
    /// records the end of a granted call.
    pub fn op_of_kind(&self, kind: OpKind) -> Op {
        Op { kind, ..self.op.clone() }
    }

    /// Processes the result of the last step and returns the next step.
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

    /// Abandons the claim before the caller gets a reply, so that the call cannot run afterwards.
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
