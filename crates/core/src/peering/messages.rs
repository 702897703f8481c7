//! The messages between hosts.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::name::DomainName;
use crate::name::HostName;
use crate::peering::observations::Observations;
use crate::quarantine::CrashNotice;

/// A host as it is known to others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// The name of the host.
    pub host: HostName,
    /// The failure domain of the host.
    pub domain: DomainName,
    /// The address on which it receives the messages of this module.
    pub gossip: SocketAddrV4,
    /// The address on which it serves changes of the configuration and the list of servers.
    pub control: SocketAddrV4,
    /// The bandwidth of its link, in Mbit/s; hosts with more are preferred as aggregators.
    pub link_mbps: u32,
}

/// The state of the sender of a message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The sender.
    pub peer: Peer,
    /// A number that differs between incarnations of the sender.
    pub incarnation: u64,
    /// Whether the sender is shutting down.
    pub is_stopping: bool,
    /// Whether the sender is the order issuer.
    pub is_issuer: bool,
    /// Whether the sender reads the store and has had an answer of it lately; hosts of earlier releases
    /// say so until a call fails.
    pub reads_store: bool,
    /// The store revision up to which the sender has applied all changes.
    pub revision: u64,
}

/// The last report of a member that a digest includes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IncludedReport {
    /// The short hash of the member's name.
    pub host: u32,
    /// The sequence number of the report.
    pub sequence: u32,
}

/// What is known about another failure domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainRow {
    /// The failure domain.
    pub domain: DomainName,
    /// The number of its hosts.
    pub hosts: u16,
    /// Whether one of them is the order issuer.
    pub has_issuer: bool,
    /// Its aggregators.
    pub aggregators: Vec<Peer>,
}

/// What an aggregator tells the members of its domain less often.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Surroundings {
    /// Hosts of the domain that may become aggregators, in the order of their ranking.
    pub candidates: Vec<Peer>,
    /// Whether a host of the domain is the order issuer.
    pub has_issuer: bool,
    /// The other failure domains.
    pub domains: Vec<DomainRow>,
    /// The observations of the hosts of the other domains.
    pub observations: Observations,
}

/// What a message says.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Content {
    /// Asks for the hosts that the receiver knows of the sender's failure domain.
    Join,
    /// Names hosts: aggregators of any domain, and hosts of the receiver's domain.
    Peers(Vec<Peer>),
    /// A member's observations, for an aggregator of its domain.
    Report {
        /// The number of the report, which increases by one.
        sequence: u32,
        /// Whether the sender asks for a digest in every round, since the receiver is its first
        /// aggregator.
        wants_every_round: bool,
        /// What the member itself observed.
        observations: Observations,
    },
    /// What an aggregator knows, for the members of its domain.
    Digest {
        /// The reports that the observations include.
        included: Vec<IncludedReport>,
        /// The observations of all hosts of the domain.
        observations: Observations,
        /// What changes less often; only in some digests.
        surroundings: Option<Surroundings>,
    },
    /// What an aggregator knows about its own domain, for the aggregators of other domains.
    Summary {
        /// The domain of the sender.
        row: DomainRow,
        /// The observations of the domain's hosts.
        observations: Observations,
    },
}

/// A message between hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// The state of the sender.
    pub from: Status,
    /// What the message says.
    pub content: Content,
    /// What the sender knows about requests that were in flight when servers crashed.
    pub notices: Vec<CrashNotice>,
}

/// When the store last answered the hosts that read it for a failure domain, as one of them says beside
/// a message. Hosts of earlier releases say nothing.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreContact {
    /// How long ago it answered the sender when the message was sent, in ms.
    pub own_age_ms: Option<u32>,
    /// How long ago it answered another aggregator of the domain, as that one said itself, in ms. It
    /// goes no further: at each hop an age loses the time for which the message was on its way, so that
    /// hosts that passed it back and forth would understate it more and more.
    pub other_age_ms: Option<u32>,
}

impl StoreContact {
    /// Creates what a host says at `now` of answers to itself at `own` and to another aggregator at
    /// `other`.
    pub fn new(now: Millis, own: Option<Millis>, other: Option<Millis>) -> Self {
        let age = |at: Millis| u32::try_from(now.since(at).0).unwrap_or(u32::MAX);
        Self { own_age_ms: own.map(age), other_age_ms: other.map(age) }
    }
}

/// A message and the address to which it goes.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The receiver.
    pub to: SocketAddrV4,
    /// What to send; the caller adds the state of this host.
    pub content: Content,
}
