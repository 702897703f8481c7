//! What a writer puts back after the store was restored from an older copy.

use super::record::Record;

/// Returns whether the restored slot misses `known` or holds an earlier state of it.
///
/// A record of the same generation under another nonce was claimed after the restore and stays,
/// because its call may be running.
pub fn needs_repair(known: &Record, restored: Option<&Record>) -> bool {
    restored.is_none_or(|restored| {
        let same_claim = restored.nonce == known.nonce && restored.holder == known.holder;
        let earlier_state = restored.state.rank() < known.state.rank();
        restored.generation < known.generation || (same_claim && earlier_state)
    })
}
