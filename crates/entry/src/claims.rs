//! Claims, which keep a call that may not be repeated from being dispatched twice.
//!
//! Runs the state machines of `yuccanotch_core::claim`. The thread of a request drives the claim of
//! its call. Operations on a claim go to the slot's home, the host that normally writes the slot:
//! over the peer links, or to this host's own [`Committer`] when this host is the home. When the
//! home does not reply, the next host in the slot's order takes its place.

mod committer;
mod layout;

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::claim::decode_segment;
use yuccanotch_core::claim::home_order;
use yuccanotch_core::claim::segment_key;
use yuccanotch_core::claim::BoundKey;
use yuccanotch_core::claim::BoundTable;
use yuccanotch_core::claim::CallClaim;
use yuccanotch_core::claim::CallerReply;
use yuccanotch_core::claim::ClaimKey;
use yuccanotch_core::claim::ClaimMessage;
use yuccanotch_core::claim::ClaimRegistry;
use yuccanotch_core::claim::ClaimReply;
use yuccanotch_core::claim::ClaimState;
use yuccanotch_core::claim::Holder;
use yuccanotch_core::claim::HolderStatus;
use yuccanotch_core::claim::Input;
use yuccanotch_core::claim::Nonce;
use yuccanotch_core::claim::Op;
use yuccanotch_core::claim::OpKind;
use yuccanotch_core::claim::OpReply;
use yuccanotch_core::claim::Purpose;
use yuccanotch_core::claim::RequestDigest;
use yuccanotch_core::claim::SegmentRead;
use yuccanotch_core::claim::SlotCounts;
use yuccanotch_core::claim::SlotId;
use yuccanotch_core::claim::SlotSettings;
use yuccanotch_core::claim::Step;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::event::emit;
use yuccanotch_core::event::Event;
use yuccanotch_core::ids::Incarnation;
use yuccanotch_core::name::HostName;
use yuccanotch_core::name::ServiceName;
use yuccanotch_core::name::TeamName;
use yuccanotch_core::peer::PeerReply;
use yuccanotch_core::peer::PeerRequest;
use yuccanotch_core::reason::RefusalReason;
use yuccanotch_core::store::Store;

use crate::host::Host;
use crate::problem::Refusal;

use self::committer::Committer;
use self::layout::LayoutCell;

pub use yuccanotch_core::claim::StoredAnswer;

/// Number of threads that make the committer's calls to the store.
pub const STORE_WORKERS: usize = 4;

/// Time after which a caller should retry when a retry may resolve the refusal.
const RETRY_AFTER: Millis = Millis(1_000);
/// Longest wait for the reply to an operation, from this host's committer or from another host.
const COMMIT_TIMEOUT: Millis = Millis(900);
/// Added to the time that a peer may take, so that its reply at the end of that time still arrives.
const PEER_REPLY_MARGIN: Millis = Millis(300);
/// Time for which a home that did not reply is passed over.
const UNRESPONSIVE_HOME_SPAN: Millis = Millis(2_000);
/// Number of ended calls whose state is kept to answer the status queries of other hosts.
const MAX_REMEMBERED_CALLS: usize = 16_384;
/// Largest number of records of bound keys that this host keeps in memory.
const MAX_BOUND_RECORDS: usize = 65_536;
/// Largest number of outcomes that wait to be recorded.
const MAX_UNRECORDED_OUTCOMES: usize = 16_384;
/// Number of bound keys that one request of a caller returns.
const BOUND_KEYS_PER_REQUEST: usize = 16;
/// Time between two passes of [`run`].
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Limit of writes to the store per second by the claims of all entry hosts together.
const TOTAL_CLAIM_WRITES_PER_S: usize = 150;

/// A call that may not be repeated, as it is claimed.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Team of the caller.
    pub team: TeamName,
    /// Service that is called.
    pub service: ServiceName,
    /// Idempotency key given by the caller.
    pub key: String,
    /// Digest of method, path with query, and body.
    pub digest: Digest,
    /// Time at which the caller stops waiting.
    pub deadline: Millis,
}

