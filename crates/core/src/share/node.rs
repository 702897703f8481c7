//! Admission of requests within this host's shares of team limits, and reports of demand.

use std::collections::BTreeMap;
use std::collections::HashMap;

use super::home::HomeTeams;
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
/// Time after its last grant from which a share decays.
const GRANT_TTL: Millis = Millis(3_000);
/// Time in which a share decays linearly to the even split.
const SHARE_DECAY_TIME: Millis = Millis(5_000);
/// Time without requests after which a team is removed.
const TEAM_IDLE_TTL: Millis = Millis(10_000);
/// Largest burst, as the time in which the bucket earns that many tokens.
const BURST_WINDOW: Millis = Millis(1_000);
/// Thousandths of a request in one request, and milliseconds in a second.
const MILLI: u64 = 1_000;
/// Millionths of a request, the unit of the tokens, in one request. A rate in thousandths of a
/// request a second, times a time in ms, gives this unit.
const MICRO_PER_REQUEST: u64 = 1_000_000;

/// A team with a request limit that recently sent requests to this host.
#[derive(Clone, Debug)]
struct ActiveTeam {
    limit: MilliRate,
    share: MilliRate,
    /// When the home last granted the share, if ever.
    granted_at: Option<Millis>,
    /// Token bucket, in millionths of a request.
    microtokens: u64,
    refilled_at: Millis,
    /// Requests since the last report, refused ones included.
    offered_count: u64,
    /// Moving average of the rate of those requests.
    offered_rate: MilliRate,
    active_at: Millis,
}

impl ActiveTeam {
    /// Returns the rate at which this host admits the team's requests now.
    fn current_rate(&self, now: Millis, cluster: &Cluster) -> MilliRate {
        let even = cluster.even_split(self.limit);
        let Some(granted_at) = self.granted_at else {
            return even;
        };
        let overdue = now.since(granted_at + GRANT_TTL).0.min(SHARE_DECAY_TIME.0);
        let kept = self.share.0 * (SHARE_DECAY_TIME.0 - overdue) + even.0 * overdue;
        MilliRate(kept / SHARE_DECAY_TIME.0)
    }

    fn refill(&mut self, now: Millis, cluster: &Cluster) {
        let rate = self.current_rate(now, cluster);
        let burst = (rate.0 * BURST_WINDOW.0).max(MICRO_PER_REQUEST);
        let earned = rate.0 * now.since(self.refilled_at).0;
        self.microtokens = (self.microtokens + earned).min(burst);
        self.refilled_at = now;
    }
}

/// The shares of one host, and the demand for the teams that it is the home of.
#[derive(Clone, Debug)]
pub struct ShareNode {
    own_host: HostName,
    cluster: Cluster,
    teams: HashMap<TeamId, ActiveTeam>,
    home_teams: HomeTeams,
    next_report_at: Millis,
    last_report_at: Millis,
}

impl ShareNode {
    /// Creates the state of a host on which no team is active.
    pub fn new(own_host: HostName, now: Millis) -> Self {
        let cluster = Cluster { reachable: vec![own_host.clone()], known_count: 1 };
        Self {
            own_host,
            cluster,
            teams: HashMap::new(),
            home_teams: HomeTeams::default(),
            next_report_at: now,
            last_report_at: now,
        }
    }

    /// Replaces the set of entry hosts that this host knows.
    pub fn set_cluster(&mut self, cluster: Cluster) {
        self.cluster = cluster;
    }

