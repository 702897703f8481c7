//! Tasks that rendezvous hashing assigns to a few hosts of a failure domain: observing backend
//! servers, reading the host list and probing other failure domains.

use std::collections::BTreeMap;

use rand::seq::IteratorRandom as _;
use rand::Rng as _;

use super::messages::FleetMessage;
use super::messages::MemberState;
use super::messages::MemberUpdate;
use super::messages::ShortId;
use super::node::FleetAction;
use super::node::FleetNode;
use super::servers::DeclaredServer;
use crate::clock::Millis;
use crate::digest::fast_hash;
use crate::digest::rendezvous_weight;
use crate::engine::HostKind;
use crate::engine::HostList;
use crate::engine::LoadReport;
use crate::ids::Incarnation;
use crate::name::DomainName;
use crate::name::HostName;
use crate::name::ServerName;

/// Number of hosts that observe one backend server.
const OBSERVERS_PER_SERVER: usize = 2;
/// Number of hosts of a failure domain that probe one other failure domain.
const PROBERS_PER_DOMAIN: usize = 2;
/// Number of hosts of a failure domain that read the host list in one period.
const HOST_LIST_READERS: usize = 2;

impl FleetNode {
    /// Returns whether this host is among the `count` hosts of its failure domain that the task
    /// `key` is assigned to.
    pub(super) fn is_assigned(&self, key: u64, count: usize) -> bool {
        let own = rendezvous_weight(key, self.identity.host.as_str());
        let peers = self.members.peers(&self.identity.domain, &self.identity.host);
        let alive_peers = peers.filter(|member| member.update.state == MemberState::Alive);
        let ahead = alive_peers
            .filter(|member| rendezvous_weight(key, member.update.host.as_str()) > own)
            .count();
        ahead < count
    }

    /// Returns whether this host observes `server`, which belongs to `domain`.
    ///
    /// Two hosts of the server's own failure domain observe it, or two of all hosts when that
    /// domain has no live host. A host that has just started may not know the hosts of other
    /// domains yet and waits for the domain timeout.
    fn is_observer(&self, now: Millis, server: &ServerName, domain: &DomainName) -> bool {
        let key = fast_hash(server.as_str().as_bytes());
        if *domain == self.identity.domain {
            return self.is_assigned(key, OBSERVERS_PER_SERVER);
        }
        if now < self.started_at + self.timing.domain_timeout {
            return false;
        }
        let alive = || self.members.iter().filter(|m| m.update.state == MemberState::Alive);
        if alive().any(|member| member.update.domain == *domain) {
            return false;
        }
        let own = rendezvous_weight(key, self.identity.host.as_str());
        let others = alive().filter(|member| member.update.host != self.identity.host);
        let weights = others.map(|member| rendezvous_weight(key, member.update.host.as_str()));
        weights.filter(|weight| *weight > own).count() < OBSERVERS_PER_SERVER
    }

    pub(super) fn tick_observations(&mut self, now: Millis) {
        if now < self.next_observation_at {
            return;
        }
        let candidates: Vec<_> = self
            .servers
            .iter()
            .filter(|(name, record)| self.is_observer(now, name, &record.domain))
            .map(|(name, _)| name.clone())
            .collect();
        let mut chosen = BTreeMap::new();
        for name in candidates {
            let period = self.timing.observe_period.0;
            let first = || now + Millis(self.rng.random_range(0..=period / 4));
            let mut at = self.observation_times.get(&name).copied().unwrap_or_else(first);
            if now >= at {
                self.actions.push(FleetAction::Observe(name.clone()));
                at = now + self.timing.observe_period;
            }
            chosen.insert(name, at);
        }
        let latest = now + self.timing.observe_period;
        self.next_observation_at = chosen.values().copied().min().unwrap_or(latest).min(latest);
        self.observation_times = chosen;
    }

    pub(super) fn tick_host_list(&mut self, now: Millis) {
        let period_index = (now + self.stamp_offset).0 / self.timing.host_list_period.0;
        if period_index == self.list_period_index {
            return;
        }
        self.list_period_index = period_index;
        if self.is_assigned(fast_hash(&period_index.to_le_bytes()), HOST_LIST_READERS) {
            self.actions.push(FleetAction::ReadHostList);
        }
    }

