//! Claims, which keep a call that may not be repeated from being dispatched twice.
//!
//! Runs the state machines of `yuccanotch_core::claim`. The thread of a request drives the claim of
//! its call. Operations on a claim go to the slot's home, the host that normally writes the slot:
//! over the peer links, or to this host's own [`Committer`] when this host is the home. When the
//! home does not reply, the next host in the slot's order takes its place.

mod call;
mod commits;
mod committer;
mod holders;
mod layout;
mod maintenance;
mod outcomes;
mod reply;

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::claim::BoundKey;
use yuccanotch_core::claim::BoundTable;
use yuccanotch_core::claim::CallClaim;
use yuccanotch_core::claim::ClaimKey;
use yuccanotch_core::claim::ClaimMessage;
use yuccanotch_core::claim::ClaimRegistry;
use yuccanotch_core::claim::ClaimReply;
use yuccanotch_core::claim::Holder;
use yuccanotch_core::claim::Input;
use yuccanotch_core::claim::Nonce;
use yuccanotch_core::claim::Op;
use yuccanotch_core::claim::OpReply;
use yuccanotch_core::claim::Purpose;
use yuccanotch_core::claim::RequestDigest;
use yuccanotch_core::claim::SlotCounts;
use yuccanotch_core::claim::SlotId;
use yuccanotch_core::claim::SlotSettings;
use yuccanotch_core::claim::Step;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::ids::Incarnation;
use yuccanotch_core::name::HostName;
use yuccanotch_core::reason::RefusalReason;
use yuccanotch_core::store::Store;

use crate::host::Host;

use self::commits::RecordLocation;
use self::commits::COMMIT_TIMEOUT;
use self::committer::Committer;
use self::layout::LayoutCell;
use self::reply::decision_of_reply;
use self::reply::store_unavailable;

pub use self::call::CallOutcome;
pub use self::call::ClaimDecision;
pub use self::call::ClaimRequest;
pub use self::call::DispatchPermit;
pub use self::maintenance::run;
pub use self::maintenance::run_store_worker;
pub use yuccanotch_core::claim::StoredAnswer;

/// Number of threads that make the committer's calls to the store.
pub const STORE_WORKERS: usize = 4;

/// Number of ended calls whose state is kept to answer the status queries of other hosts.
const MAX_REMEMBERED_CALLS: usize = 16_384;
/// Largest number of records of bound keys that this host keeps in memory.
const MAX_BOUND_RECORDS: usize = 65_536;
/// Number of bound keys that one request of a caller returns.
const BOUND_KEYS_PER_REQUEST: usize = 16;

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

    /// Creates keys that are bound to this incarnation, for use while the store is unavailable.
    pub fn create_bound_keys(&self) -> Vec<String> {
        let rng = &mut self.lock().rng;
        let key = |serial| BoundKey { arbiter: self.holder.clone(), serial }.to_string();
        (0..BOUND_KEYS_PER_REQUEST).map(|_| key(rng.random())).collect()
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

    fn lock(&self) -> MutexGuard<'_, LocalState> {
        self.local.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
