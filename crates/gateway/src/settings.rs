//! Settings of a host.

use std::net::SocketAddrV4;

use yuccanotch_core::clock::Millis;
use yuccanotch_core::forward::budget::RetryBudgetLimits;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::HostName;

/// Settings of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host's name.
    pub host: HostName,
    /// The host's failure domain.
    pub domain: DomainName,
    /// Where callers connect.
    pub callers: SocketAddrV4,
    /// Where the balancer asks whether the host takes new connections.
    pub ready: SocketAddrV4,
    /// Where other hosts ask for a snapshot of what this host knows.
    pub control: SocketAddrV4,
    /// Where other hosts send datagrams.
    pub gossip: SocketAddrV4,
    /// Where the host shows its counters.
    pub metrics: SocketAddrV4,
    /// The platform's store.
    pub store: SocketAddrV4,
    /// The most open sockets.
    pub sockets: usize,
    /// What may change in the life of the process.
    pub changeable: Changeable,
}

/// Settings that may change in the life of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Changeable {
    /// Control addresses of hosts to start from.
    pub seeds: Vec<SocketAddrV4>,
    /// The time from the order to stop until the process is ended.
    pub grace: Millis,
    /// Bounds on repeats over all hosts.
    pub repeats: RetryBudgetLimits,
}
