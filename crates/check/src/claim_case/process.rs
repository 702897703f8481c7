//! One process of an entry host: the claim modules and the calls in progress.

use std::collections::HashMap;

use rand::Rng;
use yuccanotch_core::claim::BoundTable;
use yuccanotch_core::claim::CallClaim;
use yuccanotch_core::claim::ClaimRegistry;
use yuccanotch_core::claim::Holder;
use yuccanotch_core::claim::Op;
use yuccanotch_core::claim::SlotId;
use yuccanotch_core::claim::SlotSettings;
use yuccanotch_core::claim::SlotWriters;
use yuccanotch_core::claim::Ticket;
use yuccanotch_core::claim::WriteBudget;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::ids::Incarnation;
use yuccanotch_core::name::HostName;

/// Identifies a process of the run, dead ones included.
pub type ProcessId = usize;

/// Identifies a call within its process.
pub type CallId = u64;

/// What a call waits for, so that late answers are told apart.
pub type WaitId = u64;

/// A call in progress.
#[derive(Debug)]
pub struct Call {
    /// Steps of the claim.
    pub claim: CallClaim,
    /// Caller's request, by its place in the world's list.
    pub request: usize,
    /// What the call waits for.
    pub wait: WaitId,
    /// Commits sent so far, which choose the next home to try.
    pub commits: usize,
    /// Progress of the recording of the call's end.
    pub outcome_commit: Option<OutcomeCommit>,
}

/// The recording of a call's end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OutcomeCommit {
    /// Whether the caller still waits for the tombstone.
    pub refusal: bool,
    /// Commits sent so far.
    pub attempts: u32,
}

/// Who waits for an operation that this process writes.
#[derive(Clone, Copy, Debug)]
pub enum Waiter {
    /// A call of this process.
    Local(CallId, WaitId),
    /// A call of another process.
    Peer(ProcessId, CallId, WaitId),
}

/// A process.
#[derive(Debug)]
pub struct Process {
    /// Host and incarnation.
    pub holder: Holder,
    /// Whether it runs; a dead process takes no event.
    pub alive: bool,
    /// Until when it takes no event, to catch up afterwards.
    pub paused_until: Millis,
    /// Slots that it writes.
    pub writers: SlotWriters,
    /// Its claims.
    pub registry: ClaimRegistry,
    /// Keys bound to it.
    pub bound_table: BoundTable,
    /// Calls in progress.
    pub calls: HashMap<CallId, Call>,
    /// Who waits for its operations.
    pub waiters: HashMap<Ticket, Waiter>,
    /// Highest sequence numbers seen.
    pub seen_sequences: HashMap<SlotId, u64>,
    /// Hosts that it takes for members.
    pub members: Vec<HostName>,
    /// Operations that record the ends of calls.
    pub outcome_ops: HashMap<CallId, Op>,
    next_id: u64,
}

impl Process {
    /// Starts a process.
    pub fn new(
        host: &HostName,
        incarnation: u64,
        settings: SlotSettings,
        members: Vec<HostName>,
    ) -> Self {
        let holder = Holder { host: host.clone(), incarnation: Incarnation(incarnation) };
        Self {
            registry: ClaimRegistry::new(holder.clone(), 64),
            bound_table: BoundTable::new(holder.incarnation, 64),
            holder,
            alive: true,
            paused_until: Millis::ZERO,
            writers: SlotWriters::new(settings, WriteBudget::new(200, 20)),
            calls: HashMap::new(),
            waiters: HashMap::new(),
            seen_sequences: HashMap::new(),
            members,
            outcome_ops: HashMap::new(),
            next_id: 0,
        }
    }

    /// Returns a number that this process has not used.
    pub fn allocate_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Changes what the process takes for the members.
    pub fn randomize_members<R: Rng>(&mut self, all: &[HostName], rng: &mut R) {
        self.members = all.iter().filter(|_| rng.random_bool(0.8)).cloned().collect();
        if self.members.is_empty() {
            self.members = all.to_vec();
        }
    }
}
