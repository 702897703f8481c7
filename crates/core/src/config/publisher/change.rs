//! Changes of the configuration and the outcomes of their publication.

use serde_json::Value;

use crate::config::document::Document;
use crate::config::ConfigError;
use crate::finding::Finding;
use crate::ids::ConfigNumber;

/// A change to publish.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigChange {
    /// The first configuration of an empty store.
    First(Document),
    /// A JSON merge patch (RFC 7396) to the configuration with a given number.
    Patch {
        /// Number that the patch was made against.
        base: ConfigNumber,
        /// The patch.
        patch: Value,
    },
    /// The configuration that entry hosts have adopted, to recover a store that was restored from
    /// an old copy.
    Recovery {
        /// Highest number that any entry host has adopted.
        highest: ConfigNumber,
        /// Declaration with that number.
        document: Document,
    },
}

/// The outcome of a publication.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PublishOutcome {
    /// The change was accepted under this number.
    Accepted(ConfigNumber),
    /// The change has no effect on the configuration; nothing was written.
    Unchanged(ConfigNumber),
    /// The base is not the current number; the change was not and will not be accepted.
    Stale {
        /// Current number.
        current: ConfigNumber,
    },
    /// The changed declaration does not pass its checks; nothing was written.
    Invalid(Vec<Finding>),
    /// The store is behind the entry hosts and has to be recovered first.
    Behind {
        /// Number in the store.
        store: ConfigNumber,
        /// Number in the mark of an entry host.
        hosts: ConfigNumber,
    },
    /// The store holds no configuration to patch.
    Empty,
    /// The change may have been accepted; publishing it again with the same id finds out.
    Unknown,
    /// The change was not accepted because of this error.
    Failed(ConfigError),
}
