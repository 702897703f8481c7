//! Randomised case: claims over several entry hosts, a faulty store and a faulty network.
//!
//! A few callers send calls under a few keys to any host and send them again when they learn
//! nothing. The world checks after every event that no key is dispatched twice, that nothing told
//! as not run was or is dispatched, and that every told answer is the one that the backend server
//! gave. In the end the faults stop, and each key has to settle.

mod process;
mod simulation;
mod store;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::case::CaseResult;
use crate::trace::Trace;

use self::simulation::Plan;
use self::simulation::Simulation;

/// Runs claims under random faults.
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
