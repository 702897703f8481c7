//! Errors of reading and writing the configuration.

use quick_error::quick_error;

use crate::finding::Finding;
use crate::ids::ConfigNumber;
use crate::store::StoreError;

quick_error! {
    /// Reasons why a configuration could not be read or written.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ConfigError {
        /// A stored value cannot be decoded or does not match its digest.
        Malformed(text: String) {
            display("malformed configuration in the store: {}", text)
        }
        /// A chunk that the manifest refers to is missing.
        MissingChunk(key: String) {
            display("the store has no key {}", key)
        }
        /// A call to the store failed; the configuration was not changed.
        Store(e: StoreError) {
            display("{}; nothing was changed", e)
            from()
        }
        /// The declaration does not pass its checks.
        Invalid(findings: Vec<Finding>) {
            display("the declaration has {} errors", findings.len())
        }
        /// A first configuration was to be written, but the store holds one already.
        Exists(number: ConfigNumber) {
            display("the store holds configuration {} already", number)
        }
        /// The store's answer was lost, so the configuration may or may not have been written.
        Unknown {
            display("the store's answer was lost; the configuration may have been written")
        }
    }
}
