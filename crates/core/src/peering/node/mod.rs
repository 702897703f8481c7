//! The part of one host in the exchange: whom it knows, which hosts it reports to, and what it
//! sends on as an aggregator.

mod aggregate;
mod alive;
mod known;
mod receive;
mod sources;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddrV4;

use crate::catch_up::Waits;
use crate::clock::Millis;
use crate::defect::planted;
use crate::name::DomainName;
use crate::peering::messages::Content;
use crate::peering::messages::Message;
use crate::peering::messages::Outgoing;
use crate::peering::messages::Peer;
use crate::peering::messages::Status;
use crate::peering::messages::StoreContact;
use crate::peering::node::known::KnownDomain;
use crate::peering::node::known::KnownPeer;
use crate::peering::observations::short_hash;
use crate::peering::observations::LoadRow;
use crate::peering::observations::Observations;
use crate::peering::observations::PrefillRow;
use crate::peering::ranking::rank;
use crate::peering::ranking::AGGREGATORS;
use crate::peering::timing::AVOIDANCE;
use crate::peering::timing::DIGEST_TIMEOUT;
use crate::peering::timing::FORGET_AFTER;
use crate::peering::timing::ISSUER_TIMEOUT;
use crate::peering::timing::LISTING_WAIT;
use crate::peering::timing::LONE_WAIT;
use crate::peering::timing::PEER_TIMEOUT;
use crate::peering::timing::ROUNDS_PER_FULL_EXCHANGE;
use crate::peering::timing::SEED_INTERVAL;
use crate::peering::timing::SUMMARY_TTL;

/// The most hosts of a domain that a message names as possible aggregators.
const MAX_CANDIDATES: usize = 6;
/// The number of own reports that are kept, so that a digest that includes one of them can be told
/// apart from the work of other hosts.
const KEPT_REPORTS: usize = 32;
/// The most hosts, known but not heard, that a host without an aggregator asks in a round.
const MAX_SILENT_CALLS: usize = 3;

/// A change of what a host believes about others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Finding {
    /// A host of the own domain was heard for the first time, or again after a silence.
    Found(Peer),
    /// A host of the own domain has been silent for the timeout.
    Lost(Peer),
    /// Another failure domain was heard of for the first time, or again after a silence.
    DomainFound(DomainName),
    /// Nothing was heard of another failure domain for the timeout.
    DomainLost(DomainName),
    /// An aggregator has sent no digest in time and is avoided.
    Avoided(Peer),
    /// This host has become an aggregator.
    BecameAggregator,
    /// This host is no longer an aggregator.
    CeasedAggregator,
}

/// What this host reported of its own requests, to take it out of digests that include the report.
#[derive(Debug)]
struct OwnReport {
    sequence: u32,
    loads: Vec<LoadRow>,
    prefill: Vec<PrefillRow>,
}

/// One host's part in the exchange.
#[derive(Debug)]
pub struct Node {
    own: Peer,
    seeds: Vec<SocketAddrV4>,
    started_at: Option<Millis>,
    peers: HashMap<SocketAddrV4, KnownPeer>,
    domains: BTreeMap<DomainName, KnownDomain>,
    // The aggregator that sends a digest in every round, and when its last one came.
    first_aggregator: Option<SocketAddrV4>,
    first_digest_at: Millis,
    // The number of the last round, which is also that of the report sent in it.
    round: u32,
    own_reports: VecDeque<OwnReport>,
    // What other hosts observe, until it is taken.
    others: Option<Observations>,
    // What the hosts of other domains observe, as an aggregator of this domain said.
    other_domains: Observations,
    other_domains_at: Millis,
    has_issuer_in_domain: bool,
    members_in_digest: usize,
    // When the hosts of the own domain were last known to be alive, by the short hashes of their names.
    members: HashMap<u32, Millis>,
    last_summary: Millis,
    last_seed_call: Millis,
    next_seed: usize,
    // The last answer of the store to an aggregator of the own domain, as these say of themselves, and
    // as they say of each other too.
    reader_answered_at: Option<Millis>,
    store_answered_at: Option<Millis>,
    without_issuer_since: Option<Millis>,
    // The host counts of the last seconds.
    host_counts: VecDeque<(Millis, usize)>,
    is_aggregator: bool,
    findings: Vec<Finding>,
}

