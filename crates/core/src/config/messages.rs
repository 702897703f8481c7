//! Messages between entry hosts.

use serde::Deserialize;
use serde::Serialize;

/// A request of this slice to another entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigMessage {}

/// The answer to a [`ConfigMessage`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigReply {}
