//! Errors of reading and writing the configuration.

use quick_error::quick_error;

use crate::finding::Finding;
use crate::ids::ConfigNumber;
use crate::store::StoreError;

quick_error! {
    /// Why the configuration could not be read or written.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum ConfigError {
        /// A stored value is not what its key stands for.
        Malformed(text: String) {
            display("malformed configuration in the store: {}", text)
        }
        /// A chunk of the current manifest is missing.
        MissingChunk(key: String) {
            display("the store has no {}", key)
        }
        /// The store did not answer as needed; nothing was accepted.
        Store(e: StoreError) {
            display("{}; nothing was changed", e)
            from()
        }
        /// The declaration has faults.
        Invalid(findings: Vec<Finding>) {
            display("{} findings", findings.len())
        }
        /// There is a configuration already.
        Exists(number: ConfigNumber) {
            display("the store holds configuration {} already", number)
        }
        /// The answer of the store was lost.
        Unknown {
            display("the outcome is unknown")
        }
    }
}
