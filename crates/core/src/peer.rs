//! Messages between entry hosts.
//!
//! Each slice defines its own messages; this module joins them in one closed request and reply
//! pair, which the peer links carry as one bincode value per `h2` stream.

use serde::Deserialize;
use serde::Serialize;

use crate::claim::ClaimMessage;
use crate::claim::ClaimReply;
use crate::config::ConfigMessage;
use crate::config::ConfigReply;
use crate::fleet::FleetMessage;
use crate::fleet::FleetReply;
use crate::ids::ConfigNumber;
use crate::ids::Incarnation;
use crate::name::HostName;
use crate::quarantine::QuarantineMessage;
use crate::quarantine::QuarantineReply;
use crate::share::ShareMessage;
use crate::share::ShareReply;

/// First part of each peer message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerHeader {
    /// Sender.
    pub host: HostName,
    /// Sender's incarnation.
    pub incarnation: Incarnation,
    /// Highest configuration number that the sender has adopted.
    pub config: ConfigNumber,
}

/// A request from one entry host to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerRequest {
    /// A message of the claim slice.
    Claim(ClaimMessage),
    /// A message of the configuration slice.
    Config(ConfigMessage),
    /// A message of the membership slice.
    Fleet(FleetMessage),
    /// A message of the quarantine slice.
    Quarantine(QuarantineMessage),
    /// A message of the team share slice.
    Share(ShareMessage),
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerReply {
    /// The request was taken and has no result.
    Done,
    /// The receiver does not serve this request now.
    Declined,
    /// Answer to [`PeerRequest::Claim`].
    Claim(ClaimReply),
    /// Answer to [`PeerRequest::Config`].
    Config(ConfigReply),
    /// Answer to [`PeerRequest::Fleet`].
    Fleet(FleetReply),
    /// Answer to [`PeerRequest::Quarantine`].
    Quarantine(QuarantineReply),
    /// Answer to [`PeerRequest::Share`].
    Share(ShareReply),
}
