//! The home's side: grants shares of team limits according to demand.

use std::collections::BTreeMap;
use std::collections::HashMap;

use super::messages::Demand;
use super::messages::Grant;
use super::messages::MilliRate;
use super::messages::TeamId;
use super::Cluster;
use crate::clock::Millis;
use crate::name::HostName;

/// Time after which a host's last report of demand expires.
const DEMAND_TTL: Millis = Millis(3_000);
/// Most hosts whose demand for one team is kept.
const MAX_HOSTS_PER_TEAM: usize = 1_024;
/// Most teams that one home serves.
const MAX_TEAMS: usize = 65_536;
/// Demand with headroom, in percent of the reported demand, so that growth is not refused at once.
const HEADROOM_PERCENT: u64 = 125;

/// The demand of all hosts for one team.
#[derive(Clone, Debug, Default)]
struct TeamDemand {
    /// Last reported rate of each host, with the time of the report.
    demand_by_host: BTreeMap<HostName, (MilliRate, Millis)>,
}

/// The teams that this host is the home of.
#[derive(Clone, Debug, Default)]
pub(super) struct HomeTeams {
    teams: HashMap<TeamId, TeamDemand>,
}

impl HomeTeams {
    pub(super) fn len(&self) -> usize {
        self.teams.len()
    }

    /// Removes hosts that stopped reporting, and teams without hosts.
    pub(super) fn expire(&mut self, now: Millis) {
        for team in self.teams.values_mut() {
            team.demand_by_host.retain(|_, (_, at)| now.since(*at) < DEMAND_TTL);
        }
        self.teams.retain(|_, team| !team.demand_by_host.is_empty());
    }

    /// Records a host's demand and returns its share; `None` if the team or the host exceeds the
    /// number that a home serves.
    pub(super) fn grant(
        &mut self,
        now: Millis,
        from: &HostName,
        demand: &Demand,
        cluster: &Cluster,
    ) -> Option<Grant> {
        if self.teams.len() >= MAX_TEAMS && !self.teams.contains_key(&demand.team) {
            return None;
        }
        let team = self.teams.entry(demand.team).or_default();
        team.demand_by_host.retain(|_, (_, at)| now.since(*at) < DEMAND_TTL);
        if team.demand_by_host.len() >= MAX_HOSTS_PER_TEAM
            && !team.demand_by_host.contains_key(from)
        {
            return None;
        }
        team.demand_by_host.insert(from.clone(), (demand.offered, now));
        let limit = cluster.grantable(demand.limit);
        let wanted = team.demand_by_host.values().map(|(offered, _)| *offered);
        let share = fair_share(limit, wanted, demand.offered);
        Some(Grant { team: demand.team, share })
    }
}

/// Returns the max-min fair share of a host with the demand `own`, out of the demands `wanted` of
/// all hosts.
///
/// Headroom is added to each demand. If the demands exceed the limit, the host gets its demand or
/// an equal part of what smaller demands leave, whichever is less; else it gets its demand and an
/// equal part of what remains.
fn fair_share(
    limit: MilliRate,
    wanted: impl Iterator<Item = MilliRate>,
    own: MilliRate,
) -> MilliRate {
    let with_headroom = |rate: MilliRate| rate.0 * HEADROOM_PERCENT / 100;
    let mut wants: Vec<u64> = wanted.map(with_headroom).collect();
    wants.sort_unstable();
    let own = with_headroom(own);
    let hosts = wants.len() as u64;
    let mut limit_left = limit.0;
    let mut hosts_left = hosts;
    for want in wants {
        let part = limit_left / hosts_left;
        if want >= part {
            return MilliRate(own.min(part));
        }
        limit_left -= want;
        hosts_left -= 1;
    }
    MilliRate(own + limit_left / hosts.max(1))
}
