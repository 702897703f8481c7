//! Writes the first configuration and reads the current one, for hosts that start and for tests.

use crate::clock::Millis;
use crate::config::document::Document;
use crate::config::manifest::PatchId;
use crate::config::publisher::ConfigChange;
use crate::config::publisher::PublishOutcome;
use crate::config::publisher::Publisher;
use crate::config::reader::Chunks;
use crate::config::reader::Reader;
use crate::config::store_call::drive;
use crate::config::ActiveConfig;
use crate::config::ConfigError;
use crate::config::Declaration;
use crate::digest::fast_hash;
use crate::ids::ConfigNumber;
use crate::store::Store;

/// Writes the first configuration into an empty store.
///
/// Failed calls are retried without a pause. The patch id is a hash of the declaration, so after a
/// lost answer a second call with the same declaration finds out whether the first one succeeded.
///
/// # Errors
///
/// Returns an error when the declaration is invalid, when the store holds a configuration already
/// or when a call to the store fails.
pub fn write_first_config(
    store: &dyn Store,
    declaration: &Declaration,
) -> Result<ConfigNumber, ConfigError> {
    let value =
        serde_json::to_value(declaration).map_err(|e| ConfigError::Malformed(e.to_string()))?;
    let document = Document::try_from(value).map_err(ConfigError::Invalid)?;
    let id = PatchId(fast_hash(document.to_value().to_string().as_bytes()));
    let publisher = Publisher::new(id, ConfigChange::First(document));
    match drive(publisher, store, &mut |_: Millis| {}) {
        PublishOutcome::Accepted(number) | PublishOutcome::Unchanged(number) => Ok(number),
        PublishOutcome::Invalid(findings) => Err(ConfigError::Invalid(findings)),
        PublishOutcome::Failed(e) => Err(e),
        PublishOutcome::Stale { current } => Err(ConfigError::Exists(current)),
        PublishOutcome::Behind { store, .. } => Err(ConfigError::Exists(store)),
        PublishOutcome::Empty | PublishOutcome::Unknown => Err(ConfigError::Unknown),
    }
}

/// Reads the current configuration; `None` when the store holds none.
///
/// Failed calls are retried without a pause.
///
/// # Errors
///
/// Returns an error when a call to the store fails or a stored value is malformed.
pub fn read_current_config(store: &dyn Store) -> Result<Option<ActiveConfig>, ConfigError> {
    let read = drive(Reader::new(Chunks::new()), store, &mut |_: Millis| {})?;
    read.map(|stored| ActiveConfig::new(stored.manifest, stored.chunks)).transpose()
}
