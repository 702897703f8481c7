//! What servers ask for, and what hosts tell each other about it.

use serde::Deserialize;
use serde::Serialize;

use crate::share::MilliRate;

/// The highest rate that is followed, in requests a second; a higher one limits nothing.
const MAX_PER_S: f64 = 100_000.0;
const MILLI_PER_UNIT: f64 = 1_000.0;

/// The rate that a server names, as far as hosts keep to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestedLimit {
    /// The server takes so many requests from all hosts together.
    Rate(MilliRate),
    /// The rate is too high to limit anything.
    Unlimited,
    /// The rate is negative or no number; what was known before stays.
    Unusable,
}

impl RequestedLimit {
    /// Creates the limit that `per_s`, of any value, asks for, in requests a second.
    pub fn from_per_s(per_s: f64) -> Self {
        if per_s.is_nan() || per_s < 0.0 {
            return Self::Unusable;
        }
        if per_s > MAX_PER_S {
            return Self::Unlimited;
        }
        Self::Rate(MilliRate((per_s * MILLI_PER_UNIT) as u64))
    }
}

/// What some host last learned of the rate of a server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitRow {
    /// The short hash of the server's name.
    pub server: u32,
    /// The incarnation of the server.
    pub boot: u64,
    /// The rate; `None` if the server names none any more.
    pub rate: Option<MilliRate>,
    /// The time since the answer that said so, in ms.
    pub age_ms: u32,
}

/// The part of a message between hosts that tells of the rates of servers. Hosts of releases before
/// it leave it unread, and their messages have none.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitRows {
    /// The servers that name a rate, or have ceased to.
    pub servers: Vec<LimitRow>,
}
