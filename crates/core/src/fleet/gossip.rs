//! Construction of gossip for messages to other hosts, and processing of received messages.

use rand::seq::IteratorRandom as _;
use smallvec::SmallVec;

use super::messages::FleetMessage;
use super::messages::FleetReply;
use super::messages::Gossip;
use super::messages::MemberState;
use super::messages::MemberUpdate;
use super::messages::ReachabilityUpdate;
use super::messages::ShortId;
use super::node::FleetAction;
use super::node::FleetNode;
use super::servers::UpdateBatch;
use super::timing::Stamp;
use crate::clock::Millis;
use crate::name::DomainName;
use crate::name::HostName;

/// Times that one host sends the same change, per binary digit of the number of hosts of its
/// failure domain.
const SENDS_PER_DOUBLING_OF_HOSTS: u32 = 2;
/// Longest backoff between two requests for complete tables while joining.
const MAX_JOIN_DELAY: Millis = Millis(60_000);

impl FleetNode {
    pub(super) fn resend_limit(&self) -> u32 {
        let hosts = self.members.peers(&self.identity.domain, &self.identity.host).count() + 1;
        SENDS_PER_DOUBLING_OF_HOSTS * (usize::BITS - hosts.leading_zeros())
    }

    /// Returns the changes that are due for a host of the own failure domain.
    pub(super) fn local_gossip(&mut self, now: Millis) -> Gossip {
        let limit = self.resend_limit();
        let now = self.now(now);
        let batch = self.servers.take_local_batch(now.stamp, limit, &self.timing);
        let heard = self.domain_heard_at.iter().map(|(domain, at)| ReachabilityUpdate {
            domain: ShortId::of(domain.as_str()),
            age: now.stamp.age_of(*at),
        });
        let heard = heard.collect();
        self.gossip_with(now.stamp, limit, heard, batch)
    }

    /// Returns the changes that are due for a host of `remote_domain`.
    pub(super) fn cross_domain_gossip(
        &mut self,
        now: Millis,
        remote_domain: &DomainName,
    ) -> Gossip {
        let limit = self.resend_limit();
        let now = self.now(now);
        let own = &self.identity.domain;
        let batch = self.servers.take_cross_domain_batch(now, own, remote_domain, &self.timing);
        self.gossip_with(now.stamp, limit, SmallVec::new(), batch)
    }

    /// Adds the changes of entry hosts that are due to those of servers and failure domains.
    fn gossip_with(
        &mut self,
        stamp: Stamp,
        limit: u32,
        heard: SmallVec<[ReachabilityUpdate; 4]>,
        batch: UpdateBatch,
    ) -> Gossip {
        let max_members = self.timing.max_members_per_message;
        Gossip {
            stamp,
            digest: self.members.digest(),
            heard,
            members: self.members.take_least_sent(max_members, limit).into(),
            loads: batch.loads,
            details: batch.details,
            listed: batch.listed,
        }
    }

    /// Returns the changes that are due for `to`. If `to` itself is suspected or dead in the member
    /// table, its entry is included, so that it can refute that state.
    pub(super) fn gossip_for(&mut self, now: Millis, to: &HostName) -> Gossip {
        let held = self.members.get(to.as_str()).map(|member| member.update.clone());
        let remote_domain = held.as_ref().map(|held| &held.domain);
        let mut gossip = match remote_domain.filter(|domain| **domain != self.identity.domain) {
            Some(remote_domain) => self.cross_domain_gossip(now, remote_domain),
            None => self.local_gossip(now),
        };
        if let Some(held) = held.filter(|held| held.state >= MemberState::Suspect) {
            if !gossip.members.contains(&held) {
                gossip.members.push(held);
            }
        }
        gossip
    }

    /// Applies the changes that a message from `from` carried.
    pub(super) fn apply_gossip(&mut self, now: Millis, from: &HostName, gossip: Gossip) {
        let mut urgent = false;
        for update in gossip.members {
            urgent |= self.apply_member_update(now, update);
        }
        let time = self.now(now);
        for detail in &gossip.details {
            self.servers.apply_detail(gossip.stamp, detail);
        }
        for load in &gossip.loads {
            urgent |= self.servers.apply_load(time, gossip.stamp, load);
        }
        for listed in &gossip.listed {
            urgent |= self.servers.apply_listed_update(gossip.stamp, listed);
        }
        for heard in gossip.heard {
            self.apply_heard(heard.domain, gossip.stamp.before(heard.age));
        }
        if urgent {
            self.spread_urgently(now);
        }
        self.compare_digest(now, from, gossip.digest);
    }

    pub(super) fn apply_heard(&mut self, domain: ShortId, at: Stamp) {
        let known = self.members.iter().map(|member| &member.update.domain);
        let found = known.into_iter().find(|name| ShortId::of(name.as_str()) == domain).cloned();
        if let Some(name) = found.filter(|name| *name != self.identity.domain) {
            self.record_heard(name, at);
        }
    }

