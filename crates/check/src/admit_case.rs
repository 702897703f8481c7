//! Randomised case: admission of requests while one team floods and callers leave the queue.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::admit::Action;
use yuccanotch_core::admit::Actions;
use yuccanotch_core::admit::AdmissionController;
use yuccanotch_core::admit::AdmissionSettings;
use yuccanotch_core::admit::Arrival;
use yuccanotch_core::admit::Event;
use yuccanotch_core::admit::Pool;
use yuccanotch_core::admit::RequestKey;
use yuccanotch_core::admit::TeamTerms;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::Priority;
use yuccanotch_core::name::TeamName;
use yuccanotch_core::reason::RefusalReason;

use crate::case::CaseResult;
use crate::trace::Trace;

const STEPS: u32 = 300;
const TEAMS: u32 = 6;
const MAX_QUEUED: usize = 12;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestState {
    Waiting,
    Running,
}

/// Request that waits or runs.
struct Request {
    team: TeamName,
    state: RequestState,
    deadline: Millis,
    service_time: Millis,
}

/// State of one run.
struct Simulation {
    rng: Pcg64Mcg,
    now: Millis,
    admit: AdmissionController,
    pool: Pool,
    /// Current limit of running requests.
    limit: u32,
    terms: Vec<TeamTerms>,
    requests: BTreeMap<RequestKey, Request>,
    next_key: u64,
}

/// Checks limits, queue bounds, deadlines, that each request gets one decision, and that no capacity
/// stays unused while requests wait.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let reserve_percent = if rng.random_bool(0.5) { 0 } else { 20 };
    let terms = (0..TEAMS).map(|_| random_terms(&mut rng)).collect();
    trace.add(format!("reserve {reserve_percent} %, {terms:?}"));
    let settings = AdmissionSettings { max_queued: MAX_QUEUED, reserve_percent };
    let mut sim = Simulation {
        rng,
        now: Millis(1),
        admit: AdmissionController::new(settings),
        pool: Pool::Model("m".into()),
        limit: 0,
        terms,
        requests: BTreeMap::new(),
        next_key: 0,
    };
    sim.change_limit(trace)?;
    for _ in 0..STEPS {
        sim.step(trace)?;
        sim.check_invariants(reserve_percent)?;
    }
    sim.check_end(trace)
}

fn random_terms(rng: &mut Pcg64Mcg) -> TeamTerms {
    TeamTerms {
        weight: rng.random_range(1..5),
        priority: Priority::ALL[rng.random_range(0..Priority::ALL.len())],
        requests_per_s: rng.random_bool(0.3).then(|| rng.random_range(1..50)),
        in_flight: rng.random_bool(0.3).then(|| rng.random_range(1..6)),
    }
}

impl Simulation {
    fn step(&mut self, trace: &mut Trace) -> CaseResult {
        self.now = self.now + Millis(self.rng.random_range(0..30));
        match self.rng.random_range(0..20) {
            0 => self.change_limit(trace),
            1 => self.handle_event(Event::Tick, trace),
            2 => self.end_random_request(RequestState::Waiting, trace),
            3..=8 => self.end_random_request(RequestState::Running, trace),
            _ => self.arrive(trace),
        }
    }

    fn change_limit(&mut self, trace: &mut Trace) -> CaseResult {
        self.limit = self.rng.random_range(1..10);
        self.handle_event(Event::Limit(self.pool.clone(), self.limit), trace)
    }

