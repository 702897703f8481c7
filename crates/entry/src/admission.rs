//! Admission control of requests by team; runs [`yuccanotch_core::admit`].
//!
//! A queued request blocks the thread that serves it until it is admitted or refused.

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

/// Longest time between two checks of whether the caller closed its connection.
const CALLER_POLL_INTERVAL: Millis = Millis(200);

/// Smallest limit of a pool, so that requests reach the router even when it knows no server.
const MIN_POOL_LIMIT: u32 = 2;

/// Ratio of the limit of requests in flight to the limit of queued requests.
const IN_FLIGHT_PER_QUEUED: usize = 4;

/// Ratio of the limit of requests in flight to the limit of running requests of one pool.
const IN_FLIGHT_PER_RUNNING: usize = 2;

/// Admission control of one host: queues, admits and refuses the requests of the teams.
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
    /// Senders to the threads of queued requests.
    waiting: HashMap<RequestKey, SyncSender<AdmissionResult>>,
    next_key: u64,
}

type AdmissionResult = Result<(), Denial>;

/// The pool, time and capacity that the admission of a request depends on.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Pool of servers that the request needs.
    pub pool: Pool,
    /// Shortest time in which the request can be expected to be served.
    pub service_time: Millis,
    /// Time by which the request has to be served.
    pub deadline: Millis,
    /// Capacity and load of the pool, over all hosts; `None` leaves its limit unchanged.
    pub stage_capacity: Option<StageCapacity>,
    /// Number of hosts that share the capacity, this one included.
    pub sharing_hosts: u32,
}

/// An admitted request; dropping it releases its place in the pool.
#[derive(Debug)]
pub struct Ticket {
    key: RequestKey,
    shared: Arc<Shared>,
}

impl Admission {
    /// Creates the admission control of a host with at most `in_flight` requests in flight.
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

    /// Admits a request of a team; blocks while it is queued.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the team is at its limit, the queue is full, the request could not be
    /// served by its deadline, or `is_gone` reports that the caller closed its connection.
    pub fn admit(
        &self,
        name: &TeamName,
        team: &Team,
        request: AdmissionRequest,
        is_gone: &dyn Fn() -> bool,
    ) -> Result<Ticket, Refusal> {
        let (key, rx) = self.shared.enqueue(name, TeamTerms::from(team), request);
        // Dropping the ticket also removes a request that is still queued.
        let ticket = Ticket { key, shared: self.shared.clone() };
        match self.shared.wait(key, &rx, is_gone) {
            Ok(()) => Ok(ticket),
            Err(denial) => Err(refusal_of(denial)),
        }
    }

    /// Returns the numbers of running and of queued requests of a pool.
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
            match rx.recv_timeout(self.time_to_next_check().to_duration()) {
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

    fn time_to_next_check(&self) -> Millis {
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

/// Returns the limit of running requests of a pool on this host: those that it runs plus the free
/// capacity, but at least its even share of the capacity.
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
        RefusalReason::QueueFull => "too many requests are queued",
        RefusalReason::DeadlineUnmeetable => "the request could not finish before its deadline",
        _ => "the caller closed its connection while the request was queued",
    };
    let refusal = Refusal::not_run(denial.reason, detail);
    match denial.retry_after {
        Some(span) => refusal.retry_after(span),
        None => refusal,
    }
}
