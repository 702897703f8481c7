//! Limit, queues and fair queueing of one pool.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::clock::Millis;
use crate::defect::planted;
use crate::name::TeamName;
use crate::reason::RefusalReason;

use super::messages::Action;
use super::messages::Actions;
use super::messages::AdmissionSettings;
use super::messages::Arrival;
use super::messages::Denial;
use super::messages::RequestKey;
use super::team::effective_weight;
use super::team::TeamQueue;
use super::team::WaitingRequest;

/// Scale of fair queueing tags, which keeps the precision of tags of teams with large weights.
const TAG_SCALE: u64 = 1_024;

/// Weight of the mean hold time against a new sample, out of 8.
const HOLD_HISTORY_WEIGHT: u64 = 7;

/// Shortest time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Millis = Millis(100);

/// Admitted and waiting requests of one pool.
#[derive(Clone, Debug)]
pub(super) struct PoolState {
    pub(super) limit: u32,
    running: u32,
    queued: usize,
    /// Exponentially weighted mean of the time from admission to the end of a request.
    mean_hold: Millis,
    /// Virtual time of fair queueing: the largest start tag of an admitted request.
    virtual_time: u64,
    teams: HashMap<TeamName, TeamQueue>,
    /// Start tag of the first waiting request of each team.
    heads: BTreeSet<(u64, TeamName)>,
    /// Waiting requests by the latest admission that still meets their deadline.
    expiries: BTreeSet<(Millis, RequestKey, TeamName)>,
}

impl PoolState {
    pub(super) fn new(limit: u32) -> Self {
        Self {
            limit,
            running: 0,
            queued: 0,
            mean_hold: Millis::ZERO,
            virtual_time: 0,
            teams: HashMap::new(),
            heads: BTreeSet::new(),
            expiries: BTreeSet::new(),
        }
    }

    pub(super) fn running(&self) -> u32 {
        self.running
    }

    pub(super) fn queued(&self) -> usize {
        self.queued
    }

    pub(super) fn team_count(&self) -> usize {
        self.teams.len()
    }

    /// Returns the time at which the next waiting request has to be refused as too late.
    pub(super) fn wake_at(&self) -> Option<Millis> {
        self.expiries.first().map(|(at, _, _)| *at + Millis(1))
    }

    /// Admits, queues or refuses a request; a full queue may refuse a waiting one instead.
    pub(super) fn arrive(
        &mut self,
        now: Millis,
        arrival: &Arrival,
        settings: &AdmissionSettings,
    ) -> Actions {
        let mut actions = Actions::new();
        if self.mean_hold == Millis::ZERO {
            self.mean_hold = arrival.service_time;
        }
        let wait = self.expected_wait(arrival);
        let end = now + wait + arrival.service_time;
        if end > arrival.deadline {
            let after = (end - arrival.deadline).max(MIN_RETRY_AFTER);
            let retry_after = (wait > Millis::ZERO).then_some(after);
            let denial = Denial { reason: RefusalReason::DeadlineUnmeetable, retry_after };
            actions.push(Action::Refuse(arrival.key, denial));
            return actions;
        }
        if self.queued >= settings.max_queued {
            let dropped = self.drop_from_longest_queue(&arrival.team);
            let denial = self.queue_full_denial(wait);
            let Some(dropped) = dropped else {
                actions.push(Action::Refuse(arrival.key, denial));
                return actions;
            };
            actions.push(Action::Refuse(dropped, denial));
        }
        self.enqueue(now, arrival);
        actions.extend(self.admit_waiting(now, settings));
        actions
    }

    fn queue_full_denial(&self, wait: Millis) -> Denial {
        let retry_after = Some(wait.max(MIN_RETRY_AFTER));
        Denial { reason: RefusalReason::QueueFull, retry_after }
    }

    /// Returns the expected time in the queue: the shorter of the wait behind all waiting requests
    /// and the wait at the team's weighted share behind its own.
    fn expected_wait(&self, arrival: &Arrival) -> Millis {
        if self.running < self.limit && self.queued == 0 {
            return Millis::ZERO;
        }
        let limit = u64::from(self.limit.max(1));
        let wait_in_total_order = (self.queued as u64 + 1) * self.mean_hold.0 / limit;
        let weight = effective_weight(arrival.terms);
        let team = self.teams.get(&arrival.team);
        let own = team.map_or(0, |team| team.waiting.len()) as u64;
        let others = self.heads.iter().filter(|(_, name)| *name != arrival.team);
        let other_weight: u64 = others.map(|(_, name)| self.teams[name].weight).sum();
        let wait_in_fair_order =
            (own + 1) * self.mean_hold.0 * (weight + other_weight) / (limit * weight);
        Millis(wait_in_total_order.min(wait_in_fair_order))
    }

    fn enqueue(&mut self, now: Millis, arrival: &Arrival) {
        let virtual_time = self.virtual_time;
        let team = self.teams.entry(arrival.team.clone()).or_default();
        team.weight = effective_weight(arrival.terms);
        let start_tag = team.finish_tag.max(virtual_time);
        team.finish_tag = start_tag + tag_increment(arrival.service_time, team.weight);
        let waiting = WaitingRequest {
            key: arrival.key,
            start_tag,
            service_time: arrival.service_time,
            deadline: arrival.deadline,
        };
        if team.waiting.is_empty() {
            self.heads.insert((start_tag, arrival.team.clone()));
        }
        team.waiting.push_back(waiting);
        team.update_peak(now);
        self.queued += 1;
        self.expiries.insert((waiting.latest_start(), arrival.key, arrival.team.clone()));
    }

