//! Admission control over all pools, with the limits of teams.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::name::TeamName;
use crate::reason::RefusalReason;

use super::messages::Action;
use super::messages::Actions;
use super::messages::AdmissionSettings;
use super::messages::Arrival;
use super::messages::Denial;
use super::messages::Event;
use super::messages::Pool;
use super::messages::RequestKey;
use super::pool::PoolState;
use super::team::RateLimit;
use super::team::TeamUsage;

/// Time between two removals of the state of idle teams.
const IDLE_CLEANUP_PERIOD: Millis = Millis(5_000);

/// Time after which a team at its limit of requests in flight is asked to retry.
const IN_FLIGHT_RETRY_AFTER: Millis = Millis(500);

/// Limit of a pool before its first [`Event::Limit`].
const UNLIMITED: u32 = u32::MAX;

#[derive(Clone, Debug)]
struct TrackedRequest {
    pool: Pool,
    team: TeamName,
    admitted_at: Option<Millis>,
}

/// Decides which requests are admitted, have to wait or are refused.
#[derive(Clone, Debug, Default)]
pub struct AdmissionController {
    settings: AdmissionSettings,
    pools: HashMap<Pool, PoolState>,
    teams: HashMap<TeamName, TeamUsage>,
    requests: HashMap<RequestKey, TrackedRequest>,
    last_cleanup_at: Millis,
}

impl AdmissionController {
    /// Creates a controller without pools or requests.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Handles an event and returns the decisions that follow from it.
    pub fn on_event(&mut self, now: Millis, event: Event) -> Actions {
        let mut actions = match event {
            Event::Arrive(arrival) => self.arrive(now, arrival),
            Event::Finish(key) => self.finish(now, key),
            Event::Abandon(key) => self.abandon(now, key),
            Event::Limit(pool, limit) => self.set_limit(now, pool, limit),
            Event::Tick => Actions::new(),
        };
        if self.wake_at().is_some_and(|at| at <= now) {
            let settings = self.settings;
            let expired: Vec<Actions> =
                self.pools.values_mut().map(|pool| pool.admit_waiting(now, &settings)).collect();
            actions.extend(expired.into_iter().flatten());
        }
        self.apply_decisions(now, &actions);
        self.remove_idle(now);
        actions
    }

    /// Returns the time at which [`Event::Tick`] is due, if any.
    pub fn wake_at(&self) -> Option<Millis> {
        self.pools.values().filter_map(PoolState::wake_at).min()
    }

    fn arrive(&mut self, now: Millis, arrival: Arrival) -> Actions {
        if let Err(denial) = self.check_team_limits(now, &arrival) {
            return Actions::from_iter([Action::Refuse(arrival.key, denial)]);
        }
        if let Some(team) = self.teams.get_mut(&arrival.team) {
            team.in_flight += 1;
        }
        let tracked = TrackedRequest {
            pool: arrival.pool.clone(),
            team: arrival.team.clone(),
            admitted_at: None,
        };
        self.requests.insert(arrival.key, tracked);
        let others = self.pools.iter().filter(|(pool, _)| **pool != arrival.pool);
        let queued_elsewhere: usize = others.map(|(_, pool)| pool.queued()).sum();
        let max_queued = self.settings.max_queued.saturating_sub(queued_elsewhere);
        let settings = AdmissionSettings { max_queued, ..self.settings };
        self.pool(&arrival.pool).arrive(now, &arrival, &settings)
    }

    fn check_team_limits(&mut self, now: Millis, arrival: &Arrival) -> Result<(), Denial> {
        let terms = arrival.terms;
        let team = self
            .teams
            .entry(arrival.team.clone())
            .or_insert_with(|| TeamUsage { in_flight: 0, rate: None });
        let denial = |after| Denial { reason: RefusalReason::TeamLimit, retry_after: Some(after) };
        if terms.in_flight.is_some_and(|limit| team.in_flight >= limit) {
            return Err(denial(IN_FLIGHT_RETRY_AFTER));
        }
        let Some(per_s) = terms.requests_per_s else {
            team.rate = None;
            return Ok(());
        };
        let rate = team.rate.get_or_insert_with(|| RateLimit::new(now, per_s));
        rate.try_acquire(now, per_s).map_err(denial)
    }

    fn pool(&mut self, pool: &Pool) -> &mut PoolState {
        if !self.pools.contains_key(pool) {
            self.pools.insert(pool.clone(), PoolState::new(UNLIMITED));
        }
        self.pools.get_mut(pool).expect("the pool was inserted")
    }

    fn finish(&mut self, now: Millis, key: RequestKey) -> Actions {
        let Some(tracked) = self.requests.remove(&key) else {
            return Actions::new();
        };
        self.release_team(&tracked.team);
        let settings = self.settings;
        let pool = self.pool(&tracked.pool);
        match tracked.admitted_at {
            Some(at) => pool.finish(&tracked.team, now.since(at)),
            None => {
                pool.remove_waiting(&tracked.team, key);
            }
        }
        pool.admit_waiting(now, &settings)
    }

    fn abandon(&mut self, now: Millis, key: RequestKey) -> Actions {
        let is_waiting =
            self.requests.get(&key).is_some_and(|tracked| tracked.admitted_at.is_none());
        if is_waiting {
            self.finish(now, key)
        } else {
            Actions::new()
        }
    }

    fn set_limit(&mut self, now: Millis, pool: Pool, limit: u32) -> Actions {
        let settings = self.settings;
        let pool = self.pool(&pool);
        pool.limit = limit;
        pool.admit_waiting(now, &settings)
    }

    /// Updates the tracked requests and the usage of teams by the decisions returned.
    fn apply_decisions(&mut self, now: Millis, actions: &Actions) {
        for action in actions {
            match action {
                Action::Admit(key) => {
                    if let Some(tracked) = self.requests.get_mut(key) {
                        tracked.admitted_at = Some(now);
                    }
                }
                Action::Refuse(key, _) => {
                    if let Some(tracked) = self.requests.remove(key) {
                        self.release_team(&tracked.team);
                    }
                }
            }
        }
    }

    fn release_team(&mut self, name: &TeamName) {
        if let Some(team) = self.teams.get_mut(name) {
            team.in_flight = team.in_flight.saturating_sub(1);
        }
    }

    fn remove_idle(&mut self, now: Millis) {
        if now.since(self.last_cleanup_at) < IDLE_CLEANUP_PERIOD {
            return;
        }
        self.last_cleanup_at = now;
        self.pools.values_mut().for_each(|pool| pool.remove_idle(now));
        let is_idle = |team: &TeamUsage| {
            team.in_flight == 0 && team.rate.is_none_or(|rate| rate.is_full(now))
        };
        self.teams.retain(|_, team| !is_idle(team));
    }

    /// Returns the number of admitted requests of a pool that have not ended.
    pub fn running(&self, pool: &Pool) -> u32 {
        self.pools.get(pool).map_or(0, PoolState::running)
    }

    /// Returns the number of waiting requests of a pool.
    pub fn queued(&self, pool: &Pool) -> usize {
        self.pools.get(pool).map_or(0, PoolState::queued)
    }

    /// Returns how many teams the controller keeps state of: the largest number over the team
    /// limits and each pool.
    pub fn team_count(&self) -> usize {
        let in_pools = self.pools.values().map(PoolState::team_count).max().unwrap_or(0);
        self.teams.len().max(in_pools)
    }
}
