//! Admission of requests by team.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::Team;
use yuccanotch_core::name::TeamName;
use yuccanotch_core::reason::RefusalReason;

use crate::problem::Refusal;

const RETRY_AFTER: Millis = Millis(500);

/// Admits requests within their teams' limits.
#[derive(Debug)]
pub struct Admission {
    in_flight: Arc<Mutex<HashMap<TeamName, u32>>>,
}

/// An admitted request; dropping it frees its place.
#[derive(Debug)]
pub struct Ticket {
    team: TeamName,
    in_flight: Arc<Mutex<HashMap<TeamName, u32>>>,
}

impl Admission {
    /// Creates an admission without requests.
    pub fn new(_clock: Clock) -> Self {
        Self { in_flight: Arc::default() }
    }

    /// Admits a request of `team`.
    ///
    /// # Errors
    ///
    /// Refuses a request beyond the team's limit.
    pub fn admit(&self, name: &TeamName, team: &Team) -> Result<Ticket, Refusal> {
        let mut in_flight = self.in_flight.lock().expect("no panic while admitting");
        let running = in_flight.get(name).copied().unwrap_or_default();
        if team.in_flight.is_some_and(|limit| running >= limit) {
            let text = "the team has too many requests in flight";
            return Err(Refusal::not_run(RefusalReason::TeamLimit, text).retry_after(RETRY_AFTER));
        }
        in_flight.insert(name.clone(), running + 1);
        Ok(Ticket { team: name.clone(), in_flight: self.in_flight.clone() })
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut in_flight = self.in_flight.lock().expect("no panic while admitting");
        match in_flight.get_mut(&self.team) {
            Some(running) if *running > 1 => *running -= 1,
            _ => {
                in_flight.remove(&self.team);
            }
        }
    }
}
