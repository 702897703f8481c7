//! Messages between entry hosts.

use serde::Deserialize;
use serde::Serialize;

/// A request of this slice to another entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ShareMessage {}

/// The answer to a [`ShareMessage`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ShareReply {}
