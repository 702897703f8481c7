//! Revisions of the store that are ordered over its eras.
//!
//! A store that comes back from an older copy gives out revisions again, in a new era. Hosts
//! therefore compare the pair of era and revision, which this module encodes in one number.

use crate::defect::planted;

/// The bits of an ordered revision that hold the store's own revision.
const REVISION_BITS: u32 = 40;
const REVISION_MASK: u64 = (1 << REVISION_BITS) - 1;

/// Returns the number that orders the store's `revision` of `era` after all revisions of earlier
/// eras.
pub fn order_over_eras(era: u64, revision: u64) -> u64 {
    if planted!(RevisionWithoutEra) {
        return revision;
    }
    (era << REVISION_BITS) | (revision & REVISION_MASK)
}

/// Returns the era of an ordered revision.
pub fn era_of(ordered: u64) -> u64 {
    ordered >> REVISION_BITS
}

/// Returns the store's own revision of an ordered one.
pub fn revision_of(ordered: u64) -> u64 {
    ordered & REVISION_MASK
}
