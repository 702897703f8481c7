//! Messages between entry hosts.

use serde::Deserialize;
use serde::Serialize;

/// A request of this slice to another entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimMessage {}

/// The answer to a [`ClaimMessage`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {}
