//! The list of servers that may be giving up what they serve.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ConfigNumber;
use crate::name::ServerName;

/// Key of the list in the platform's store.
pub const TRANSITION_LIST_KEY: &str = "orders/away";

/// Servers that an issuer may have ordered to give up what they serve.
///
/// An entry is written before the first order is sent, and removed once the server has reported
/// that it holds what the configuration declares.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TransitionList {
    /// Configuration that each server was entered for.
    pub servers: BTreeMap<ServerName, ConfigNumber>,
}

impl TransitionList {
    /// Returns whether a server is on the list.
    pub fn contains(&self, server: &ServerName) -> bool {
        self.servers.contains_key(server)
    }

    /// Returns the list's bytes.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("the list has only string keys")
    }

    /// Reads a list; `None` for other bytes.
    pub fn decode(buf: &[u8]) -> Option<Self> {
        serde_json::from_slice(buf).ok()
    }
}
