//! The hosts from which this one can get changes that it does not have.

use std::cmp::Reverse;
use std::net::SocketAddrV4;

use crate::clock::Millis;
use crate::peering::messages::Peer;
use crate::peering::node::known::KnownPeer;
use crate::peering::node::Node;
use crate::peering::observations::short_hash;

impl Node {
    /// Returns the newest revision that a live host has applied, if it is beyond `revision`.
    pub fn newer_revision(&self, now: Millis, revision: u64) -> Option<u64> {
        let heard = self.peers.values().filter(|k| k.is_heard(now)).map(|k| k.revision);
        heard.max().filter(|newest| *newest > revision)
    }

    /// Returns the control addresses of the live hosts with revisions beyond `revision`, the newest one
    /// first; among equals, those of this host's own domain.
    pub fn newer_sources(&self, now: Millis, revision: u64) -> Vec<SocketAddrV4> {
        let is_newer = |k: &&KnownPeer| k.is_heard(now) && k.revision > revision;
        let mut newer: Vec<&KnownPeer> = self.peers.values().filter(is_newer).collect();
        newer.sort_unstable_by_key(|k| {
            Reverse((k.revision, k.peer.domain == self.own.domain, k.peer.gossip))
        });
        newer.into_iter().map(|k| k.peer.control).collect()
    }

    /// Returns the control addresses of the live hosts of this host's domain that have applied the
    /// changes up to `revision`, in an order that differs between hosts.
    pub fn holders(&self, now: Millis, revision: u64) -> Vec<SocketAddrV4> {
        let is_holder = |k: &&KnownPeer| {
            k.peer.domain == self.own.domain
                && k.is_heard(now)
                && !k.is_stopping
                && k.revision >= revision
        };
        let mut holders: Vec<&Peer> =
            self.peers.values().filter(is_holder).map(|k| &k.peer).collect();
        let own = short_hash(self.own.host.as_str());
        holders.sort_unstable_by_key(|p| (short_hash(p.host.as_str()) ^ own, p.gossip));
        holders.into_iter().map(|p| p.control).collect()
    }
}
