//! Simulated network partitions: drops messages to or from chosen peers, for experiments.

use std::collections::HashMap;
use std::collections::HashSet;

use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::HostName;

/// Direction of a message as seen from this host.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Direction {
    /// Messages that this host sends: its requests and its replies.
    Outbound,
    /// Messages that this host receives: the remote side's requests and replies.
    Inbound,
}

/// The remote side of a cut.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Remote {
    /// One entry host.
    Host(HostName),
    /// All entry hosts of a failure domain.
    Domain(DomainName),
}

/// A simulated network failure that drops all messages of one direction between this host and a
/// remote side.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Cut {
    /// Direction of the dropped messages.
    pub direction: Direction,
    /// Remote side of the dropped messages.
    pub remote: Remote,
}

/// The cuts in effect, and the failure domains of the peers.
#[derive(Debug, Default)]
pub(super) struct LinkFilter {
    cuts: HashSet<Cut>,
    domains: HashMap<HostName, DomainName>,
}

impl LinkFilter {
    pub(super) fn set(&mut self, cut: Cut, active: bool) {
        if active {
            self.cuts.insert(cut);
        } else {
            self.cuts.remove(&cut);
        }
    }

    pub(super) fn set_domain(&mut self, host: &HostName, domain: &DomainName) {
        self.domains.insert(host.clone(), domain.clone());
    }

    pub(super) fn forget(&mut self, host: &HostName) {
        self.domains.remove(host);
    }

    pub(super) fn cuts(&self) -> Vec<Cut> {
        self.cuts.iter().cloned().collect()
    }

    pub(super) fn is_cut(&self, host: &HostName, direction: Direction) -> bool {
        if self.cuts.is_empty() {
            return false;
        }
        if self.cuts.contains(&Cut { direction, remote: Remote::Host(host.clone()) }) {
            return true;
        }
        let Some(domain) = self.domains.get(host) else {
            return false;
        };
        self.cuts.contains(&Cut { direction, remote: Remote::Domain(domain.clone()) })
    }
}
