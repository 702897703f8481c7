//! What hosts tell each other about the servers that they hear.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

/// A server that some host has heard lately.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeardRow {
    /// The short hash of the server's name.
    pub server: u32,
    /// The time since a host last heard it, in ms.
    pub age_ms: u16,
}

/// What a host says of its own links.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostRow {
    /// The address at which the host takes requests of other hosts.
    pub relay: SocketAddrV4,
    /// The short hash of its failure domain.
    pub domain: u32,
    /// Whether it reaches servers and takes requests of other hosts.
    pub reaches: bool,
    /// The time since it said so, in ms.
    pub age_ms: u16,
}

/// The part of a message between hosts that tells which servers and hosts are reached.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReachRows {
    /// Servers that were heard lately, those heard last first.
    pub heard: Vec<HeardRow>,
    /// The sender and some other hosts.
    pub hosts: Vec<HostRow>,
}