/// Permission to dispatch one call once.
#[derive(Debug)]
pub struct DispatchPermit {
    call: CallClaim,
    location: RecordLocation,
}

/// What happens to a call after an attempt to claim it.
#[derive(Debug)]
pub enum ClaimDecision {
    /// The claim was granted; this host has to dispatch the call.
    Dispatch(DispatchPermit),
    /// An earlier call with the same key was answered; this is its answer.
    Answer(StoredAnswer),
    /// The call is refused.
    Refuse(Refusal),
}

/// The outcome of a claimed call.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// The backend server answered.
    Answer(StoredAnswer),
    /// At least one byte was sent, but no complete answer arrived.
    Unknown,
    /// No byte was sent and none will be sent.
    NotRun(RefusalReason),
}

/// Where the record of a key is kept.
#[derive(Clone, Debug)]
enum RecordLocation {
    /// In a slot in the store.
    Slot(SlotId),
    /// In the memory of this process, the one that issued the key.
    Bound(Holder),
}

/// The claims of one entry host: those that it holds and those that it commits for others.
pub struct Claims {
    clock: Clock,
    store: Arc<dyn Store>,
    holder: Holder,
    layout: LayoutCell,
    committer: Committer,
    local: Mutex<LocalState>,
    call_ended: Condvar,
}

struct LocalState {
    registry: ClaimRegistry,
    bound: BoundTable,
    rng: Pcg64Mcg,
    /// Highest sequence number seen in each slot, which reveals an older copy of the slot.
    seen_sequences: HashMap<SlotId, u64>,
    /// Homes that did not reply, with the time until which they are passed over.
    unresponsive_homes: HashMap<HostName, Millis>,
    /// Operations that record outcomes and got no reply so far, oldest first.
    unrecorded: VecDeque<(Op, RecordLocation)>,
    /// Counts that the metrics include already.
    published_counts: SlotCounts,
}

impl fmt::Debug for Claims {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Claims").field("holder", &self.holder).finish_non_exhaustive()
    }
}

impl Claims {
    /// Creates the claims of one incarnation of a host; they hold no call yet.
    pub fn new(
        store: Arc<dyn Store>,
        clock: Clock,
        host: HostName,
        incarnation: Incarnation,
    ) -> Self {
        let holder = Holder { host, incarnation };
        // Nonces come from the operating system even when a test seeds the host, because two hosts
        // with the same seed must not draw the same nonces.
        let local = LocalState {
            registry: ClaimRegistry::new(holder.clone(), MAX_REMEMBERED_CALLS),
            bound: BoundTable::new(incarnation, MAX_BOUND_RECORDS),
            rng: Pcg64Mcg::from_os_rng(),
            seen_sequences: HashMap::new(),
            unresponsive_homes: HashMap::new(),
            unrecorded: VecDeque::new(),
            published_counts: SlotCounts::default(),
        };
        Self {
            committer: Committer::new(store.clone(), clock.clone(), SlotSettings::default()),
            layout: LayoutCell::default(),
            local: Mutex::new(local),
            call_ended: Condvar::new(),
            clock,
            store,
            holder,
        }
    }

    /// Claims a call for dispatch by this host, or returns the result of an earlier call.
    pub fn claim_call(&self, host: &Host, req: &ClaimRequest) -> ClaimDecision {
        self.drive_claim(host, req, Purpose::Run)
    }

    /// Refuses a call permanently instead of claiming it, or returns the result of an earlier call
    /// with the same key.
    pub fn refuse_permanently(
        &self,
        host: &Host,
        req: &ClaimRequest,
        reason: RefusalReason,
    ) -> ClaimDecision {
        self.drive_claim(host, req, Purpose::Refuse(reason))
    }

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

