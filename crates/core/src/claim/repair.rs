//! The check that decides which records are written again after a restore of the store.

use super::record::Record;

/// Returns whether `known`, a record from before the restore, has to be written again because the
/// restored slot has no record of its key or an earlier state of it.
///
/// A record of the same generation with another nonce was claimed after the restore. It stays,
/// because its call may be running.
pub fn needs_repair(known: &Record, restored: Option<&Record>) -> bool {
    restored.is_none_or(|restored| {
        let same_claim = restored.nonce == known.nonce && restored.holder == known.holder;
        let earlier_state = restored.state.rank() < known.state.rank();
        restored.generation < known.generation || (same_claim && earlier_state)
    })
}
