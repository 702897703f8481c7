//! Randomised case: claims on several entry hosts with a faulty store and a faulty network.
//!
//! Callers send calls under a few keys to random hosts and send a call again when they receive no
//! response. The simulation checks after every event that no key is dispatched twice, that no call
//! reported as not run is dispatched before or after the report, and that every answer reported to
//! a caller is the one that the backend server gave. At the end the faults stop, and a final
//! request for each key has to be answered.

mod callers;
mod calls;
mod commits;
mod dispatch;
mod event;
mod faults;
mod invariants;
mod network;
mod outcomes;
mod plan;
mod process;
mod simulation;
mod store;
mod store_calls;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::case::CaseResult;
use crate::trace::Trace;

use self::plan::Plan;
use self::simulation::Simulation;

/// Runs the claim modules under random faults and checks the invariants.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let plan = if rng.random_bool(0.15) {
        Plan::with_restore(&mut rng)
    } else {
        Plan::without_restore(&mut rng)
    };
    trace.add(format!("{plan:?}"));
    Simulation::new(plan, rng, trace).run()
}
