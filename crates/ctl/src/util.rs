//! Helpers of several commands: file input, patch ids and store procedures.

use std::collections::hash_map::RandomState;
use std::fs;
use std::hash::BuildHasher;
use std::hash::Hasher;
use std::io;
use std::io::Read;
use std::path::Path;
use std::thread;

use serde_json::Value;
use yuccanotch_core::config::chunk_gc::ChunkCollector;
use yuccanotch_core::config::manifest::PatchId;
use yuccanotch_core::config::publisher::ConfigChange;
use yuccanotch_core::config::publisher::PublishOutcome;
use yuccanotch_core::config::publisher::Publisher;
use yuccanotch_core::config::store_call;
use yuccanotch_core::config::store_call::Procedure;
use yuccanotch_core::ids::ConfigNumber;
use yuccanotch_core::store::Store;

use crate::error::CliError;
use crate::error::CliResult;

/// Reads a file, or standard input for `-`.
pub fn read_file(path: &Path) -> CliResult<Vec<u8>> {
    let mut buf = Vec::new();
    let read = if path == Path::new("-") {
        io::stdin().read_to_end(&mut buf).map(|_| buf)
    } else {
        fs::read(path)
    };
    read.map_err(|e| CliError::Failed(format!("{}: {e}", path.display())))
}

/// Reads a JSON file, or standard input for `-`.
pub fn read_json(path: &Path) -> CliResult<Value> {
    let text = read_file(path)?;
    serde_json::from_slice(&text).map_err(|e| CliError::Usage(format!("{}: {e}", path.display())))
}

/// Returns a random patch id. The standard library seeds `RandomState` from the operating system.
pub fn random_patch_id() -> PatchId {
    PatchId(RandomState::new().build_hasher().finish())
}

/// Runs a procedure against the store and sleeps for the pauses that it asks for.
pub fn run_procedure<P: Procedure>(procedure: P, store: &dyn Store) -> P::Outcome {
    store_call::drive(procedure, store, &mut |pause| thread::sleep(pause.to_duration()))
}

/// Publishes a change and prints the number of the resulting configuration. With `id`, resumes an
/// earlier publication of the same change.
///
/// # Errors
///
/// Returns an error unless the change is accepted or the configuration already contains it.
pub fn publish(
    id: Option<PatchId>,
    base: ConfigNumber,
    change: ConfigChange,
    store: &dyn Store,
) -> CliResult<ConfigNumber> {
    let publisher = match id {
        Some(id) => Publisher::resumed(id, change),
        None => Publisher::new(random_patch_id(), change),
    };
    let id = publisher.id();
    match run_procedure(publisher, store) {
        PublishOutcome::Accepted(number) => {
            run_procedure(ChunkCollector::new(), store);
            outln!("accepted: configuration {number}, patch {id}");
            Ok(number)
        }
        PublishOutcome::Unchanged(number) => {
            outln!("unchanged: configuration {number} has this already");
            Ok(number)
        }
        PublishOutcome::Stale { current } => Err(CliError::StaleBase(base, current)),
        PublishOutcome::Invalid(findings) => Err(CliError::Findings(findings)),
        PublishOutcome::Behind { store, hosts } => Err(store_behind_error(store, hosts)),
        PublishOutcome::Empty => {
            Err(CliError::Failed("the store holds no configuration; see `init`".to_owned()))
        }
        PublishOutcome::Unknown => Err(CliError::UnknownOutcome(id)),
        PublishOutcome::Failed(e) => Err(e.into()),
    }
}

/// Returns the error for a store whose configuration is older than that of an entry host.
pub fn store_behind_error(store: ConfigNumber, hosts: ConfigNumber) -> CliError {
    CliError::Failed(format!(
        "the store is at {store}, but entry hosts hold {hosts}: it was restored from an old copy; \
         nothing was changed; see `recover`"
    ))
}
