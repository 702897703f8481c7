//! Table of the known entry hosts.

use std::collections::BTreeMap;
use std::hash::Hash as _;
use std::hash::Hasher as _;

use xxhash_rust::xxh3::Xxh3;

use super::messages::MemberState;
use super::messages::MemberUpdate;
use crate::clock::Millis;
use crate::name::DomainName;
use crate::name::HostName;

/// Most entry hosts in the member table.
pub const MAX_MEMBERS: usize = 1_024;

/// Last known state of an entry host.
#[derive(Clone, Debug)]
pub struct Member {
    /// Last accepted update.
    pub update: MemberUpdate,
    /// Time on this host's clock at which the last update was accepted; reset for a suspected host
    /// after this host was paused.
    pub since: Millis,
    /// Number of messages in which this host sent the update.
    pub(super) sends: u32,
}

/// Known entry hosts by name, with a digest over them.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberTable {
    members: BTreeMap<HostName, Member>,
    digest: u64,
}

impl MemberTable {
    pub(super) fn get(&self, host: &str) -> Option<&Member> {
        self.members.get(host)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns a digest that does not depend on the order of the updates.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Stores an update unless it is superseded by the stored one; returns whether it was stored.
    pub(super) fn apply(&mut self, now: Millis, update: MemberUpdate) -> bool {
        let is_newer = match self.members.get(&update.host) {
            Some(held) => {
                update.supersedes(&held.update) || crate::defect::planted!(AcceptStaleMember)
            }
            // A dead host that is not in the table needs no entry.
            None => update.state != MemberState::Dead && self.members.len() < MAX_MEMBERS,
        };
        if !is_newer {
            return false;
        }
        self.digest ^= hash_update(&update);
        let member = Member { since: now, sends: 0, update };
        if let Some(old) = self.members.insert(member.update.host.clone(), member) {
            self.digest ^= hash_update(&old.update);
        }
        true
    }

    /// Restarts the suspicion timeout of all suspected hosts.
    pub(super) fn extend_suspicions(&mut self, now: Millis) {
        for member in self.members.values_mut() {
            if member.update.state == MemberState::Suspect {
                member.since = now;
            }
        }
    }

    pub(super) fn remove(&mut self, host: &HostName) {
        if let Some(old) = self.members.remove(host) {
            self.digest ^= hash_update(&old.update);
        }
    }

    /// Returns the hosts of `domain`, except `own`, that are not known to be dead.
    pub(super) fn peers<'a>(
        &'a self,
        domain: &'a DomainName,
        own: &'a HostName,
    ) -> impl Iterator<Item = &'a Member> {
        self.members.values().filter(move |member| {
            member.update.domain == *domain
                && member.update.host != *own
                && member.update.state != MemberState::Dead
        })
    }

    /// Returns up to `max` updates that were sent fewer than `max_sends` times, least sent first,
    /// and counts them as sent.
    pub(super) fn take_least_sent(&mut self, max: usize, max_sends: u32) -> Vec<MemberUpdate> {
        let mut due: Vec<_> =
            self.members.values_mut().filter(|member| member.sends < max_sends).collect();
        due.sort_by_key(|member| member.sends);
        let take = |member: &mut Member| {
            member.sends += 1;
            member.update.clone()
        };
        due.into_iter().take(max).map(take).collect()
    }
}

fn hash_update(update: &MemberUpdate) -> u64 {
    let mut hasher = Xxh3::new();
    update.hash(&mut hasher);
    hasher.finish()
}
