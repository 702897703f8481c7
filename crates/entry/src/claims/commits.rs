//! Commits of operations where the record of the key is kept: by this host or by another one.

use yuccanotch_core::claim::home_order;
use yuccanotch_core::claim::segment_key;
use yuccanotch_core::claim::BoundKey;
use yuccanotch_core::claim::ClaimKey;
use yuccanotch_core::claim::ClaimMessage;
use yuccanotch_core::claim::ClaimReply;
use yuccanotch_core::claim::Holder;
use yuccanotch_core::claim::Op;
use yuccanotch_core::claim::OpReply;
use yuccanotch_core::claim::SegmentRead;
use yuccanotch_core::claim::SlotId;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::name::HostName;
use yuccanotch_core::peer::PeerReply;
use yuccanotch_core::peer::PeerRequest;

use super::ClaimRequest;
use super::Claims;
use crate::host::Host;

/// Longest wait for the reply to an operation, from this host's committer or from another host.
pub(super) const COMMIT_TIMEOUT: Millis = Millis(900);
/// Added to the time that a peer may take, so that its reply at the end of that time still arrives.
pub(super) const PEER_REPLY_MARGIN: Millis = Millis(300);
/// Time for which a home that did not reply is passed over.
const UNRESPONSIVE_HOME_SPAN: Millis = Millis(2_000);

/// Where the record of a key is kept.
#[derive(Clone, Debug)]
pub(super) enum RecordLocation {
    /// In a slot in the store.
    Slot(SlotId),
    /// In the memory of this process, the one that issued the key.
    Bound(Holder),
}

impl Claims {
    /// Returns where the record of a key is kept; `None` when the layout cannot be read.
    pub(super) fn locate_record(
        &self,
        req: &ClaimRequest,
        key: ClaimKey,
    ) -> Option<RecordLocation> {
        if let Ok(bound) = req.key.parse::<BoundKey>() {
            return Some(RecordLocation::Bound(bound.arbiter));
        }
        let layout = self.layout.get(self.store.as_ref())?;
        Some(RecordLocation::Slot(key.slot(layout.slots)))
    }

    /// Commits an operation where the key's record is kept; returns `None` when no reply arrived.
    pub(super) fn commit(&self, host: &Host, location: &RecordLocation, op: Op) -> Option<OpReply> {
        match location {
            RecordLocation::Slot(slot) => self.commit_slot(host, *slot, op),
            RecordLocation::Bound(arbiter) => self.commit_bound(host, arbiter, op),
        }
    }

    fn commit_slot(&self, host: &Host, slot: SlotId, op: Op) -> Option<OpReply> {
        let home = self.choose_home(host, slot);
        let seen = self.lock().seen_sequences.get(&slot).copied().unwrap_or(0);
        let reply = if home == self.holder.host {
            self.committer.commit(slot, seen, op, COMMIT_TIMEOUT)
        } else {
            let message = ClaimMessage::Commit { slot, seen, op };
            match self.call_peer(host, &home, message, COMMIT_TIMEOUT + PEER_REPLY_MARGIN) {
                Some(ClaimReply::Op(reply)) => Some(reply),
                _ => None,
            }
        };
        let local = &mut *self.lock();
        match &reply {
            Some(OpReply::Recorded { sequence, .. }) => {
                let seen = local.seen_sequences.entry(slot).or_default();
                *seen = (*seen).max(*sequence);
            }
            None => {
                local.unresponsive_homes.insert(home, self.clock.now() + UNRESPONSIVE_HOME_SPAN);
            }
            Some(_) => {}
        }
        reply
    }

    fn commit_bound(&self, host: &Host, arbiter: &Holder, op: Op) -> Option<OpReply> {
        let incarnation = arbiter.incarnation;
        if arbiter.host == self.holder.host {
            let now = self.clock.unix_now();
            return Some(self.lock().bound.commit(incarnation, &op, now));
        }
        let message = ClaimMessage::CommitBound { incarnation, op };
        match self.call_peer(host, &arbiter.host, message, COMMIT_TIMEOUT) {
            Some(ClaimReply::Op(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Returns the host that commits operations on a slot: the first host in the slot's order that
    /// is not passed over, or this host when there is none.
    pub(super) fn choose_home(&self, host: &Host, slot: SlotId) -> HostName {
        let mut members: Vec<HostName> =
            host.fleet.members().usable().map(|(name, _)| name.clone()).collect();
        if !members.contains(&self.holder.host) && !host.is_draining() {
            members.push(self.holder.host.clone());
        }
        let now = self.clock.now();
        let unresponsive_homes = &mut self.lock().unresponsive_homes;
        unresponsive_homes.retain(|_, until| *until > now);
        let order = home_order(slot, &members);
        let responsive = order.iter().find(|name| !unresponsive_homes.contains_key(*name));
        responsive.unwrap_or(&self.holder.host).clone()
    }

    /// Sends a message about claims to another host; returns `None` when no reply arrived.
    pub(super) fn call_peer(
        &self,
        host: &Host,
        to: &HostName,
        message: ClaimMessage,
        timeout: Millis,
    ) -> Option<ClaimReply> {
        match host.peers.call(to, PeerRequest::Claim(message), timeout) {
            Ok(PeerReply::Claim(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Reads the record of a key from a sealed segment of its slot.
    pub(super) fn read_segment(
        &self,
        location: &RecordLocation,
        key: ClaimKey,
        id: u64,
    ) -> SegmentRead {
        let RecordLocation::Slot(slot) = location else {
            return SegmentRead::Missing;
        };
        SegmentRead::from_store(self.store.get(&segment_key(*slot, id)), key)
    }
}
