//! Messages between entry hosts.

use serde::Deserialize;
use serde::Serialize;

/// A request of this slice to another entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetMessage {
    /// Asks whether the receiver is alive.
    Probe {
        /// Number that the answer repeats.
        number: u64,
    },
}

/// The answer to a [`FleetMessage`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetReply {
    /// The sender is alive.
    Ack {
        /// Number of the probe.
        number: u64,
    },
}