    /// Counts a request of a team with a request limit, and returns whether it is admitted within
    /// this host's share.
    pub fn try_admit(&mut self, now: Millis, team: TeamId, limit: MilliRate) -> bool {
        let cluster = &self.cluster;
        let team = self.teams.entry(team).or_insert_with(|| ActiveTeam {
            limit,
            share: MilliRate::default(),
            granted_at: None,
            microtokens: MICRO_PER_REQUEST,
            refilled_at: now,
            offered_count: 0,
            offered_rate: MilliRate::default(),
            active_at: now,
        });
        team.limit = limit;
        team.active_at = now;
        team.offered_count += 1;
        team.refill(now, cluster);
        let admitted = team.microtokens >= MICRO_PER_REQUEST;
        if admitted {
            team.microtokens -= MICRO_PER_REQUEST;
        }
        admitted
    }

    /// Returns the time in ms after which a refused request of a team is likely to be admitted.
    pub fn retry_after(&self, now: Millis, team: TeamId) -> Millis {
        let Some(team) = self.teams.get(&team) else {
            return Millis::ZERO;
        };
        let missing = MICRO_PER_REQUEST.saturating_sub(team.microtokens);
        Millis(missing.div_ceil(team.current_rate(now, &self.cluster).0.max(1)))
    }

    /// Returns the reports of demand that are due, at most one for each home.
    ///
    /// Teams whose home is this host get their shares at once.
    pub fn on_tick(&mut self, now: Millis) -> Vec<(HostName, ShareMessage)> {
        if now < self.next_report_at {
            return Vec::new();
        }
        let span = now.since(self.last_report_at).0.max(1);
        self.next_report_at = now + REPORT_PERIOD;
        self.last_report_at = now;
        self.home_teams.expire(now);
        self.teams.retain(|_, team| now.since(team.active_at) < TEAM_IDLE_TTL);
        let mut reports: BTreeMap<HostName, Vec<Demand>> = BTreeMap::new();
        let reachable = &self.cluster.reachable;
        for (id, team) in &mut self.teams {
            let seen = team.offered_count * MILLI * MILLI / span;
            team.offered_rate = MilliRate((team.offered_rate.0 + seen) / 2);
            team.offered_count = 0;
            let Some(home) = rendezvous(id.0, reachable.iter().map(HostName::as_str)) else {
                continue;
            };
            let demand = Demand { team: *id, limit: team.limit, offered: team.offered_rate };
            reports.entry(HostName::new(home)).or_default().push(demand);
        }
        if let Some(own) = reports.remove(&self.own_host) {
            let from = self.own_host.clone();
            let ShareReply::Grants(grants) = self.grant_shares(now, &from, &own);
            self.apply_grants(now, &grants);
        }
        reports.into_iter().map(|(home, list)| (home, ShareMessage::Report(list))).collect()
    }

    /// Processes a request of another host as the home of its teams, and returns the reply.
    pub fn on_request(
        &mut self,
        now: Millis,
        from: &HostName,
        message: &ShareMessage,
    ) -> ShareReply {
        match message {
            ShareMessage::Report(demands) => self.grant_shares(now, from, demands),
        }
    }

    fn grant_shares(&mut self, now: Millis, from: &HostName, demands: &[Demand]) -> ShareReply {
        let cluster = &self.cluster;
        let home_teams = &mut self.home_teams;
        let grants =
            demands.iter().filter_map(|demand| home_teams.grant(now, from, demand, cluster));
        ShareReply::Grants(grants.collect())
    }

    /// Processes the reply of a home to a report.
    pub fn on_reply(&mut self, now: Millis, reply: &ShareReply) {
        match reply {
            ShareReply::Grants(grants) => self.apply_grants(now, grants),
        }
    }

    fn apply_grants(&mut self, now: Millis, grants: &[Grant]) {
        for grant in grants {
            let cluster = &self.cluster;
            if let Some(team) = self.teams.get_mut(&grant.team) {
                team.refill(now, cluster);
                team.share = grant.share.min(team.limit);
                team.granted_at = Some(now);
            }
        }
    }

    /// Returns the number of teams that are active on this host, and the number of teams that it is
    /// the home of.
    pub fn team_counts(&self) -> (usize, usize) {
        (self.teams.len(), self.home_teams.len())
    }
}