    /// Creates keys that are bound to this incarnation, for use while the store is unavailable.
    pub fn create_bound_keys(&self) -> Vec<String> {
        let rng = &mut self.lock().rng;
        let key = |serial| BoundKey { arbiter: self.holder.clone(), serial }.to_string();
        (0..BOUND_KEYS_PER_REQUEST).map(|_| key(rng.random())).collect()
    }

    /// Returns the number of outcomes that still have to be recorded.
    pub fn unrecorded_outcomes(&self) -> usize {
        self.lock().unrecorded.len()
    }

    /// Handles a message about claims from another entry host and returns the reply.
    pub fn on_peer(&self, message: ClaimMessage) -> ClaimReply {
        match message {
            ClaimMessage::Commit { slot, seen, op } => {
                let reply = self.committer.commit(slot, seen, op, COMMIT_TIMEOUT);
                ClaimReply::Op(reply.unwrap_or(OpReply::Unavailable))
            }
            ClaimMessage::CommitBound { incarnation, op } => {
                let now = self.clock.unix_now();
                ClaimReply::Op(self.lock().bound.commit(incarnation, &op, now))
            }
            ClaimMessage::Ask { holder, nonce, wait } => {
                ClaimReply::Status(self.wait_for_status(&holder, nonce, wait))
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, LocalState> {
        self.local.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn end_call(&self, nonce: Nonce, state: ClaimState) -> OpKind {
        self.lock().registry.end(nonce, state.clone());
        self.call_ended.notify_all();
        OpKind::Finish { state }
    }

    fn locate_record(&self, req: &ClaimRequest, key: ClaimKey) -> Option<RecordLocation> {
        if let Ok(bound) = req.key.parse::<BoundKey>() {
            return Some(RecordLocation::Bound(bound.arbiter));
        }
        let layout = self.layout.get(self.store.as_ref())?;
        Some(RecordLocation::Slot(key.slot(layout.slots)))
    }

    fn drive_claim(&self, host: &Host, req: &ClaimRequest, purpose: Purpose) -> ClaimDecision {
        let key = ClaimKey::new(&req.team, &req.service, &req.key);
        let Some(location) = self.locate_record(req, key) else {
            return ClaimDecision::Refuse(store_unavailable());
        };
        let nonce = Nonce(self.lock().rng.random());
        let digest = RequestDigest::from(req.digest);
        let mut call =
            CallClaim::new(key, digest, self.holder.clone(), nonce, purpose, req.deadline);
        let mut input = Input::Start;
        loop {
            let step = call.step(self.clock.now(), input, &mut self.lock().registry);
            input = match step {
                Step::Commit(op) => self
                    .commit(host, &location, op)
                    .map_or(Input::NoCommitReply, Input::CommitReply),
                Step::Ask { holder, nonce, wait } => self.ask_holder(host, holder, nonce, wait),
                Step::ReadSegment(id) => Input::Segment(self.read_segment(&location, key, id)),
                Step::Pause(span) => {
                    thread::sleep(span.to_duration());
                    Input::Resume
                }
                Step::Run => return ClaimDecision::Dispatch(DispatchPermit { call, location }),
                Step::ReplyToCaller(caller_reply) => return decision_of_reply(caller_reply),
            };
        }
    }

    /// Commits an operation where the key's record is kept; returns `None` when no reply arrived.
    fn commit(&self, host: &Host, location: &RecordLocation, op: Op) -> Option<OpReply> {
        match location {
            RecordLocation::Slot(slot) => self.commit_slot(host, *slot, op),
            RecordLocation::Bound(arbiter) => self.commit_bound(host, arbiter, op),
        }
    }

    fn commit_slot(&self, host: &Host, slot: SlotId, op: Op) -> Option<OpReply> {
        let home = self.choose_home(host, slot);
        let seen = self.lock().seen_sequences.get(&slot).copied().unwrap_or(0);
        let reply = if home == self.holder.host {
            self.committer.commit(slot, seen, op, COMMIT_TIMEOUT)
        } else {
            let message = ClaimMessage::Commit { slot, seen, op };
            match self.call_peer(host, &home, message, COMMIT_TIMEOUT + PEER_REPLY_MARGIN) {
                Some(ClaimReply::Op(reply)) => Some(reply),
                _ => None,
            }
        };
        let local = &mut *self.lock();
        match &reply {
            Some(OpReply::Recorded { sequence, .. }) => {
                let seen = local.seen_sequences.entry(slot).or_default();
                *seen = (*seen).max(*sequence);
            }
            None => {
                local.unresponsive_homes.insert(home, self.clock.now() + UNRESPONSIVE_HOME_SPAN);
            }
            Some(_) => {}
        }
        reply
    }

    fn commit_bound(&self, host: &Host, arbiter: &Holder, op: Op) -> Option<OpReply> {
        let incarnation = arbiter.incarnation;
        if arbiter.host == self.holder.host {
            let now = self.clock.unix_now();
            return Some(self.lock().bound.commit(incarnation, &op, now));
        }
        let message = ClaimMessage::CommitBound { incarnation, op };
        match self.call_peer(host, &arbiter.host, message, COMMIT_TIMEOUT) {
            Some(ClaimReply::Op(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Returns the host that commits operations on a slot: the first host in the slot's order that
    /// is not passed over, or this host when there is none.
    fn choose_home(&self, host: &Host, slot: SlotId) -> HostName {
        let mut members: Vec<HostName> =
            host.fleet.members().usable().map(|(name, _)| name.clone()).collect();
        if !members.contains(&self.holder.host) && !host.is_draining() {
            members.push(self.holder.host.clone());
        }
        let now = self.clock.now();
        let unresponsive_homes = &mut self.lock().unresponsive_homes;
        unresponsive_homes.retain(|_, until| *until > now);
        let order = home_order(slot, &members);
        let responsive = order.iter().find(|name| !unresponsive_homes.contains_key(*name));
        responsive.unwrap_or(&self.holder.host).clone()
    }

    fn call_peer(
        &self,
        host: &Host,
        to: &HostName,
        message: ClaimMessage,
        timeout: Millis,
    ) -> Option<ClaimReply> {
        match host.peers.call(to, PeerRequest::Claim(message), timeout) {
            Ok(PeerReply::Claim(reply)) => Some(reply),
            _ => None,
        }
    }

    fn ask_holder(&self, host: &Host, holder: Holder, nonce: Nonce, wait: Millis) -> Input {
        if holder.host == self.holder.host {
            return Input::StatusReply(self.wait_for_status(&holder, nonce, wait));
        }
        let to = holder.host.clone();
        let message = ClaimMessage::Ask { holder, nonce, wait };
        match self.call_peer(host, &to, message, wait + PEER_REPLY_MARGIN) {
            Some(ClaimReply::Status(status)) => Input::StatusReply(status),
            _ => Input::NoStatusReply,
        }
    }

    /// Returns the state of a claim; waits up to `wait` while its call is running.
    fn wait_for_status(&self, holder: &Holder, nonce: Nonce, wait: Millis) -> HolderStatus {
        let until = self.clock.now() + wait;
        let mut local = self.lock();
        loop {
            let status = local.registry.status(holder, nonce);
            let left = until.since(self.clock.now());
            if status != HolderStatus::Running || left == Millis::ZERO {
                return status;
            }
            let waited = self.call_ended.wait_timeout(local, left.to_duration());
            local = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn read_segment(&self, location: &RecordLocation, key: ClaimKey, id: u64) -> SegmentRead {
        let RecordLocation::Slot(slot) = location else {
            return SegmentRead::Missing;
        };
        match self.store.get(&segment_key(*slot, id)) {
            Ok(Some(found)) => {
                let records = decode_segment(&found.value).unwrap_or_default();
                let found = records.into_iter().find(|record| record.key == key);
                found.map_or(SegmentRead::Missing, SegmentRead::Found)
            }
            Ok(None) => SegmentRead::Missing,
            Err(_) => SegmentRead::Unavailable,
        }
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

    fn record_backlog(&self, host: &Host) {
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

    fn maintain(&self, host: &Host) {
        let members = host.fleet.members().usable().count().max(1);
        let share = (TOTAL_CLAIM_WRITES_PER_S / members).max(1) as u32;
        let counts =
            self.committer.maintain(share, |slot| self.choose_home(host, slot) == self.holder.host);
        let published_counts = std::mem::replace(&mut self.lock().published_counts, counts);
        publish_counts(host, published_counts, counts);
        host.telemetry.set_gauge("yuccanotch_claim_records", self.committer.record_count() as f64);
        host.telemetry.set_gauge("yuccanotch_claim_backlog", self.unrecorded_outcomes() as f64);
    }
}

/// Runs one worker thread of the committer until the host stops.
pub fn run_store_worker(host: &Arc<Host>) {
    host.claims.committer.run_worker(|| host.is_stopped());
}

/// Reads the layout, records postponed outcomes and publishes metrics until the host stops.
pub fn run(host: &Arc<Host>) {
    while !host.is_stopped() {
        host.claims.layout.get(host.store.as_ref());
        host.claims.record_backlog(host);
        host.claims.maintain(host);
        thread::sleep(MAINTENANCE_INTERVAL);
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

fn decision_of_reply(caller_reply: CallerReply) -> ClaimDecision {
    match caller_reply {
        CallerReply::Answer(answer) => ClaimDecision::Answer(answer),
        CallerReply::Refuse { outcome, reason, retry_may_resolve } => {
            let detail = refusal_detail(reason).to_owned();
            let retry_after = retry_may_resolve.then_some(RETRY_AFTER);
            ClaimDecision::Refuse(Refusal { reason, outcome, retry_after, detail })
        }
    }
}

fn refusal_detail(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::KeyReused => "the idempotency key was used before with a different request",
        RefusalReason::AnswerNotKept => "the call ran; its answer was too long to be stored",
        RefusalReason::StoreRestored => {
            "the store holds an older copy of the claims; retry with the same key"
        }
        RefusalReason::StoreUnavailable => "the store is unavailable; retry with the same key",
        RefusalReason::OutcomeUnknown => {
            "the call may have been run and is not repeated; retry with the same key"
        }
        RefusalReason::DeadlineExceeded => {
            "the call was still running at the deadline; retry with the same key"
        }
        _ => "the call was refused permanently; it was not run and will not be run with this key",
    }
}

fn store_unavailable() -> Refusal {
    let reason = RefusalReason::StoreUnavailable;
    Refusal::unknown(reason, refusal_detail(reason)).retry_after(RETRY_AFTER)
}

fn publish_counts(host: &Host, published_counts: SlotCounts, counts: SlotCounts) {
    let changes = [
        ("swap", counts.swaps - published_counts.swaps),
        ("conflict", counts.conflicts - published_counts.conflicts),
        ("lost_answer", counts.lost_answers - published_counts.lost_answers),
        ("seal", counts.seals - published_counts.seals),
        ("read", counts.reads - published_counts.reads),
        ("restored", counts.restores - published_counts.restores),
        ("damaged", counts.damaged - published_counts.damaged),
    ];
    for (label, change) in changes.into_iter().filter(|(_, change)| *change > 0) {
        host.telemetry.add_to_counter("yuccanotch_claim_store_total", label, change);
    }
    let written = counts.written_bytes - published_counts.written_bytes;
    host.telemetry.add_to_counter("yuccanotch_claim_written_bytes_total", "", written);
    if counts.restores > published_counts.restores {
        emit(Event::ClaimsRestored, format_args!("host={}", host.settings.host));
    }
    if counts.damaged > published_counts.damaged {
        emit(Event::ClaimsDamaged, format_args!("host={}", host.settings.host));
    }
}
