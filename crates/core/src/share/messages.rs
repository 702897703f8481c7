//! Messages about team limits between entry hosts.

use serde::Deserialize;
use serde::Serialize;

/// Short identifier of a team: a hash of its name, the same on all hosts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct TeamId(pub u64);

impl TeamId {
    /// Computes the identifier of a team's name.
    pub fn of(name: &str) -> Self {
        Self(crate::digest::fast_hash(name.as_bytes()))
    }
}

/// A request rate, in thousandths of a request a second.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct MilliRate(pub u64);

impl MilliRate {
    /// Creates the rate of `requests` requests a second.
    pub fn per_s(requests: u32) -> Self {
        Self(u64::from(requests) * 1_000)
    }
}

/// The demand of one team with a request limit on one host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// Team that sends the requests.
    pub team: TeamId,
    /// The team's request limit over all hosts.
    pub limit: MilliRate,
    /// Rate of the requests that arrived at the host, refused ones included.
    pub offered: MilliRate,
}

/// The share of a team's limit that its home grants to one host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Team that the share is for.
    pub team: TeamId,
    /// Rate up to which the host admits the team's requests.
    pub share: MilliRate,
}

/// A request about team limits, sent to another entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ShareMessage {
    /// Reports the demand of some teams to their home.
    Report(Vec<Demand>),
}

/// The answer to a [`ShareMessage`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ShareReply {
    /// The shares granted to the sender for the teams that it reported.
    Grants(Vec<Grant>),
}
