//! List in the store of the servers that are changing to another placement.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ConfigNumber;
use crate::name::ServerName;

/// Key of the [`TransitionList`] in the platform's store.
pub const TRANSITION_LIST_KEY: &str = "orders/away";

/// Servers that an issuer may have ordered to stop serving their layers; they do not count as
/// serving.
///
/// A server is added before the first order is sent to it, and removed once it reports, after that
/// order, that it satisfies the declared placement.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TransitionList {
    /// Configuration on behalf of which each server changes its placement.
    pub servers: BTreeMap<ServerName, ConfigNumber>,
}

impl TransitionList {
    /// Returns whether a server is on the list.
    pub fn contains(&self, server: &ServerName) -> bool {
        self.servers.contains_key(server)
    }

    /// Returns the list encoded as JSON, as it is stored.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("the list has only string keys")
    }

    /// Decodes a stored list; `None` when `buf` is not a valid one.
    pub fn decode(buf: &[u8]) -> Option<Self> {
        serde_json::from_slice(buf).ok()
    }
}
