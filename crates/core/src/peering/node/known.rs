//! What a host remembers of other hosts and failure domains.

use crate::clock::Millis;
use crate::peering::messages::Peer;
use crate::peering::observations::Observations;
use crate::peering::timing::PEER_TIMEOUT;
use crate::peering::timing::REPORT_TTL;

/// The last report of a member.
#[derive(Debug)]
pub(super) struct ReceivedReport {
    pub(super) received_at: Millis,
    pub(super) sequence: u32,
    pub(super) wants_every_round: bool,
    pub(super) observations: Observations,
}

/// What this host knows of another one.
#[derive(Debug)]
pub(super) struct KnownPeer {
    pub(super) peer: Peer,
    pub(super) incarnation: u64,
    pub(super) added_at: Millis,
    pub(super) heard_at: Option<Millis>,
    // When another host last named it as alive.
    pub(super) listed_at: Option<Millis>,
    pub(super) digest_at: Option<Millis>,
    // Since when this host has sent it reports.
    pub(super) reporting_since: Option<Millis>,
    pub(super) avoided_until: Millis,
    pub(super) is_stopping: bool,
    pub(super) is_issuer: bool,
    pub(super) revision: u64,
    pub(super) report: Option<ReceivedReport>,
}

impl KnownPeer {
    pub(super) fn new(now: Millis, peer: Peer) -> Self {
        Self {
            peer,
            incarnation: 0,
            added_at: now,
            heard_at: None,
            listed_at: None,
            digest_at: None,
            reporting_since: None,
            avoided_until: Millis::ZERO,
            is_stopping: false,
            is_issuer: false,
            revision: 0,
            report: None,
        }
    }

    pub(super) fn is_heard(&self, now: Millis) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) < PEER_TIMEOUT)
    }

    pub(super) fn is_alive(&self, now: Millis) -> bool {
        let is_listed = self.listed_at.is_some_and(|at| now.since(at) < PEER_TIMEOUT);
        !self.is_stopping && now >= self.avoided_until && (self.is_heard(now) || is_listed)
    }

    pub(super) fn last_sign(&self) -> Millis {
        self.added_at
            .max(self.heard_at.unwrap_or(Millis::ZERO))
            .max(self.listed_at.unwrap_or(Millis::ZERO))
    }

    pub(super) fn sends_digests(&self, now: Millis) -> bool {
        self.digest_at.is_some_and(|at| now.since(at) < PEER_TIMEOUT)
    }

    pub(super) fn live_report(&self, now: Millis) -> Option<&ReceivedReport> {
        self.report.as_ref().filter(|r| now.since(r.received_at) < REPORT_TTL)
    }
}

/// What this host knows of another failure domain.
#[derive(Debug)]
pub(super) struct KnownDomain {
    pub(super) updated_at: Millis,
    // Whether the timeout since the last update has not passed yet.
    pub(super) is_heard: bool,
    pub(super) hosts: u16,
    pub(super) has_issuer: bool,
    pub(super) aggregators: Vec<Peer>,
    // What its hosts observe; set only by a summary, which comes to aggregators.
    pub(super) observations: Option<Observations>,
}
