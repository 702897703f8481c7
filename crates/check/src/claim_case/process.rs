//! Process of an entry host: its claim modules and the calls in progress.

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

/// Index of a process in the simulation's list, which keeps dead processes.
pub type ProcessId = usize;

/// Identifies a call within its process.
pub type CallId = u64;

/// Number of a wait of a call. An input that belongs to an earlier wait is ignored as late.
pub type WaitId = u64;

/// A call in progress.
#[derive(Debug)]
pub struct Call {
    /// State machine of the claim.
    pub claim: CallClaim,
    /// Index of the caller's request in the simulation's list.
    pub request: usize,
    /// Current wait.
    pub wait: WaitId,
    /// Number of commits without a reply so far; selects the next home host to try.
    pub commits: usize,
    /// Progress of recording the outcome; `None` until the dispatch has ended.
    pub outcome_commit: Option<OutcomeCommit>,
}

/// Progress of recording the outcome of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OutcomeCommit {
    /// Whether the call was refused, so that the caller's response waits for the tombstone.
    pub refusal: bool,
    /// Number of failed commits so far.
    pub attempts: u32,
}

/// Call that waits for an operation that this process writes.
#[derive(Clone, Copy, Debug)]
pub enum Waiter {
    /// Call of this process.
    Local(CallId, WaitId),
    /// Call of another process.
    Peer(ProcessId, CallId, WaitId),
}

/// Process of an entry host.
#[derive(Debug)]
pub struct Process {
    /// Host and incarnation.
    pub holder: Holder,
    /// Whether the process runs; a dead process drops its events.
    pub alive: bool,
    /// Time until which the process handles no event; it handles the delayed ones afterwards.
    pub paused_until: Millis,
    /// Writers of the claim slots.
    pub writers: SlotWriters,
    /// Claims held by this process.
    pub registry: ClaimRegistry,
    /// Claims of the keys whose arbiter is this process.
    pub bound_table: BoundTable,
    /// Calls in progress.
    pub calls: HashMap<CallId, Call>,
    /// Calls that wait for submitted operations.
    pub waiters: HashMap<Ticket, Waiter>,
    /// Highest sequence number seen in each slot.
    pub seen_sequences: HashMap<SlotId, u64>,
    /// Hosts that the process considers members; may differ between processes.
    pub members: Vec<HostName>,
    /// Operations that record the outcomes of calls, kept for repeated commits.
    pub outcome_ops: HashMap<CallId, Op>,
    next_id: u64,
}

impl Process {
    /// Creates a running process.
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

    /// Returns a call number that this process has not used.
    pub fn allocate_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Replaces the process's view of the members by a random non-empty subset of `all`.
    pub fn randomize_members<R: Rng>(&mut self, all: &[HostName], rng: &mut R) {
        self.members = all.iter().filter(|_| rng.random_bool(0.8)).cloned().collect();
        if self.members.is_empty() {
            self.members = all.to_vec();
        }
    }
}
