//! Probes of hosts of the own failure domain, directly and through other hosts.

use rand::seq::IteratorRandom as _;
use rand::seq::SliceRandom as _;

use super::messages::FleetMessage;
use super::messages::MemberState;
use super::messages::MemberUpdate;
use super::node::FleetNode;
use crate::clock::Millis;
use crate::name::HostName;

/// Most probes in progress on behalf of other hosts.
const MAX_RELAYED_PROBES: usize = 64;
/// One in this many probes goes to a dead host, because it may have come back.
const DEAD_HOST_PROBE_INTERVAL: u32 = 8;

#[derive(Debug)]
struct Probe {
    target: HostName,
    started: Millis,
    indirect: bool,
    answered: bool,
}

/// A probe on behalf of another host.
#[derive(Debug)]
struct RelayedProbe {
    requester: HostName,
    target: HostName,
    expires: Millis,
}

/// The probe in progress, the targets of the next ones, and probes on behalf of other hosts.
#[derive(Debug, Default)]
pub(super) struct Probes {
    current: Option<Probe>,
    pending_targets: Vec<HostName>,
    next_at: Millis,
    probe_count: u32,
    relayed: Vec<RelayedProbe>,
}

impl Probes {
    /// Cancels the probe in progress without suspecting its target.
    pub(super) fn cancel_current(&mut self) {
        self.current = None;
    }

    /// Marks the probe in progress as answered if `target` is its target.
    pub(super) fn mark_answered(&mut self, target: &HostName) {
        if let Some(probe) = self.current.as_mut().filter(|probe| probe.target == *target) {
            probe.answered = true;
        }
    }
}

impl FleetNode {
    pub(super) fn tick_probes(&mut self, now: Millis) {
        self.probes.relayed.retain(|probe| now < probe.expires);
        self.check_probe(now);
        if now < self.probes.next_at {
            return;
        }
        self.probes.next_at = now + self.timing.probe_period;
        if let Some(target) = self.next_target() {
            let gossip = self.gossip_for(now, &target);
            self.call(&target, FleetMessage::Probe(gossip));
            self.probes.current =
                Some(Probe { target, started: now, indirect: false, answered: false });
        }
    }

    /// Repeats a probe through other hosts after the direct timeout, and suspects its target
    /// after the probe timeout.
    fn check_probe(&mut self, now: Millis) {
        let Some(probe) = self.probes.current.as_mut() else {
            return;
        };
        if probe.answered {
            self.probes.current = None;
            return;
        }
        let age = now.since(probe.started);
        let target = probe.target.clone();
        if age >= self.timing.probe_timeout {
            self.probes.current = None;
            self.suspect(now, &target);
        } else if age >= self.timing.direct_probe_timeout && !probe.indirect {
            probe.indirect = true;
            self.request_indirect_probes(&target);
        }
    }

    fn request_indirect_probes(&mut self, target: &HostName) {
        let peers = self.members.peers(&self.identity.domain, &self.identity.host);
        let candidates = peers.map(|member| &member.update.host).filter(|host| *host != target);
        let chosen: Vec<HostName> =
            candidates.cloned().choose_multiple(&mut self.rng, self.timing.indirect_probes);
        for host in chosen {
            self.call(&host, FleetMessage::ProbeFor(target.clone()));
        }
    }

    fn suspect(&mut self, now: Millis, target: &HostName) {
        let Some(member) = self.members.get(target.as_str()) else {
            return;
        };
        if member.update.state < MemberState::Suspect {
            let state = MemberState::Suspect;
            self.apply_member_update(now, MemberUpdate { state, ..member.update.clone() });
            // A target that was only slow learns of the suspicion and can refute it.
            let gossip = self.gossip_for(now, target);
            self.call(target, FleetMessage::Rumor(gossip));
        }
    }

    /// Returns the next host to probe; every host gets its turn, in random order, before any host
    /// is probed again.
    fn next_target(&mut self) -> Option<HostName> {
        let own = &self.identity.host;
        self.probes.probe_count += 1;
        if self.probes.probe_count.is_multiple_of(DEAD_HOST_PROBE_INTERVAL) {
            let dead = self.members.iter().map(|member| &member.update).filter(|update| {
                update.state == MemberState::Dead && update.domain == self.identity.domain
            });
            if let Some(update) = dead.choose(&mut self.rng) {
                return Some(update.host.clone());
            }
        }
        while let Some(host) = self.probes.pending_targets.pop() {
            let member = self.members.get(host.as_str());
            if member.is_some_and(|member| member.update.state != MemberState::Dead) {
                return Some(host);
            }
        }
        let peers = self.members.peers(&self.identity.domain, own);
        self.probes.pending_targets = peers.map(|member| member.update.host.clone()).collect();
        self.probes.pending_targets.shuffle(&mut self.rng);
        self.probes.pending_targets.pop()
    }

    pub(super) fn relay_probe(&mut self, now: Millis, from: &HostName, target: &HostName) {
        if self.probes.relayed.len() >= MAX_RELAYED_PROBES
            || self.members.get(target.as_str()).is_none()
        {
            return;
        }
        let expires = now + self.timing.probe_timeout;
        self.probes.relayed.push(RelayedProbe {
            requester: from.clone(),
            target: target.clone(),
            expires,
        });
        let gossip = self.local_gossip(now);
        self.call(target, FleetMessage::Probe(gossip));
    }

    /// Records an answer of `host` and reports it to the hosts that asked for a probe of it.
    pub(super) fn on_answer(&mut self, host: &HostName) {
        self.probes.mark_answered(host);
        let mut requesters = Vec::new();
        self.probes.relayed.retain(|probe| {
            let matches = probe.target == *host;
            if matches {
                requesters.push(probe.requester.clone());
            }
            !matches
        });
        for requester in requesters {
            self.call(&requester, FleetMessage::Reached(host.clone()));
        }
    }
}
