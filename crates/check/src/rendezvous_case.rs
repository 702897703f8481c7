//! Randomised case: rendezvous hashing.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::digest::rendezvous;

use crate::case::CaseResult;
use crate::trace::Trace;

const MAX_MEMBERS: usize = 12;
const KEYS: usize = 32;

/// Checks that removing a member moves only the keys that were assigned to it.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let count = rng.random_range(2..=MAX_MEMBERS);
    let members: Vec<String> = (0..count).map(|i| format!("host-{i}")).collect();
    let removed = &members[rng.random_range(0..count)];
    trace.add(format!("{count} members, {removed} leaves"));
    for _ in 0..KEYS {
        let key = rng.random();
        let before = rendezvous(key, members.iter().map(String::as_str));
        let remaining = members.iter().filter(|member| *member != removed);
        let after = rendezvous(key, remaining.map(String::as_str));
        if before != Some(removed) && before != after {
            return Err(format!("key {key} moved from {before:?} to {after:?}"));
        }
    }
    Ok(())
}