impl Node {
    /// Creates the node of a host that knows only the addresses of `seeds`.
    pub fn new(own: Peer, seeds: Vec<SocketAddrV4>) -> Self {
        Self {
            own,
            seeds,
            started_at: None,
            peers: HashMap::new(),
            domains: BTreeMap::new(),
            first_aggregator: None,
            first_digest_at: Millis::ZERO,
            round: 0,
            own_reports: VecDeque::new(),
            others: None,
            other_domains: Observations::default(),
            other_domains_at: Millis::ZERO,
            has_issuer_in_domain: false,
            members_in_digest: 0,
            members: HashMap::new(),
            last_summary: Millis::ZERO,
            last_seed_call: Millis::ZERO,
            next_seed: 0,
            reader_answered_at: None,
            store_answered_at: None,
            without_issuer_since: None,
            host_counts: VecDeque::new(),
            is_aggregator: false,
            findings: Vec::new(),
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// Returns the changes of what this host believes about others since the last call.
    pub fn take_findings(&mut self) -> Vec<Finding> {
        std::mem::take(&mut self.findings)
    }

    /// Adds a host that the store lists, unless it is known. It does not count as alive until it is
    /// heard, since its entry outlives it.
    pub fn add_listed(&mut self, now: Millis, peer: Peer) {
        if peer.gossip != self.own.gossip {
            self.peers.entry(peer.gossip).or_insert_with(|| KnownPeer::new(now, peer));
        }
    }

    /// Records that the store no longer names an issuer.
    pub fn on_issuer_gone(&mut self) {
        self.has_issuer_in_domain = false;
        self.peers.values_mut().for_each(|k| k.is_issuer = false);
        self.domains.values_mut().for_each(|d| d.has_issuer = false);
    }

    /// Returns whether this host is one of the aggregators of its domain, as far as it knows.
    pub fn is_aggregator(&self) -> bool {
        self.is_aggregator
    }

    /// Returns whether digests come from an aggregator of this host's domain.
    pub fn has_aggregator(&self, now: Millis) -> bool {
        self.peers.values().any(|k| k.peer.domain == self.own.domain && k.sends_digests(now))
    }

    /// Returns whether this host should follow the store itself: as an aggregator, or when the store has
    /// answered no aggregator of its domain for some time, which differs between hosts.
    pub fn should_read_store(&self, now: Millis, waits: Waits) -> bool {
        let spread = u64::from(short_hash(self.own.host.as_str())) % waits.reader_spread().0;
        let wait = waits.reader_silence() + Millis(spread);
        let since = self.started_at.map(|at| at.max(self.store_answered_at.unwrap_or(at)));
        self.is_aggregator || since.is_some_and(|since| now.since(since) >= wait)
    }

    /// Records what the sender of `message` says of the store's answers. A host of an earlier release
    /// says only that it reads the store.
    pub fn on_store_contact(&mut self, now: Millis, message: &Message, contact: StoreContact) {
        let is_digest = matches!(message.content, Content::Digest { .. });
        if !is_digest || message.from.peer.domain != self.own.domain {
            return;
        }
        // Before the start of this host's clock counts as its start.
        let at = |age_ms: u32| Millis(now.0.saturating_sub(age_ms.into()));
        let is_of_earlier_release = contact == StoreContact::default();
        let is_believed = is_of_earlier_release || planted!(PeeringTrustsReader);
        let own = match contact.own_age_ms.map(at) {
            _ if is_believed => message.from.reads_store.then_some(now),
            own => own,
        };
        let other = contact.other_age_ms.map(at);
        self.reader_answered_at = self.reader_answered_at.max(own);
        self.store_answered_at = self.store_answered_at.max(own).max(other);
    }

    /// Returns what this host says to others of the store's answers, of which the last one to itself
    /// came at `own`. An aggregator also passes on what the other one says of itself, which its members
    /// hear less often.
    pub fn store_contact(&self, now: Millis, own: Option<Millis>) -> StoreContact {
        let other = self.reader_answered_at.filter(|_| self.is_aggregator);
        StoreContact::new(now, own, other)
    }

    /// Returns whether this host should try to become the order issuer: as an aggregator when it
    /// hears of no issuer, or as any other host when that has lasted for long.
    pub fn may_become_issuer(&self, now: Millis) -> bool {
        let is_overdue =
            self.without_issuer_since.is_some_and(|since| now.since(since) >= ISSUER_TIMEOUT);
        !self.hears_issuer(now) && (self.is_aggregator || is_overdue)
    }

    /// Returns whether this host should look up the hosts that the store lists: it has heard nobody,
    /// or as an aggregator it misses a failure domain that it knew.
    pub fn needs_listing(&self, now: Millis) -> bool {
        let waited = self.started_at.is_some_and(|at| now.since(at) >= LISTING_WAIT);
        let hears_nobody = !self.peers.values().any(|k| k.is_heard(now));
        let misses_domain = self.is_aggregator
            && self.domains.values().any(|d| now.since(d.updated_at) >= SUMMARY_TTL);
        waited && (hears_nobody || misses_domain)
    }

    /// Returns whether a live host is the order issuer.
    pub fn hears_issuer(&self, now: Millis) -> bool {
        let in_domain = self.has_issuer_in_domain && self.has_aggregator(now);
        let heard = self.peers.values().any(|k| k.is_issuer && k.is_heard(now));
        let elsewhere =
            self.domains.values().any(|d| d.has_issuer && now.since(d.updated_at) < SUMMARY_TTL);
        in_domain || heard || elsewhere
    }

    /// Returns the observations of other hosts if there are new ones since the last call.
    pub fn take_others(&mut self) -> Option<Observations> {
        self.others.take()
    }

    /// Runs one round. `observations` are this host's own.
    pub fn on_round(
        &mut self,
        now: Millis,
        own: &Status,
        observations: Observations,
    ) -> Vec<Outgoing> {
        let started_at = *self.started_at.get_or_insert(now);
        self.round += 1;
        self.forget_silent_peers(now);
        self.avoid_silent_aggregators(now);
        let mut out = Vec::new();
        let aggregators = self.aggregators(now, own);
        let is_joined = self.has_aggregator(now);
        let may_lead =
            is_joined || now.since(started_at) >= LONE_WAIT || !self.reporters(now).is_empty();
        let is_chosen = aggregators.iter().any(|p| p.gossip == self.own.gossip);
        self.set_role((is_chosen && may_lead) || !self.reporters(now).is_empty());
        if !is_joined || self.is_aggregator {
            self.call_seeds(now, is_joined, &mut out);
        }
        self.send_reports(now, &aggregators, &observations, &mut out);
        if self.is_aggregator {
            self.aggregate(now, own, &observations, &aggregators, &mut out);
        }
        self.record_host_count(now);
        let since = self.without_issuer_since.or(Some(now));
        self.without_issuer_since = since.filter(|_| !own.is_issuer && !self.hears_issuer(now));
        out
    }

    fn set_role(&mut self, is_aggregator: bool) {
        if is_aggregator != self.is_aggregator {
            self.is_aggregator = is_aggregator;
            self.findings.push(if is_aggregator {
                Finding::BecameAggregator
            } else {
                Finding::CeasedAggregator
            });
        }
    }

    /// Returns the hosts of the own domain that are believed alive, this one included, in the order
    /// of their ranking.
    fn ranked(&self, now: Millis, own: &Status) -> Vec<&Peer> {
        let alive = self.peers.values().filter(|k| k.is_alive(now)).map(|k| &k.peer);
        let mut ranked: Vec<&Peer> = alive.filter(|p| p.domain == self.own.domain).collect();
        if !own.is_stopping {
            ranked.push(&self.own);
        }
        ranked.sort_by_key(|peer| rank(peer));
        ranked
    }

    fn aggregators(&self, now: Millis, own: &Status) -> Vec<Peer> {
        self.ranked(now, own).into_iter().take(AGGREGATORS).cloned().collect()
    }

    /// Returns the hosts of the own domain that this host has heard itself, and itself, in the order
    /// of their ranking.
    ///
    /// Only these are named to others: a host that passed on what it was told would keep hosts alive
    /// that nobody hears.
    fn heard_candidates(&self, now: Millis, own: &Status) -> Vec<Peer> {
        let is_heard = |peer: &&&Peer| {
            peer.gossip == self.own.gossip
                || planted!(PeeringHearsay)
                || self.peers.get(&peer.gossip).is_some_and(|k| k.is_heard(now))
        };
        let ranked = self.ranked(now, own);
        ranked.iter().filter(is_heard).take(MAX_CANDIDATES).map(|p| (*p).clone()).collect()
    }

    /// Returns the hosts to name to a host of `domain`: possible aggregators of its own domain, and
    /// the aggregators of the other domains.
    fn peers_for(&self, now: Millis, own: &Status, domain: &DomainName) -> Vec<Peer> {
        let mut peers = Vec::new();
        if *domain == self.own.domain {
            peers = self.heard_candidates(now, own);
        } else {
            peers.push(self.own.clone());
            let heard = self.peers.values().filter(|k| k.is_heard(now) && !k.is_stopping);
            let mut heard: Vec<&Peer> =
                heard.map(|k| &k.peer).filter(|p| p.domain == *domain).collect();
            heard.sort_by_key(|peer| rank(peer));
            peers.extend(heard.into_iter().take(MAX_CANDIDATES).cloned());
        }
        let fresh = self.domains.values().filter(|d| now.since(d.updated_at) < PEER_TIMEOUT);
        peers.extend(fresh.flat_map(|d| d.aggregators.iter().cloned()));
        peers.retain(|p| p.gossip != self.own.gossip || !own.is_stopping);
        peers
    }

    /// Returns the addresses of the members whose reports this host has received lately.
    fn reporters(&self, now: Millis) -> Vec<SocketAddrV4> {
        self.peers
            .values()
            .filter(|k| k.live_report(now).is_some())
            .map(|k| k.peer.gossip)
            .collect()
    }

    fn forget_silent_peers(&mut self, now: Millis) {
        let findings = &mut self.findings;
        self.peers.retain(|_, known| {
            // A host that is heard again counts as found once more.
            if known.heard_at.is_some_and(|at| now.since(at) >= PEER_TIMEOUT) {
                known.heard_at = None;
                known.is_issuer = false;
                // Whoever is named as alive at this address from now on is another process.
                known.is_stopping &= planted!(PeeringKeepsStopping);
                known.added_at = known.added_at.max(now.since(PEER_TIMEOUT));
                if known.peer.domain == self.own.domain {
                    findings.push(Finding::Lost(known.peer.clone()));
                }
            }
            now.since(known.last_sign()) < FORGET_AFTER
        });
        for (domain, known) in &mut self.domains {
            if known.is_heard && now.since(known.updated_at) >= SUMMARY_TTL {
                known.is_heard = false;
                findings.push(Finding::DomainLost(domain.clone()));
            }
        }
        self.members.retain(|_, at| now.since(*at) < FORGET_AFTER);
        self.domains.retain(|_, d| now.since(d.updated_at) < FORGET_AFTER);
    }

    /// Avoids aggregators that have left reports without a digest for too long.
    fn avoid_silent_aggregators(&mut self, now: Millis) {
        for known in self.peers.values_mut() {
            let Some(since) = known.reporting_since else {
                continue;
            };
            let last = known.digest_at.unwrap_or(Millis::ZERO).max(since);
            if now.since(last) >= DIGEST_TIMEOUT && !planted!(PeeringKeepsSilentAggregator) {
                known.avoided_until = now + AVOIDANCE;
                known.reporting_since = None;
                self.findings.push(Finding::Avoided(known.peer.clone()));
            }
        }
    }

    /// Asks for hosts of the own domain: all seeds and some hosts that are known but not heard while
    /// no aggregator is known, else one of each at a time.
    fn call_seeds(&mut self, now: Millis, is_joined: bool, out: &mut Vec<Outgoing>) {
        let is_alone = !is_joined && !self.is_aggregator;
        if !is_alone && now.since(self.last_seed_call) < SEED_INTERVAL {
            return;
        }
        self.last_seed_call = now;
        self.next_seed += 1;
        let mut silent: Vec<SocketAddrV4> =
            self.peers.values().filter(|k| !k.is_heard(now)).map(|k| k.peer.gossip).collect();
        silent.sort_unstable();
        let seeds: Vec<SocketAddrV4> =
            self.seeds.iter().copied().filter(|s| *s != self.own.gossip).collect();
        let (seed_calls, silent_calls) =
            if is_alone { (seeds.len(), MAX_SILENT_CALLS) } else { (1, 1) };
        let targets = rotated(&seeds, self.next_seed, seed_calls).chain(rotated(
            &silent,
            self.next_seed,
            silent_calls,
        ));
        out.extend(targets.map(|to| Outgoing { to, content: Content::Join }));
    }

    fn send_reports(
        &mut self,
        now: Millis,
        aggregators: &[Peer],
        observations: &Observations,
        out: &mut Vec<Outgoing>,
    ) {
        self.own_reports.push_back(OwnReport {
            sequence: self.round,
            loads: observations.loads.clone(),
            prefill: observations.prefill.clone(),
        });
        if self.own_reports.len() > KEPT_REPORTS {
            self.own_reports.pop_front();
        }
        let is_full = self.is_full_exchange();
        let first = aggregators.iter().find(|p| p.gossip != self.own.gossip).map(|p| p.gossip);
        self.first_aggregator = first;
        for known in self.peers.values_mut() {
            if !aggregators.iter().any(|p| p.gossip == known.peer.gossip) {
                known.reporting_since = None;
                continue;
            }
            known.reporting_since.get_or_insert(now);
            let wants_every_round = first == Some(known.peer.gossip);
            if wants_every_round || is_full {
                let content = Content::Report {
                    sequence: self.round,
                    wants_every_round,
                    observations: observations.clone(),
                };
                out.push(Outgoing { to: known.peer.gossip, content });
            }
        }
    }

    /// Returns whether the messages of this round carry what changes less often.
    pub fn is_full_exchange(&self) -> bool {
        self.round.is_multiple_of(ROUNDS_PER_FULL_EXCHANGE)
    }

    fn record_host_count(&mut self, now: Millis) {
        let is_known = self.is_aggregator || self.has_aggregator(now);
        if is_known {
            self.host_counts.push_back((now, self.host_count(now)));
        }
        while self.host_counts.front().is_some_and(|(at, _)| now.since(*at) >= FORGET_AFTER) {
            self.host_counts.pop_front();
        }
    }
}

/// Returns up to `count` of the `addresses`, others in each turn.
fn rotated(
    addresses: &[SocketAddrV4],
    turn: usize,
    count: usize,
) -> impl Iterator<Item = SocketAddrV4> + '_ {
    let count = count.min(addresses.len());
    (0..count).map(move |i| addresses[(turn * count + i) % addresses.len()])
}