    /// Probes one host of each other failure domain that is assigned to this host.
    pub(super) fn tick_cross_domain_probes(&mut self, now: Millis) {
        if now < self.next_cross_domain_probe_at {
            return;
        }
        self.next_cross_domain_probe_at = now + self.timing.cross_domain_probe_period;
        let mut domains: Vec<_> =
            self.members.iter().map(|member| member.update.domain.clone()).collect();
        domains.sort();
        domains.dedup();
        domains.retain(|domain| *domain != self.identity.domain);
        for domain in domains {
            if !self.is_assigned(fast_hash(domain.as_str().as_bytes()), PROBERS_PER_DOMAIN) {
                continue;
            }
            if !self.is_reachable(now, &domain) {
                self.servers.reset_cross_domain_sends(&domain);
            }
            if let Some(host) = self.next_cross_domain_target(&domain) {
                let gossip = self.gossip_for(now, &host);
                self.call(&host, FleetMessage::Probe(gossip));
            }
        }
    }

    /// Returns a host of another failure domain to probe.
    ///
    /// Every other probe goes to a host that is not known to be dead, so that a domain with few
    /// live hosts is not taken for unreachable. The probes between go to any host, because a dead
    /// one may have come back.
    fn next_cross_domain_target(&mut self, domain: &DomainName) -> Option<HostName> {
        self.cross_domain_probe_count = self.cross_domain_probe_count.wrapping_add(1);
        let include_dead = self.cross_domain_probe_count.is_multiple_of(2);
        let in_domain = || self.members.iter().filter(|member| member.update.domain == *domain);
        let candidates =
            in_domain().filter(|member| include_dead || member.update.state != MemberState::Dead);
        let chosen = candidates.choose(&mut self.rng).or_else(|| in_domain().next());
        chosen.map(|member| member.update.host.clone())
    }

    /// Moves the next probe of other failure domains forward to within `cross_domain_urgent_delay`.
    pub(super) fn expedite_cross_domain_probes(&mut self, now: Millis) {
        self.next_cross_domain_probe_at =
            self.next_cross_domain_probe_at.min(now + self.timing.cross_domain_urgent_delay);
    }

    pub(super) fn on_observed(
        &mut self,
        now: Millis,
        server: &ServerName,
        report: Option<LoadReport>,
    ) {
        let time = self.now(now);
        let is_first = self.servers.get(server).is_some_and(|record| record.report.is_none());
        if self.servers.observe(time, server, report, &self.timing) {
            self.spread_urgently(now);
        } else if is_first {
            self.expedite_cross_domain_probes(now);
        }
    }

    /// Adds unknown entry hosts from the host list as suspected, and records which hosts and
    /// servers are leaving.
    pub(super) fn on_host_list(&mut self, now: Millis, list: &HostList) {
        let stamp = self.now(now).stamp;
        let mut urgent = false;
        for listed in &list.hosts {
            let id = ShortId::of(&listed.name);
            urgent |= self.servers.apply_listed(id, listed.leaving, stamp);
            let is_new = listed.kind == HostKind::Entry
                && listed.name != self.identity.host.as_str()
                && self.members.get(&listed.name).is_none();
            let Some(address) = listed.address.parse().ok().filter(|_| is_new) else {
                continue;
            };
            let update = MemberUpdate {
                host: HostName::new(&listed.name),
                domain: listed.domain.clone(),
                address,
                incarnation: Incarnation(0),
                round: 0,
                state: MemberState::Suspect,
            };
            self.members.apply(now, update);
        }
        if urgent {
            self.spread_urgently(now);
        }
    }

    pub(super) fn on_declared(&mut self, now: Millis, declared: &[DeclaredServer]) {
        if self.servers.declare(declared) {
            self.next_join_at = now;
            self.join_delay = self.timing.sync_period;
        }
        self.next_observation_at = now;
    }
}
