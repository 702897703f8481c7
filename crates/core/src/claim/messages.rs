//! Messages between entry hosts.

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

/// A request of this slice to another entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimMessage {
    /// Commits an operation to a slot; sent to the slot's home.
    Commit {
        /// Slot.
        slot: SlotId,
        /// Highest sequence number of the slot that the sender has seen.
        seen: u64,
        /// Operation.
        op: Op,
    },
    /// Applies an operation to the keys that are bound to an incarnation of the receiver.
    CommitBound {
        /// Incarnation that the key is bound to.
        incarnation: Incarnation,
        /// Operation.
        op: Op,
    },
    /// Asks a holder how the call under its claim goes.
    Ask {
        /// Process that holds the claim.
        holder: Holder,
        /// Nonce of the claim.
        nonce: Nonce,
        /// Longest span to wait for the end of the call.
        wait: Millis,
    },
}

/// What is known of a key after an operation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OpReply {
    /// The record as it is kept now.
    Recorded {
        /// The record.
        record: Record,
        /// Sequence number of the slot.
        sequence: u64,
    },
    /// There is no record.
    Absent,
    /// The store did not answer; the operation may have taken effect.
    Unavailable,
    /// The store holds an older copy of the slot than the sender has seen.
    Restored,
    /// The incarnation that the key is bound to is gone.
    ArbiterGone,
}

/// What a holder says of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HolderStatus {
    /// The call is running or about to run.
    Running,
    /// The call has ended.
    Ended(ClaimState),
    /// The claim was given up; the call was not dispatched and will not be under this nonce.
    Abandoned,
    /// The receiver does not remember the claim.
    Forgotten,
    /// The receiver is another incarnation of the host.
    Gone,
}

/// The answer to a [`ClaimMessage`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {
    /// Answer to the commits.
    Op(OpReply),
    /// Answer to [`ClaimMessage::Ask`].
    Status(HolderStatus),
}