    pub(super) fn record_heard(&mut self, domain: DomainName, at: Stamp) {
        let held = self.domain_heard_at.entry(domain).or_insert(at);
        if at.is_after(*held) {
            *held = at;
        }
    }

    /// Requests complete tables from `from` when the digests of the member tables have differed
    /// for `mismatch_timeout`.
    pub(super) fn compare_digest(&mut self, now: Millis, from: &HostName, digest: u64) {
        let Some(member) = self.members.get(from.as_str()) else {
            return;
        };
        let domain = member.update.domain.clone();
        if digest == self.members.digest() {
            self.mismatch_since.remove(&domain);
            return;
        }
        let since = *self.mismatch_since.entry(domain).or_insert(now);
        if now.since(since) >= self.timing.mismatch_timeout {
            self.request_sync(now, from);
        }
    }

    pub(super) fn request_sync(&mut self, now: Millis, to: &HostName) {
        if self.last_sync_at.is_some_and(|at| now.since(at) < self.timing.sync_period) {
            return;
        }
        self.last_sync_at = Some(now);
        let domain = self.members.get(to.as_str()).map(|member| &member.update.domain);
        if let Some(domain) = domain {
            self.mismatch_since.remove(domain);
        }
        let message = FleetMessage::Sync {
            members: self.member_table(),
            servers: self.servers.is_incomplete(),
        };
        self.call(to, message);
    }

    /// Asks other hosts for their tables, with exponential backoff, while a declared server has no
    /// load report.
    pub(super) fn tick_join(&mut self, now: Millis) {
        if now < self.next_join_at || !self.servers.is_incomplete() {
            return;
        }
        let own = &self.identity.host;
        let local_peer = self.members.peers(&self.identity.domain, own);
        let local_peer = local_peer.map(|member| member.update.host.clone()).choose(&mut self.rng);
        let any = || self.members.iter().map(|m| &m.update.host).find(|host| *host != own).cloned();
        if let Some(host) = local_peer.or_else(any) {
            self.next_join_at = now + self.join_delay;
            self.join_delay = (self.join_delay + self.join_delay).min(MAX_JOIN_DELAY);
            self.last_sync_at = None;
            self.request_sync(now, &host);
        }
    }

    pub(super) fn member_table(&self) -> Vec<MemberUpdate> {
        self.members.iter().map(|member| member.update.clone()).collect()
    }

    pub(super) fn all_server_updates(&self, now: Millis) -> Gossip {
        let stamp = self.now(now).stamp;
        let batch = self.servers.all_updates(stamp);
        Gossip {
            stamp,
            loads: batch.loads,
            details: batch.details,
            listed: batch.listed,
            ..Gossip::default()
        }
    }

    /// Sends changes to a few hosts immediately; these forward what is urgent and new to them.
    pub(super) fn spread_urgently(&mut self, now: Millis) {
        self.expedite_cross_domain_probes(now);
        let peers = self.members.peers(&self.identity.domain, &self.identity.host);
        let names = peers.map(|member| member.update.host.clone());
        for host in names.choose_multiple(&mut self.rng, self.timing.rumor_fanout) {
            let gossip = self.local_gossip(now);
            self.call(&host, FleetMessage::Rumor(gossip));
        }
    }

    pub(super) fn on_request(&mut self, now: Millis, from: &HostName, message: FleetMessage) {
        let reply = match message {
            FleetMessage::Probe(gossip) => {
                self.apply_gossip(now, from, gossip);
                FleetReply::Ack(self.gossip_for(now, from))
            }
            FleetMessage::Rumor(gossip) => {
                self.apply_gossip(now, from, gossip);
                FleetReply::Noted
            }
            FleetMessage::ProbeFor(target) => {
                self.relay_probe(now, from, &target);
                FleetReply::Noted
            }
            FleetMessage::Reached(target) => {
                self.probes.mark_answered(&target);
                FleetReply::Noted
            }
            FleetMessage::Sync { members, servers } => {
                for update in members {
                    self.apply_member_update(now, update);
                }
                let servers =
                    if servers { self.all_server_updates(now) } else { Gossip::default() };
                FleetReply::Tables { members: self.member_table(), servers }
            }
        };
        self.actions.push(FleetAction::Reply(reply));
    }

    pub(super) fn on_reply(&mut self, now: Millis, from: &HostName, reply: FleetReply) {
        let domain = self.members.get(from.as_str()).map(|member| member.update.domain.clone());
        if let Some(domain) = domain.filter(|domain| *domain != self.identity.domain) {
            if !self.is_reachable(now, &domain) {
                self.last_sync_at = None;
                self.request_sync(now, from);
            }
            let stamp = self.now(now).stamp;
            self.record_heard(domain, stamp);
        }
        self.on_answer(from);
        match reply {
            FleetReply::Ack(gossip) => self.apply_gossip(now, from, gossip),
            FleetReply::Noted => {}
            FleetReply::Tables { members, servers } => {
                for update in members {
                    self.apply_member_update(now, update);
                }
                let digest = self.members.digest();
                self.apply_gossip(now, from, Gossip { digest, ..servers });
            }
        }
    }
}
