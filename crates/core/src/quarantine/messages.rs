//! Messages between entry hosts.

use serde::Deserialize;
use serde::Serialize;

/// A request of this slice to another entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuarantineMessage {}

/// The answer to a [`QuarantineMessage`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuarantineReply {}
