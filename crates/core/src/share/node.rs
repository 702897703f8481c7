//! One host's use of its shares.

use std::collections::BTreeMap;
use std::collections::HashMap;

use super::home::Homes;
use super::messages::Demand;
use super::messages::Grant;
use super::messages::MilliRate;
use super::messages::ShareMessage;
use super::messages::ShareReply;
use super::messages::TeamId;
use super::Cluster;
use crate::clock::Millis;
use crate::digest::rendezvous;
use crate::name::HostName;

/// Time between two reports of demand.
const REPORT_PERIOD: Millis = Millis(1_000);
/// Time after which a share that was not renewed begins to decay.
const GRANT_TTL: Millis = Millis(3_000);
/// Time in which a share decays to the even split.
const DECAY: Millis = Millis(5_000);
/// Time after which a team without requests is forgotten.
const IDLE: Millis = Millis(10_000);
/// Largest burst, as the time in which it is earned.
const BURST: Millis = Millis(1_000);
/// Thousandths of a request.
const MILLI: u64 = 1_000;
/// Thousandths of a thousandth of a request, the unit of the tokens.
const MICRO: u64 = 1_000_000;

/// A limited team that is active on this host.
#[derive(Clone, Debug)]
struct Team {
    limit: MilliRate,
    share: MilliRate,
    granted_at: Option<Millis>,
    /// Tokens in millionths of a request.
    tokens: u64,
    filled_at: Millis,
    offered: u64,
    rate: MilliRate,
    active_at: Millis,
}

impl Team {
    /// Returns the rate at which this host admits now.
    fn current(&self, now: Millis, cluster: &Cluster) -> MilliRate {
        let even = cluster.even(self.limit);
        let Some(granted_at) = self.granted_at else {
            return even;
        };
        let late = now.since(granted_at + GRANT_TTL).0.min(DECAY.0);
        let kept = self.share.0 * (DECAY.0 - late) + even.0 * late;
        MilliRate(kept / DECAY.0)
    }

    fn fill(&mut self, now: Millis, cluster: &Cluster) {
        let rate = self.current(now, cluster);
        let burst = (rate.0 * BURST.0).max(MICRO);
        let earned = rate.0 * now.since(self.filled_at).0;
        self.tokens = (self.tokens + earned).min(burst);
        self.filled_at = now;
    }
}

/// Shares of one host, and the teams that it is the home of.
#[derive(Clone, Debug)]
pub struct ShareNode {
    own: HostName,
    cluster: Cluster,
    teams: HashMap<TeamId, Team>,
    homes: Homes,
    report_at: Millis,
    reported_at: Millis,
}

impl ShareNode {
    /// Creates the shares of a host on which no team is active.
    pub fn new(own: HostName, now: Millis) -> Self {
        let cluster = Cluster { reachable: vec![own.clone()], known_count: 1 };
        Self {
            own,
            cluster,
            teams: HashMap::new(),
            homes: Homes::default(),
            report_at: now,
            reported_at: now,
        }
    }

    /// Takes the entry hosts as they are seen now.
    pub fn set_cluster(&mut self, cluster: Cluster) {
        self.cluster = cluster;
    }

    /// Counts a request of a team with a limit; returns whether it is within this host's share.
    pub fn try_admit(&mut self, now: Millis, team: TeamId, limit: MilliRate) -> bool {
        let cluster = &self.cluster;
        let team = self.teams.entry(team).or_insert_with(|| Team {
            limit,
            share: MilliRate::default(),
            granted_at: None,
            tokens: MICRO,
            filled_at: now,
            offered: 0,
            rate: MilliRate::default(),
            active_at: now,
        });
        team.limit = limit;
        team.active_at = now;
        team.offered += 1;
        team.fill(now, cluster);
        let admitted = team.tokens >= MICRO;
        if admitted {
            team.tokens -= MICRO;
        }
        admitted
    }

    /// Returns the time after which a refused request of a team is likely to be admitted.
    pub fn retry_after(&self, now: Millis, team: TeamId) -> Millis {
        let Some(team) = self.teams.get(&team) else {
            return Millis::ZERO;
        };
        let missing = MICRO.saturating_sub(team.tokens);
        Millis(missing.div_ceil(team.current(now, &self.cluster).0.max(1)))
    }

    /// Returns the reports that are due, at most one for each home.
    pub fn on_tick(&mut self, now: Millis) -> Vec<(HostName, ShareMessage)> {
        if now < self.report_at {
            return Vec::new();
        }
        let span = now.since(self.reported_at).0.max(1);
        self.report_at = now + REPORT_PERIOD;
        self.reported_at = now;
        self.homes.expire(now);
        self.teams.retain(|_, team| now.since(team.active_at) < IDLE);
        let mut reports: BTreeMap<HostName, Vec<Demand>> = BTreeMap::new();
        let reachable = &self.cluster.reachable;
        for (id, team) in &mut self.teams {
            let seen = team.offered * MILLI * MILLI / span;
            team.rate = MilliRate((team.rate.0 + seen) / 2);
            team.offered = 0;
            let Some(home) = rendezvous(id.0, reachable.iter().map(HostName::as_str)) else {
                continue;
            };
            let demand = Demand { team: *id, limit: team.limit, offered: team.rate };
            reports.entry(HostName::new(home)).or_default().push(demand);
        }
        if let Some(own) = reports.remove(&self.own) {
            let from = self.own.clone();
            let ShareReply::Grants(grants) = self.report(now, &from, &own);
            self.take_grants(now, &grants);
        }
        reports.into_iter().map(|(home, list)| (home, ShareMessage::Report(list))).collect()
    }

    /// Answers another host as the home of teams.
    pub fn on_request(
        &mut self,
        now: Millis,
        from: &HostName,
        message: &ShareMessage,
    ) -> ShareReply {
        match message {
            ShareMessage::Report(demands) => self.report(now, from, demands),
        }
    }

    fn report(&mut self, now: Millis, from: &HostName, demands: &[Demand]) -> ShareReply {
        let cluster = &self.cluster;
        let homes = &mut self.homes;
        let grants = demands.iter().filter_map(|demand| homes.grant(now, from, demand, cluster));
        ShareReply::Grants(grants.collect())
    }

    /// Takes the answer of a home.
    pub fn on_reply(&mut self, now: Millis, reply: &ShareReply) {
        match reply {
            ShareReply::Grants(grants) => self.take_grants(now, grants),
        }
    }

    fn take_grants(&mut self, now: Millis, grants: &[Grant]) {
        for grant in grants {
            let cluster = &self.cluster;
            if let Some(team) = self.teams.get_mut(&grant.team) {
                team.fill(now, cluster);
                team.share = grant.share.min(team.limit);
                team.granted_at = Some(now);
            }
        }
    }

    /// Returns the number of teams that are active on this host, and of those it is the home of.
    pub fn team_counts(&self) -> (usize, usize) {
        (self.teams.len(), self.homes.len())
    }
}
