//! Messages between entry hosts.

use serde::Deserialize;
use serde::Serialize;

/// Stable short identifier of a team.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct TeamId(pub u64);

impl TeamId {
    /// Computes the identifier of a team's name.
    pub fn of(name: &str) -> Self {
        Self(crate::digest::fast_hash(name.as_bytes()))
    }
}

/// Requests in a second, in thousandths.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct MilliRate(pub u64);

impl MilliRate {
    /// Creates a rate from whole requests a second.
    pub fn per_s(requests: u32) -> Self {
        Self(u64::from(requests) * 1_000)
    }
}

/// What one host was asked for on behalf of one limited team.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// Team.
    pub team: TeamId,
    /// The team's limit over all hosts.
    pub limit: MilliRate,
    /// Requests that arrived, refused ones included.
    pub offered: MilliRate,
}

/// What a team's home grants to one host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Team.
    pub team: TeamId,
    /// Share of the team's limit.
    pub share: MilliRate,
}

/// A request of this slice to another entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ShareMessage {
    /// Reports demand to the home of some teams.
    Report(Vec<Demand>),
}

/// The answer to a [`ShareMessage`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ShareReply {
    /// The sender's shares of the teams that it reported.
    Grants(Vec<Grant>),
}
