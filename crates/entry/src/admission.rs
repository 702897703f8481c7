//! Admission of requests by team; drives [`yuccanotch_core::admit`].
//!
//! Each waiting request blocks the thread that serves it until it is told to run or is refused.

use std::collections::HashMap;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use yuccanotch_core::admit::Action;
use yuccanotch_core::admit::Actions;
use yuccanotch_core::admit::AdmissionController;
use yuccanotch_core::admit::AdmissionSettings;
use yuccanotch_core::admit::Arrival;
use yuccanotch_core::admit::Denial;
use yuccanotch_core::admit::Event;
use yuccanotch_core::admit::Pool;
use yuccanotch_core::admit::RequestKey;
use yuccanotch_core::admit::TeamTerms;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::Team;
use yuccanotch_core::name::TeamName;
use yuccanotch_core::reason::RefusalReason;
use yuccanotch_core::route::StageCapacity;

use crate::problem::Refusal;

/// Longest wait between two looks at the caller's connection.
const CALLER_POLL_INTERVAL: Millis = Millis(200);

/// Fewest places of a pool, so that requests reach the router also when it knows no server.
const MIN_POOL_LIMIT: u32 = 2;

/// Requests in flight for each one that may wait.
const IN_FLIGHT_PER_QUEUED: usize = 4;

/// Part of the requests in flight that one pool may run, as a divisor.
const IN_FLIGHT_PER_RUNNING: usize = 2;

/// Admits requests within their teams' shares and limits.
#[derive(Debug)]
pub struct Admission {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    max_running: u32,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    controller: AdmissionController,
    waiting: HashMap<RequestKey, SyncSender<AdmissionResult>>,
    next_key: u64,
}

type AdmissionResult = Result<(), Denial>;

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// What the request competes for.
    pub pool: Pool,
    /// Shortest time in which it is likely to be served.
    pub service_time: Millis,
    /// Time by which it has to be served.
    pub deadline: Millis,
    /// Places of the pool on all hosts; `None` for no limit.
    pub stage_capacity: Option<StageCapacity>,
    /// Hosts that share the places, this one included.
    pub sharing_hosts: u32,
}

/// An admitted request; dropping it frees its place.
#[derive(Debug)]
pub struct Ticket {
    key: RequestKey,
    shared: Arc<Shared>,
}

impl Admission {
    /// Creates an admission for a host with `in_flight` requests in flight at most.
    pub fn new(clock: Clock, in_flight: usize) -> Self {
        let max_queued = (in_flight / IN_FLIGHT_PER_QUEUED).max(1);
        let settings = AdmissionSettings { max_queued, ..AdmissionSettings::default() };
        let state = State {
            controller: AdmissionController::new(settings),
            waiting: HashMap::new(),
            next_key: 0,
        };
        let max_running =
            u32::try_from((in_flight / IN_FLIGHT_PER_RUNNING).max(1)).unwrap_or(u32::MAX);
        let shared = Shared { clock, max_running, state: Mutex::new(state) };
        Self { shared: Arc::new(shared) }
    }

    /// Admits a request of a team, waiting for a place if need be.
    ///
    /// # Errors
    ///
    /// Refuses a request beyond the team's limits, beyond the queue, or that could not be served by
    /// its deadline; also when `is_gone` tells that the caller went away.
    pub fn admit(
        &self,
        name: &TeamName,
        team: &Team,
        request: AdmissionRequest,
        is_gone: &dyn Fn() -> bool,
    ) -> Result<Ticket, Refusal> {
        let (key, rx) = self.shared.enqueue(name, TeamTerms::from(team), request);
        // Dropping the ticket takes a request that still waits out of the queue as well.
        let ticket = Ticket { key, shared: self.shared.clone() };
        match self.shared.wait(key, &rx, is_gone) {
            Ok(()) => Ok(ticket),
            Err(denial) => Err(refusal_of(denial)),
        }
    }

