//! What an aggregator sums up and sends to the members of its domain and to other domains.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use crate::clock::Millis;
use crate::name::DomainName;
use crate::peering::messages::Content;
use crate::peering::messages::DomainRow;
use crate::peering::messages::IncludedReport;
use crate::peering::messages::Outgoing;
use crate::peering::messages::Peer;
use crate::peering::messages::Status;
use crate::peering::messages::Surroundings;
use crate::peering::node::known::KnownDomain;
use crate::peering::node::known::KnownPeer;
use crate::peering::node::Node;
use crate::peering::observations::short_hash;
use crate::peering::observations::ObservationSum;
use crate::peering::observations::Observations;
use crate::peering::ranking::rank;
use crate::peering::ranking::AGGREGATORS;
use crate::peering::timing::SUMMARY_INTERVAL;
use crate::peering::timing::SUMMARY_TTL;

impl Node {
    /// Sums the reports and summaries, and sends the digests and summaries that are due.
    pub(super) fn aggregate(
        &mut self,
        now: Millis,
        own: &Status,
        observations: &Observations,
        aggregators: &[Peer],
        out: &mut Vec<Outgoing>,
    ) {
        let of_members = self.sum_of_members(now);
        let of_other_domains = self.sum_of_other_domains(now);
        let mut others = ObservationSum::default();
        others.add(&of_members, 0);
        others.add(&of_other_domains, 0);
        self.others = Some(others.finish());
        let mut of_domain = ObservationSum::default();
        of_domain.add(&of_members, 0);
        of_domain.add(observations, 0);
        let of_domain = of_domain.finish();
        let is_issuer_here =
            |k: &KnownPeer| k.is_issuer && k.is_heard(now) && k.peer.domain == self.own.domain;
        self.has_issuer_in_domain = own.is_issuer || self.peers.values().any(is_issuer_here);
        self.send_digests(now, own, &of_domain, of_other_domains, out);
        let is_first = aggregators.first().is_none_or(|p| p.gossip == self.own.gossip);
        if is_first && now.since(self.last_summary) >= SUMMARY_INTERVAL {
            self.last_summary = now;
            self.send_summaries(now, own, of_domain, out);
        }
    }

    /// Returns the sum of what the other hosts of the domain reported.
    fn sum_of_members(&self, now: Millis) -> Observations {
        let mut sum = ObservationSum::default();
        for report in self.peers.values().filter_map(|k| k.live_report(now)) {
            sum.add(&report.observations, now.since(report.received_at).0);
        }
        sum.finish()
    }

    /// Returns the sum of what the hosts of the other domains observe.
    fn sum_of_other_domains(&self, now: Millis) -> Observations {
        let mut sum = ObservationSum::default();
        for known in self.domains.values() {
            let age = now.since(known.updated_at);
            if let Some(remote) = known.observations.as_ref().filter(|_| age < SUMMARY_TTL) {
                sum.add(remote, age.0);
            }
        }
        sum.finish()
    }

    /// Sends a digest to the members whose first aggregator this host is, and in a full exchange to
    /// all that report to it.
    fn send_digests(
        &self,
        now: Millis,
        own: &Status,
        of_domain: &Observations,
        of_other_domains: Observations,
        out: &mut Vec<Outgoing>,
    ) {
        let is_full = self.is_full_exchange();
        let mut included: Vec<IncludedReport> = self
            .peers
            .values()
            .filter_map(|k| Some((k, k.live_report(now)?)))
            .map(|(k, report)| IncludedReport {
                host: short_hash(k.peer.host.as_str()),
                sequence: report.sequence,
            })
            .collect();
        included.sort_unstable_by_key(|i| i.host);
        let surroundings = is_full.then(|| Surroundings {
            candidates: self.heard_candidates(now, own),
            has_issuer: self.has_issuer_in_domain,
            domains: self.domain_rows(now),
            observations: of_other_domains,
        });
        let content = Content::Digest { included, observations: of_domain.clone(), surroundings };
        for known in self.peers.values() {
            let wants = known.live_report(now).is_some_and(|r| is_full || r.wants_every_round);
            if wants {
                out.push(Outgoing { to: known.peer.gossip, content: content.clone() });
            }
        }
    }

    /// Returns the other domains of which a summary has come lately.
    fn domain_rows(&self, now: Millis) -> Vec<DomainRow> {
        let is_fresh =
            |d: &KnownDomain| d.observations.is_some() && now.since(d.updated_at) < SUMMARY_TTL;
        let fresh = self.domains.iter().filter(|(_, d)| is_fresh(d));
        fresh
            .map(|(domain, d)| DomainRow {
                domain: domain.clone(),
                hosts: d.hosts,
                has_issuer: d.has_issuer,
                aggregators: d.aggregators.clone(),
            })
            .collect()
    }

    /// Sends a summary of this domain to the aggregators of each other one.
    fn send_summaries(
        &self,
        now: Millis,
        own: &Status,
        observations: Observations,
        out: &mut Vec<Outgoing>,
    ) {
        let row = DomainRow {
            domain: self.own.domain.clone(),
            hosts: self.reporters(now).len() as u16 + 1,
            has_issuer: self.has_issuer_in_domain,
            aggregators: self.heard_candidates(now, own).into_iter().take(AGGREGATORS).collect(),
        };
        let content = Content::Summary { row, observations };
        for to in self.summary_receivers(now) {
            out.push(Outgoing { to, content: content.clone() });
        }
    }

    /// Returns the aggregators of the other domains, or of a domain where none is alive, one host
    /// that once was.
    fn summary_receivers(&self, now: Millis) -> Vec<SocketAddrV4> {
        let mut by_domain: BTreeMap<&DomainName, Vec<&KnownPeer>> = BTreeMap::new();
        for known in self.peers.values().filter(|k| k.peer.domain != self.own.domain) {
            by_domain.entry(&known.peer.domain).or_default().push(known);
        }
        let mut receivers = Vec::new();
        for (domain, peers) in by_domain {
            // An old row names hosts that may have been replaced while the domain was not heard.
            let row = self.domains.get(domain).filter(|d| now.since(d.updated_at) < SUMMARY_TTL);
            let named = row.map_or(&[][..], |d| d.aggregators.as_slice());
            let is_named = |k: &KnownPeer| named.iter().any(|p| p.gossip == k.peer.gossip);
            let mut alive: Vec<&KnownPeer> =
                peers.iter().copied().filter(|k| k.is_alive(now)).collect();
            alive.sort_by_key(|k| (!is_named(k), rank(&k.peer)));
            receivers.extend(alive.iter().take(AGGREGATORS).map(|k| k.peer.gossip));
            if alive.is_empty() {
                // A cut that has healed is noticed by whoever sends first.
                let index = (now.0 / SUMMARY_INTERVAL.0) as usize % peers.len();
                let mut all: Vec<SocketAddrV4> = peers.iter().map(|k| k.peer.gossip).collect();
                all.sort_unstable();
                receivers.push(all[index]);
            }
        }
        receivers
    }
}
