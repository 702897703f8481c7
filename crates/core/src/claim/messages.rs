//! Messages about claims between entry hosts.

use serde::Deserialize;
use serde::Serialize;

use super::record::ClaimState;
use super::record::Holder;
use super::record::Nonce;
use super::record::Record;
use super::record::SlotId;
use super::rules::Op;
use crate::clock::Millis;
use crate::ids::Incarnation;

/// A request about a claim, sent to another entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimMessage {
    /// Commits an operation to a slot; sent to the slot's home.
    Commit {
        /// Slot that holds the key's record.
        slot: SlotId,
        /// Highest sequence number of the slot that the sender has seen.
        seen: u64,
        /// Operation to commit.
        op: Op,
    },
    /// Applies an operation to a key that is bound to an incarnation of the receiver.
    CommitBound {
        /// Incarnation that the key is bound to.
        incarnation: Incarnation,
        /// Operation to apply.
        op: Op,
    },
    /// Asks the holder of a claim for the state of its call.
    Ask {
        /// Process that holds the claim.
        holder: Holder,
        /// Nonce of the claim.
        nonce: Nonce,
        /// Longest time that the receiver waits for the end of the call before it replies, in ms.
        wait: Millis,
    },
}

/// The result of an operation on a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OpReply {
    /// The key's record after the operation, whether or not the operation changed it.
    Recorded {
        /// The record.
        record: Record,
        /// Sequence number of the slot; zero for a bound key.
        sequence: u64,
    },
    /// The key has no record.
    Absent,
    /// The operation failed, usually because the store did not answer; it may have taken effect.
    Unavailable,
    /// The store holds an older copy of the slot than the sender has seen.
    Restored,
    /// The incarnation that the key is bound to no longer runs, so its record is lost.
    ArbiterGone,
}

/// The reply of a claim's holder to [`ClaimMessage::Ask`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HolderStatus {
    /// The call is running or about to run.
    Running,
    /// The call has ended in this state.
    Ended(ClaimState),
    /// The claim was given up; the call was not dispatched and will not be under this nonce.
    Abandoned,
    /// The receiver has no entry for the claim: it never opened it or has dropped it since.
    Forgotten,
    /// The receiver is another incarnation of the host, so the holder no longer runs.
    Gone,
}

/// The answer to a [`ClaimMessage`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {
    /// Answer to [`ClaimMessage::Commit`] and [`ClaimMessage::CommitBound`].
    Op(OpReply),
    /// Answer to [`ClaimMessage::Ask`].
    Status(HolderStatus),
}