    /// Returns the requests of a pool that run and that wait.
    pub fn running_and_queued(&self, pool: &Pool) -> (u32, usize) {
        let state = self.shared.lock();
        (state.controller.running(pool), state.controller.queued(pool))
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn enqueue(
        &self,
        name: &TeamName,
        terms: TeamTerms,
        request: AdmissionRequest,
    ) -> (RequestKey, Receiver<AdmissionResult>) {
        let now = self.clock.now();
        let state = &mut *self.lock();
        if let Some(capacity) = request.stage_capacity {
            let running = state.controller.running(&request.pool);
            let limit = host_limit(capacity, running, request.sharing_hosts).min(self.max_running);
            state.handle(now, Event::Limit(request.pool.clone(), limit));
        }
        state.next_key += 1;
        let key = RequestKey(state.next_key);
        let (tx, rx) = mpsc::sync_channel(1);
        state.waiting.insert(key, tx);
        let arrival = Arrival {
            key,
            pool: request.pool,
            team: name.clone(),
            terms,
            service_time: request.service_time,
            deadline: request.deadline,
        };
        state.handle(now, Event::Arrive(arrival));
        (key, rx)
    }

    fn wait(
        &self,
        key: RequestKey,
        rx: &Receiver<AdmissionResult>,
        is_gone: &dyn Fn() -> bool,
    ) -> AdmissionResult {
        loop {
            match rx.recv_timeout(self.wait_span().to_duration()) {
                Ok(result) => return result,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Err(caller_gone_denial()),
            }
            if is_gone() {
                self.handle_event(Event::Abandon(key));
                return Err(caller_gone_denial());
            }
            self.handle_event(Event::Tick);
        }
    }

    fn wait_span(&self) -> Millis {
        let wake_at = self.lock().controller.wake_at();
        let span = wake_at.map_or(CALLER_POLL_INTERVAL, |at| at.since(self.clock.now()));
        span.clamp(Millis(1), CALLER_POLL_INTERVAL)
    }

    fn handle_event(&self, event: Event) {
        let now = self.clock.now();
        self.lock().handle(now, event);
    }
}

impl State {
    fn handle(&mut self, now: Millis, event: Event) {
        let actions = self.controller.on_event(now, event);
        self.notify(actions);
    }

    fn notify(&mut self, actions: Actions) {
        for action in actions {
            let (key, result) = match action {
                Action::Admit(key) => (key, Ok(())),
                Action::Refuse(key, denial) => (key, Err(denial)),
            };
            if let Some(tx) = self.waiting.remove(&key) {
                let _ = tx.try_send(result);
            }
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let state = &mut *self.shared.lock();
        state.waiting.remove(&self.key);
        state.handle(now, Event::Finish(self.key));
    }
}

/// Returns the places of this host: its own runs and what is free, but not less than its even part.
fn host_limit(capacity: StageCapacity, running: u32, hosts: u32) -> u32 {
    let even_share = capacity.slots.div_ceil(hosts.max(1));
    let free = i64::from(capacity.slots) - i64::from(capacity.load);
    let available = u32::try_from(i64::from(running) + free).unwrap_or(0);
    available.max(even_share).max(MIN_POOL_LIMIT)
}

fn caller_gone_denial() -> Denial {
    Denial { reason: RefusalReason::CallerGone, retry_after: None }
}

fn refusal_of(denial: Denial) -> Refusal {
    let detail = match denial.reason {
        RefusalReason::TeamLimit => "the team is at its limit",
        RefusalReason::QueueFull => "too many requests wait",
        RefusalReason::DeadlineUnmeetable => "the request could not finish before its deadline",
        _ => "the caller went away while the request waited",
    };
    let refusal = Refusal::not_run(denial.reason, detail);
    match denial.retry_after {
        Some(span) => refusal.retry_after(span),
        None => refusal,
    }
}