    fn end_random_request(&mut self, state: RequestState, trace: &mut Trace) -> CaseResult {
        let keys: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, req)| req.state == state)
            .map(|(key, _)| *key)
            .collect();
        if keys.is_empty() {
            return Ok(());
        }
        let key = keys[self.rng.random_range(0..keys.len())];
        self.requests.remove(&key);
        let event = match state {
            RequestState::Waiting => Event::Abandon(key),
            RequestState::Running => Event::Finish(key),
        };
        self.handle_event(event, trace)
    }

    fn arrive(&mut self, trace: &mut Trace) -> CaseResult {
        // The first team sends more than half of the requests.
        let team = if self.rng.random_bool(0.5) { 0 } else { self.rng.random_range(0..TEAMS) };
        let key = RequestKey(self.next_key);
        self.next_key += 1;
        let service_time = Millis(self.rng.random_range(0..60));
        let deadline = self.now + Millis(self.rng.random_range(1..2_000));
        let name = TeamName::new(&format!("team-{team}"));
        let req =
            Request { team: name.clone(), state: RequestState::Waiting, deadline, service_time };
        self.requests.insert(key, req);
        let arrival = Arrival {
            key,
            pool: self.pool.clone(),
            team: name,
            terms: self.terms[team as usize],
            service_time,
            deadline,
        };
        self.handle_event(Event::Arrive(arrival), trace)
    }

    fn handle_event(&mut self, event: Event, trace: &mut Trace) -> CaseResult {
        trace.add(format!("{}: {event:?}", self.now));
        let actions = self.admit.on_event(self.now, event);
        self.apply(&actions, trace)
    }

    fn apply(&mut self, actions: &Actions, trace: &mut Trace) -> CaseResult {
        for action in actions {
            trace.add(format!("  {action:?}"));
            match action {
                Action::Admit(key) => self.on_admit(*key)?,
                Action::Refuse(key, denial) => {
                    let req = self.requests.remove(key).ok_or("an unknown request was refused")?;
                    if req.state == RequestState::Running {
                        return Err(format!("{key:?} was refused as not run while it ran"));
                    }
                    let must_name_retry_time = denial.reason != RefusalReason::DeadlineUnmeetable;
                    if must_name_retry_time
                        && denial.retry_after.is_none_or(|span| span == Millis::ZERO)
                    {
                        return Err(format!("{key:?} was refused without a time to retry after"));
                    }
                }
            }
        }
        Ok(())
    }

    fn on_admit(&mut self, key: RequestKey) -> CaseResult {
        let now = self.now;
        let req = self.requests.get_mut(&key).ok_or("an unknown request was admitted")?;
        if req.state == RequestState::Running {
            return Err(format!("{key:?} was admitted twice"));
        }
        if now + req.service_time > req.deadline {
            return Err(format!("{key:?} was admitted too late to meet its deadline"));
        }
        req.state = RequestState::Running;
        if self.count(RequestState::Running) > self.limit as usize {
            return Err(format!("more than the limit of {} requests run", self.limit));
        }
        Ok(())
    }

    fn count(&self, state: RequestState) -> usize {
        self.requests.values().filter(|req| req.state == state).count()
    }

    fn check_invariants(&self, reserve_percent: u32) -> CaseResult {
        let (running, waiting) =
            (self.count(RequestState::Running), self.count(RequestState::Waiting));
        let counted = (self.admit.running(&self.pool) as usize, self.admit.queued(&self.pool));
        if counted != (running, waiting) {
            return Err(format!(
                "the controller counts {counted:?} running and queued requests instead of {:?}",
                (running, waiting)
            ));
        }
        if waiting > MAX_QUEUED {
            return Err(format!("{waiting} requests wait, at most {MAX_QUEUED} may"));
        }
        let reserve = self.limit as usize * reserve_percent as usize / 100;
        if waiting > 0 && running + reserve < self.limit as usize {
            return Err(format!(
                "{waiting} requests wait although only {running} of {} run",
                self.limit
            ));
        }
        let limits = self.terms.iter().enumerate();
        for (number, terms) in limits {
            let name = format!("team-{number}");
            let in_flight = self.requests.values().filter(|req| req.team.as_str() == name).count();
            if terms.in_flight.is_some_and(|limit| in_flight > limit as usize) {
                return Err(format!("{name} has {in_flight} requests in flight"));
            }
        }
        Ok(())
    }

    /// Ends all requests and checks that each waiting one is decided by its deadline.
    fn check_end(&mut self, trace: &mut Trace) -> CaseResult {
        while let Some(at) = self.admit.wake_at() {
            self.now = self.now.max(at);
            self.handle_event(Event::Tick, trace)?;
            let is_late =
                |req: &Request| req.state == RequestState::Waiting && req.deadline < self.now;
            if self.requests.values().any(is_late) {
                return Err("a request still waits after its deadline".to_owned());
            }
        }
        while self.count(RequestState::Running) > 0 {
            self.end_random_request(RequestState::Running, trace)?;
        }
        self.now = self.now + Millis(120_000);
        self.handle_event(Event::Tick, trace)?;
        if self.admit.team_count() > 0 || !self.requests.is_empty() {
            return Err("state is left after the last request".to_owned());
        }
        Ok(())
    }
}
