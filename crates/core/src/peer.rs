//! Messages between entry hosts.
//!
//! Each decision module defines its own messages. This module combines them in one request type and
//! one reply type, which entry hosts exchange as one bincode value per HTTP/2 stream.

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

/// Header of each message between entry hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerHeader {
    /// Host that sends the message.
    pub host: HostName,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Highest configuration number that the sender has adopted.
    pub config: ConfigNumber,
}

/// A request from one entry host to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerRequest {
    /// A message of the module [`crate::claim`].
    Claim(ClaimMessage),
    /// A message of the module [`crate::config`].
    Config(ConfigMessage),
    /// A message of the module [`crate::fleet`], which keeps the membership.
    Fleet(FleetMessage),
    /// A message of the module [`crate::quarantine`].
    Quarantine(QuarantineMessage),
    /// A message of the module [`crate::share`], which divides the teams' limits among the hosts.
    Share(ShareMessage),
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerReply {
    /// The receiver has processed the request, which has no result.
    Done,
    /// The receiver cannot process this request now.
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
