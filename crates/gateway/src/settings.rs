//! The settings of a host.

use std::net::SocketAddrV4;

use yuccanotch_core::clock::Millis;
use yuccanotch_core::forward::budget::RetryBudgetLimits;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::HostName;

/// The settings of a host. All but [`Settings::changeable`] stay the same for the life of the
/// process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host's name.
    pub host: HostName,
    /// The host's failure domain.
    pub domain: DomainName,
    /// The address on which the host accepts callers.
    pub callers: SocketAddrV4,
    /// The address on which the load balancer checks whether the host takes new connections.
    pub ready: SocketAddrV4,
    /// The address on which other hosts request snapshots of this host's state.
    pub control: SocketAddrV4,
    /// The address on which the host exchanges gossip datagrams.
    pub gossip: SocketAddrV4,
    /// The address on which the host exposes its metrics.
    pub metrics: SocketAddrV4,
    /// The address of the platform's store.
    pub store: SocketAddrV4,
    /// The largest number of open sockets.
    pub sockets: usize,
    /// The settings that may change while the process runs.
    pub changeable: Changeable,
}

/// Settings that may change while the process runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Changeable {
    /// The control addresses of hosts from which a starting host learns of others.
    pub seeds: Vec<SocketAddrV4>,
    /// The grace period: the time from the signal to stop until the process is killed.
    pub grace: Millis,
    /// The limits on retries, over all hosts together.
    pub repeats: RetryBudgetLimits,
}
