//! Probes of hosts of the own failure domain, directly and through others.

use rand::seq::IteratorRandom as _;
use rand::seq::SliceRandom as _;

use super::messages::FleetMessage;
use super::messages::MemberState;
use super::messages::MemberUpdate;
use super::node::FleetNode;
use crate::clock::Millis;
use crate::name::HostName;

/// Most probes on behalf of others at a time.
const MAX_RELAYS: usize = 64;
/// Probes of living hosts for each one of a dead host, which may have come back.
const PROBES_PER_DEAD: u32 = 8;

#[derive(Debug)]
struct Probe {
    target: HostName,
    started: Millis,
    indirect: bool,
    answered: bool,
}

/// A probe on behalf of another host.
#[derive(Debug)]
struct Relay {
    requester: HostName,
    target: HostName,
    expires: Millis,
}

/// The probe under way, and the order of the next ones.
#[derive(Debug, Default)]
pub(super) struct Probes {
    current: Option<Probe>,
    order: Vec<HostName>,
    next_at: Millis,
    count: u32,
    relays: Vec<Relay>,
}

impl Probes {
    /// Drops the probe under way without a conclusion.
    pub(super) fn abandon(&mut self) {
        self.current = None;
    }

    /// Notes that another host reached the target of the probe under way.
    pub(super) fn reached(&mut self, target: &HostName) {
        if let Some(probe) = self.current.as_mut().filter(|probe| probe.target == *target) {
            probe.answered = true;
        }
    }
}

impl FleetNode {
    pub(super) fn tick_probes(&mut self, now: Millis) {
        self.probes.relays.retain(|relay| now < relay.expires);
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

    /// Repeats an unanswered probe through others, then suspects its target.
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
            self.ask_others(&target);
        }
    }

    fn ask_others(&mut self, target: &HostName) {
        let peers = self.members.peers(&self.identity.domain, &self.identity.host);
        let others = peers.map(|member| &member.update.host).filter(|host| *host != target);
        let chosen: Vec<HostName> =
            others.cloned().choose_multiple(&mut self.rng, self.timing.indirect_probes);
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
            self.take_member(now, MemberUpdate { state, ..member.update.clone() });
            // The target may only have been slow: it is told, so that it can refute.
            let gossip = self.gossip_for(now, target);
            self.call(target, FleetMessage::Rumor(gossip));
        }
    }

    /// Returns the next host to probe: each once, in random order, before any again.
    fn next_target(&mut self) -> Option<HostName> {
        let own = &self.identity.host;
        self.probes.count += 1;
        if self.probes.count.is_multiple_of(PROBES_PER_DEAD) {
            let dead = self.members.iter().map(|member| &member.update).filter(|update| {
                update.state == MemberState::Dead && update.domain == self.identity.domain
            });
            if let Some(update) = dead.choose(&mut self.rng) {
                return Some(update.host.clone());
            }
        }
        while let Some(host) = self.probes.order.pop() {
            let member = self.members.get(host.as_str());
            if member.is_some_and(|member| member.update.state != MemberState::Dead) {
                return Some(host);
            }
        }
        let peers = self.members.peers(&self.identity.domain, own);
        self.probes.order = peers.map(|member| member.update.host.clone()).collect();
        self.probes.order.shuffle(&mut self.rng);
        self.probes.order.pop()
    }

    pub(super) fn probe_for(&mut self, now: Millis, from: &HostName, target: &HostName) {
        if self.probes.relays.len() >= MAX_RELAYS || self.members.get(target.as_str()).is_none() {
            return;
        }
        let expires = now + self.timing.probe_timeout;
        self.probes.relays.push(Relay { requester: from.clone(), target: target.clone(), expires });
        let gossip = self.gossip(now);
        self.call(target, FleetMessage::Probe(gossip));
    }

    /// Notes an answer, and tells hosts that asked for it.
    pub(super) fn on_alive(&mut self, host: &HostName) {
        self.probes.reached(host);
        let mut told = Vec::new();
        self.probes.relays.retain(|relay| {
            let matches = relay.target == *host;
            if matches {
                told.push(relay.requester.clone());
            }
            !matches
        });
        for requester in told {
            self.call(&requester, FleetMessage::Reached(host.clone()));
        }
    }
}
