//! Commits operations on the slots that this host writes.
//!
//! Worker threads make the calls to the store. One lock guards the state of all slots; no thread
//! holds it during a call to the store.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::sync::mpsc;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::claim::Op;
use yuccanotch_core::claim::OpReply;
use yuccanotch_core::claim::Replies;
use yuccanotch_core::claim::SlotCall;
use yuccanotch_core::claim::SlotCounts;
use yuccanotch_core::claim::SlotId;
use yuccanotch_core::claim::SlotSettings;
use yuccanotch_core::claim::SlotWriters;
use yuccanotch_core::claim::StoreAnswer;
use yuccanotch_core::claim::StoreCall;
use yuccanotch_core::claim::Ticket;
use yuccanotch_core::claim::WriteBudget;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::ids::KeyVersion;
use yuccanotch_core::store::Store;

/// Longest wait of a worker between two polls while operations wait for a reply.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait of a worker between two polls while no operation waits.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Write rate until [`Committer::maintain`] sets this host's share.
const INITIAL_WRITES_PER_S: u32 = 20;
/// Largest number of writes that may follow each other without a pause after an idle time.
const MAX_BURST_WRITES: u32 = 16;
/// Time without an operation after which a slot with another home is removed from memory.
const IDLE_TIME_BEFORE_EVICTION: Millis = Millis(60_000);

/// Writes the slots that this host commits to.
pub struct Committer {
    store: Arc<dyn Store>,
    clock: Clock,
    state: Mutex<State>,
    work_ready: Condvar,
}

struct State {
    writers: SlotWriters,
    rng: Pcg64Mcg,
    store_calls: VecDeque<SlotCall>,
    reply_senders: HashMap<Ticket, SyncSender<OpReply>>,
}

impl fmt::Debug for Committer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Committer").finish_non_exhaustive()
    }
}

impl Committer {
    /// Creates a committer that writes no slot yet.
    pub fn new(store: Arc<dyn Store>, clock: Clock, settings: SlotSettings) -> Self {
        let budget = WriteBudget::new(INITIAL_WRITES_PER_S, MAX_BURST_WRITES);
        let state = State {
            writers: SlotWriters::new(settings, budget),
            rng: Pcg64Mcg::from_os_rng(),
            store_calls: VecDeque::new(),
            reply_senders: HashMap::new(),
        };
        Self { store, clock, state: Mutex::new(state), work_ready: Condvar::new() }
    }

    /// Commits an operation and waits up to `timeout` for its reply.
    pub fn commit(&self, slot: SlotId, seen: u64, op: Op, timeout: Millis) -> Option<OpReply> {
        let (tx, rx) = mpsc::sync_channel(1);
        let now = self.clock.now();
        let ticket = {
            let state = &mut *self.lock();
            let Ok(ticket) = state.writers.submit(now, slot, seen, op) else {
                return Some(OpReply::Unavailable);
            };
            state.reply_senders.insert(ticket, tx);
            ticket
        };
        self.work_ready.notify_one();
        let reply = rx.recv_timeout(timeout.to_duration()).ok();
        if reply.is_none() {
            self.lock().reply_senders.remove(&ticket);
        }
        reply
    }

    /// Makes calls to the store until `is_stopped` returns true; runs on each worker thread.
    pub fn run_worker(&self, is_stopped: impl Fn() -> bool) {
        let mut state = self.lock();
        while !is_stopped() {
            self.poll(&mut state);
            let Some(call) = state.store_calls.pop_front() else {
                state = self.wait_for_work(state);
                continue;
            };
            drop(state);
            let answer = self.execute(call.call);
            state = self.lock();
            let replies = state.writers.on_store(self.clock.now(), call.slot, answer);
            state.deliver(replies);
        }
    }

    /// Sets the rate of writes to the store, removes idle slots that have another home from memory,
    /// and returns the counts since the start.
    pub fn maintain(&self, writes_per_s: u32, is_home: impl Fn(SlotId) -> bool) -> SlotCounts {
        let now = self.clock.now();
        let writers = &mut self.lock().writers;
        writers.set_write_rate(now, writes_per_s);
        writers.evict(now, IDLE_TIME_BEFORE_EVICTION, is_home);
        writers.counts()
    }

    /// Returns the number of claim records in memory.
    pub fn record_count(&self) -> usize {
        self.lock().writers.records()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn poll(&self, state: &mut State) {
        let now = self.clock.now();
        let unix_now = self.clock.unix_now();
        let (replies, calls) = state.writers.poll(now, unix_now, &mut state.rng);
        state.deliver(replies);
        if calls.len() > 1 {
            self.work_ready.notify_all();
        }
        state.store_calls.extend(calls);
    }

    fn wait_for_work<'a>(&self, state: MutexGuard<'a, State>) -> MutexGuard<'a, State> {
        let span =
            if state.reply_senders.is_empty() { IDLE_POLL_INTERVAL } else { BUSY_POLL_INTERVAL };
        let (state, _) =
            self.work_ready.wait_timeout(state, span).unwrap_or_else(PoisonError::into_inner);
        state
    }

    fn execute(&self, call: StoreCall) -> StoreAnswer {
        match call {
            StoreCall::Get { key } => StoreAnswer::Got(self.store.get(&key)),
            StoreCall::Swap { key, expect, value } => {
                StoreAnswer::Swapped(self.store.swap(&key, expect, &value, None))
            }
            StoreCall::Delete { key } => {
                // A sealed segment is written only once, so its version is 1.
                let _ = self.store.delete(&key, KeyVersion(1));
                StoreAnswer::Deleted
            }
        }
    }
}

impl State {
    fn deliver(&mut self, replies: Replies) {
        for (ticket, reply) in replies {
            if let Some(tx) = self.reply_senders.remove(&ticket) {
                let _ = tx.send(reply);
            }
        }
    }
}
