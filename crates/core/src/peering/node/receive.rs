//! How a host applies the messages of others.

use crate::clock::Millis;
use crate::defect::planted;
use crate::peering::messages::Content;
use crate::peering::messages::DomainRow;
use crate::peering::messages::IncludedReport;
use crate::peering::messages::Message;
use crate::peering::messages::Outgoing;
use crate::peering::messages::Peer;
use crate::peering::messages::Status;
use crate::peering::messages::Surroundings;
use crate::peering::node::known::KnownDomain;
use crate::peering::node::known::KnownPeer;
use crate::peering::node::known::ReceivedReport;
use crate::peering::node::Finding;
use crate::peering::node::Node;
use crate::peering::observations::short_hash;
use crate::peering::observations::ObservationSum;
use crate::peering::observations::Observations;
use crate::peering::timing::FIRST_DIGEST_TIMEOUT;
use crate::peering::timing::REPORT_TTL;

impl Node {
    /// Applies a message of another host; returns the answer to send.
    pub fn on_message(&mut self, now: Millis, own: &Status, message: Message) -> Option<Outgoing> {
        let from = message.from.peer.clone();
        if from.gossip == self.own.gossip {
            return None;
        }
        self.record_sender(now, &message.from);
        match message.content {
            Content::Join => {
                let peers = self.peers_for(now, own, &from.domain);
                return Some(Outgoing { to: from.gossip, content: Content::Peers(peers) });
            }
            Content::Peers(peers) => self.on_listed(now, peers),
            Content::Report { sequence, wants_every_round, observations } => {
                let report =
                    ReceivedReport { received_at: now, sequence, wants_every_round, observations };
                self.on_report(&from, report);
            }
            Content::Digest { included, observations, surroundings } => {
                if from.domain == self.own.domain {
                    if let Some(surroundings) = surroundings {
                        self.on_surroundings(now, surroundings);
                    }
                    self.on_digest(now, &from, &included, &observations);
                }
            }
            Content::Summary { row, observations } => {
                return self.on_summary(now, own, &from, row, observations);
            }
        }
        None
    }

    fn record_sender(&mut self, now: Millis, status: &Status) {
        let peer = &status.peer;
        let known =
            self.peers.entry(peer.gossip).or_insert_with(|| KnownPeer::new(now, peer.clone()));
        if !known.is_heard(now) && peer.domain == self.own.domain {
            self.findings.push(Finding::Found(peer.clone()));
        }
        if known.incarnation != status.incarnation {
            *known = KnownPeer::new(now, peer.clone());
            known.incarnation = status.incarnation;
        }
        known.heard_at = Some(now);
        if peer.domain == self.own.domain {
            self.members.insert(short_hash(peer.host.as_str()), now);
        }
        known.is_stopping = status.is_stopping;
        known.is_issuer = status.is_issuer;
        known.revision = status.revision;
    }

    fn on_listed(&mut self, now: Millis, peers: Vec<Peer>) {
        for peer in peers {
            if peer.gossip == self.own.gossip {
                continue;
            }
            let known = self.peers.entry(peer.gossip).or_insert_with(|| KnownPeer::new(now, peer));
            known.listed_at = Some(now);
        }
    }

    fn on_report(&mut self, from: &Peer, report: ReceivedReport) {
        let Some(known) = self.peers.get_mut(&from.gossip) else {
            return;
        };
        let is_newer = known.report.as_ref().is_none_or(|r| r.sequence < report.sequence);
        if is_newer || planted!(PeeringOlderReport) {
            known.report = Some(report);
        }
    }

    fn on_surroundings(&mut self, now: Millis, surroundings: Surroundings) {
        self.on_listed(now, surroundings.candidates);
        // Two aggregators that believed each other would keep a lost domain alive; they believe only
        // summaries.
        if self.is_aggregator && !planted!(PeeringHearsay) {
            return;
        }
        surroundings.domains.into_iter().for_each(|row| self.on_domain_row(now, row, None));
        self.has_issuer_in_domain = surroundings.has_issuer;
        self.other_domains = surroundings.observations;
        self.other_domains_at = now;
    }

    fn on_digest(
        &mut self,
        now: Millis,
        from: &Peer,
        included: &[IncludedReport],
        observations: &Observations,
    ) {
        if let Some(known) = self.peers.get_mut(&from.gossip) {
            known.digest_at = Some(now);
        }
        self.members_in_digest = included.len();
        self.members.extend(included.iter().map(|report| (report.host, now)));
        let is_from_first = self.first_aggregator == Some(from.gossip);
        if is_from_first {
            self.first_digest_at = now;
        }
        // The other aggregator gets reports less often, so its sums are older.
        let is_outdated = !is_from_first && now.since(self.first_digest_at) < FIRST_DIGEST_TIMEOUT;
        if self.is_aggregator || is_outdated {
            return;
        }
        let own_hash = short_hash(self.own.host.as_str());
        let own_sequence = included.iter().find(|i| i.host == own_hash).map(|i| i.sequence);
        let own_report = self
            .own_reports
            .iter()
            .find(|report| Some(report.sequence) == own_sequence)
            .filter(|_| !planted!(PeeringCountsOwnLoad));
        let mut sum = ObservationSum::default();
        sum.add(observations, 0);
        if let Some(own) = own_report {
            sum.subtract_loads(&own.loads);
            sum.subtract_prefill(&own.prefill);
        }
        let age = now.since(self.other_domains_at);
        if age < REPORT_TTL {
            sum.add(&self.other_domains, age.0);
        }
        self.others = Some(sum.finish());
    }

    /// Records what is known of another domain; `observations` are known only from its summary.
    fn on_domain_row(&mut self, now: Millis, row: DomainRow, observations: Option<Observations>) {
        if row.domain == self.own.domain {
            return;
        }
        self.on_listed(now, row.aggregators.clone());
        if !self.domains.get(&row.domain).is_some_and(|d| d.is_heard) {
            self.findings.push(Finding::DomainFound(row.domain.clone()));
        }
        let known = self.domains.entry(row.domain).or_insert(KnownDomain {
            updated_at: now,
            is_heard: true,
            hosts: 0,
            has_issuer: false,
            aggregators: Vec::new(),
            observations: None,
        });
        known.updated_at = now;
        known.is_heard = true;
        known.hosts = row.hosts;
        known.has_issuer = row.has_issuer;
        known.aggregators = row.aggregators;
        known.observations = observations;
    }

    fn on_summary(
        &mut self,
        now: Millis,
        own: &Status,
        from: &Peer,
        row: DomainRow,
        observations: Observations,
    ) -> Option<Outgoing> {
        if from.domain == self.own.domain || row.domain != from.domain {
            return None;
        }
        self.on_domain_row(now, row, Some(observations));
        if self.is_aggregator {
            return None;
        }
        // The sender believes that this host is an aggregator; it learns of the present ones.
        let peers = self.peers_for(now, own, &self.own.domain);
        Some(Outgoing { to: from.gossip, content: Content::Peers(peers) })
    }
}
