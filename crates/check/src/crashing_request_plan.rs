//! What a run of the cases of crashing requests is like, as its seed draws it.

use rand::seq::IndexedRandom;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// The length of a run, in ms.
pub const RUN_MS: u64 = 18_000;
/// The length of a step, in ms.
pub const STEP_MS: u64 = 10;
/// The time before the first crashing request, and before the first other crash, in ms.
pub const QUIET_MS: u64 = 2_000;
/// The time until a server that crashed is back, in ms, unless the plan draws another one.
pub const BOOT_MS: u64 = 3_000;

/// Which server of its chain the crashing request crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashPlace {
    First,
    Last,
}

/// Parameters of a run, drawn from the seed.
#[derive(Debug)]
pub struct Plan {
    pub hosts: usize,
    pub servers: usize,
    /// The number of servers in a chain.
    pub stages: usize,
    pub place: CrashPlace,
    /// Sound requests in a step, in thousandths.
    pub sound_per_step: u32,
    /// The time between two sendings of the crashing request by its caller.
    pub crashing_interval: u64,
    pub max_attempts: u32,
    /// When servers crash for another reason, and how many.
    pub losses: Vec<(u64, usize)>,
    /// When a host starts anew.
    pub restart_at: Option<u64>,
    /// When a host is cut off from the others, for how long it is so.
    pub cut: Option<(u64, u64)>,
    /// What makes crashes last, in the case that has it.
    pub outage: Option<Outage>,
}

/// What makes crashes last: several crashing requests, slow recovery, and callers that repeat.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// The number of different crashing requests.
    pub crashing_requests: u64,
    /// The time until a server that crashed is back, in ms.
    pub boot_ms: u64,
    /// How often the caller of a sound request repeats it.
    pub caller_repeats: u32,
    /// The number of parts that prompts begin with; zero for requests without prompts.
    pub parts: u64,
    /// How many times as long as usual sound requests run.
    pub duration_factor: u64,
}

impl Outage {
    /// What holds in the case without an outage.
    const NONE: Self = Self {
        crashing_requests: 1,
        boot_ms: BOOT_MS,
        caller_repeats: 0,
        parts: 0,
        duration_factor: 1,
    };

    /// Draws what makes crashes last.
    pub fn draw(rng: &mut Pcg64Mcg) -> Self {
        Self {
            crashing_requests: rng.random_range(1..=3),
            boot_ms: STEP_MS * rng.random_range(200..=800),
            caller_repeats: rng.random_range(0..=2),
            parts: *[0, 1, 8, 60].choose(rng).expect("a number"),
            duration_factor: rng.random_range(1..=3),
        }
    }
}

impl Plan {
    /// Draws a plan; `draw_outage` draws what the case with an outage has beyond that.
    pub fn draw(rng: &mut Pcg64Mcg, draw_outage: fn(&mut Pcg64Mcg) -> Option<Outage>) -> Self {
        let servers = rng.random_range(8..=24);
        let loss_count = rng.random_range(0..=2);
        let losses = (0..loss_count)
            .map(|_| {
                (rng.random_range(QUIET_MS..RUN_MS - 8_000), rng.random_range(1..=servers / 3))
            })
            .collect();
        Self {
            hosts: rng.random_range(2..=10),
            servers,
            stages: rng.random_range(1..=4),
            place: *[CrashPlace::First, CrashPlace::Last].choose(rng).expect("a place"),
            sound_per_step: rng.random_range(20..=1_000),
            crashing_interval: *[200, 500, 1_000, 2_000].choose(rng).expect("an interval"),
            max_attempts: rng.random_range(1..=3),
            losses,
            restart_at: rng.random_bool(0.3).then_some(rng.random_range(QUIET_MS..RUN_MS - 8_000)),
            cut: rng.random_bool(0.3).then_some((rng.random_range(QUIET_MS..10_000), 4_000)),
            outage: draw_outage(rng),
        }
    }

    /// Returns what makes crashes last, or what holds without that.
    pub fn outage(&self) -> Outage {
        self.outage.unwrap_or(Outage::NONE)
    }
}
