//! The settings of a host.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use yuccanotch_core::clock::Millis;
use yuccanotch_core::forward::budget::RetryBudgetLimits;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::HostName;
use yuccanotch_core::peering::messages::Peer;

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
    /// The address on which other hosts request changes of the configuration and the servers.
    pub control: SocketAddrV4,
    /// The address on which the host exchanges gossip datagrams.
    pub gossip: SocketAddrV4,
    /// The address on which the host takes requests of other hosts.
    pub relay: SocketAddrV4,
    /// The address on which the host exposes its metrics.
    pub metrics: SocketAddrV4,
    /// The address that connections to others are made from; `None` leaves it to the system.
    pub source: Option<Ipv4Addr>,
    /// The address of the platform's store.
    pub store: SocketAddrV4,
    /// The bandwidth of the host's link, in Mbit/s.
    pub link_mbps: u32,
    /// The time from the acknowledgement of a change in the store until it has to be in force.
    pub change_limit: Millis,
    /// The largest number of open sockets.
    pub sockets: usize,
    /// The memory limit of the process, in bytes; `None` sets no bound on buffered bytes.
    pub memory_bytes: Option<u64>,
    /// The settings that may change while the process runs.
    pub changeable: Changeable,
}

impl Settings {
    /// Returns the name, failure domain and addresses of the host, as other hosts know it.
    pub fn own_peer(&self) -> Peer {
        Peer {
            host: self.host.clone(),
            domain: self.domain.clone(),
            gossip: self.gossip,
            control: self.control,
            link_mbps: self.link_mbps,
        }
    }
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