    /// Removes the newest request of the team with the longest queue relative to its weight,
    /// unless that is the team of the arriving request.
    fn drop_from_longest_queue(&mut self, arriving: &TeamName) -> Option<RequestKey> {
        let length = |name: &TeamName| {
            let team = &self.teams[name];
            team.waiting.len() as u64 * TAG_SCALE / team.weight.max(1)
        };
        let (_, longest) = self.heads.iter().max_by_key(|(_, name)| length(name))?;
        if longest == arriving {
            return None;
        }
        let longest = longest.clone();
        let key = self.teams[&longest].waiting.back()?.key;
        self.remove_waiting(&longest, key);
        Some(key)
    }

    /// Removes a waiting request; returns whether it was waiting.
    pub(super) fn remove_waiting(&mut self, name: &TeamName, key: RequestKey) -> bool {
        let Some(team) = self.teams.get_mut(name) else {
            return false;
        };
        let Some(index) = team.waiting.iter().position(|waiting| waiting.key == key) else {
            return false;
        };
        let old_head = team.waiting.front().map(|waiting| waiting.start_tag);
        let removed = team.waiting.remove(index);
        if let (Some(removed), true) = (removed, index == team.waiting.len()) {
            team.finish_tag = removed.start_tag;
        }
        let new_head = team.waiting.front().map(|waiting| waiting.start_tag);
        self.queued -= 1;
        if let Some(removed) = removed {
            self.expiries.remove(&(removed.latest_start(), key, name.clone()));
        }
        self.move_head(name, old_head, new_head);
        true
    }

    fn move_head(&mut self, name: &TeamName, old: Option<u64>, new: Option<u64>) {
        if old == new {
            return;
        }
        if let Some(tag) = old {
            self.heads.remove(&(tag, name.clone()));
        }
        if let Some(tag) = new {
            self.heads.insert((tag, name.clone()));
        }
    }

    /// Refuses waiting requests that cannot meet their deadline, then admits others up to the
    /// limit.
    pub(super) fn admit_waiting(&mut self, now: Millis, settings: &AdmissionSettings) -> Actions {
        let mut actions = self.refuse_late(now);
        while self.running < self.limit {
            let Some(name) = self.next_team(now, settings) else {
                break;
            };
            let Some(first) = self.teams[&name].waiting.front().copied() else {
                break;
            };
            self.remove_waiting(&name, first.key);
            if let Some(team) = self.teams.get_mut(&name) {
                team.running += 1;
                team.finish_tag = team
                    .finish_tag
                    .max(first.start_tag + tag_increment(first.service_time, team.weight));
                team.update_peak(now);
            }
            self.running += 1;
            self.virtual_time = self.virtual_time.max(first.start_tag);
            actions.push(Action::Admit(first.key));
        }
        actions
    }

    /// Returns the team with the smallest start tag that may be admitted: one within its share, or
    /// one that leaves the reserve for recently active teams free.
    fn next_team(&self, now: Millis, settings: &AdmissionSettings) -> Option<TeamName> {
        let free = self.limit - self.running;
        let max_reserve = u64::from(self.limit) * u64::from(settings.reserve_percent) / 100;
        let may_take = |name: &TeamName| {
            max_reserve == 0
                || self.is_within_share(name)
                || u64::from(free) > self.recently_used_by_others(now, name).min(max_reserve)
        };
        let mut names = self.heads.iter().map(|(_, name)| name);
        names.find(|name| may_take(name)).cloned()
    }

    fn is_within_share(&self, name: &TeamName) -> bool {
        let total: u64 = self.teams.values().map(|team| team.weight).sum();
        let team = &self.teams[name];
        u64::from(team.running) * total < u64::from(self.limit) * team.weight
    }

    /// Returns how many requests in flight teams other than `name` recently had beyond their
    /// admitted ones.
    fn recently_used_by_others(&self, now: Millis, name: &TeamName) -> u64 {
        let others = self.teams.iter().filter(|(other, _)| *other != name);
        others.map(|(_, team)| u64::from(team.peak(now).saturating_sub(team.running))).sum()
    }

    fn refuse_late(&mut self, now: Millis) -> Actions {
        let mut actions = Actions::new();
        while let Some((at, key, name)) = self.expiries.first().cloned() {
            if at >= now || planted!(LateAdmission) {
                break;
            }
            self.remove_waiting(&name, key);
            let reason = RefusalReason::DeadlineUnmeetable;
            let retry_after = Some(self.mean_hold.max(MIN_RETRY_AFTER));
            actions.push(Action::Refuse(key, Denial { reason, retry_after }));
        }
        actions
    }

    /// Ends an admitted request that ran for `run_time`.
    pub(super) fn finish(&mut self, name: &TeamName, run_time: Millis) {
        self.running -= 1;
        self.mean_hold = Millis(
            (self.mean_hold.0 * HOLD_HISTORY_WEIGHT + run_time.0) / (HOLD_HISTORY_WEIGHT + 1),
        );
        if let Some(team) = self.teams.get_mut(name) {
            team.running -= 1;
        }
    }

    /// Removes the state of idle teams; while the pool has requests, a team stays as long as its
    /// finish tag is ahead of the virtual time.
    pub(super) fn remove_idle(&mut self, now: Millis) {
        let virtual_time = self.virtual_time;
        self.teams.retain(|_, team| !team.is_idle(now) || team.finish_tag > virtual_time);
        if self.running == 0 && self.queued == 0 {
            self.teams.retain(|_, team| !team.is_idle(now));
        }
    }
}

fn tag_increment(service_time: Millis, weight: u64) -> u64 {
    service_time.0.max(1) * TAG_SCALE / weight.max(1)
}
