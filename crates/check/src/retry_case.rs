//! Randomised case: retries while a third of the backend servers is gone.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::ids::Attempt;
use yuccanotch_core::reason::RetryReason;
use yuccanotch_core::retry::FailedAttempt;
use yuccanotch_core::retry::RetryDecision;
use yuccanotch_core::retry::RetryPolicy;
use yuccanotch_core::retry::RetrySettings;

use crate::case::CaseResult;
use crate::trace::Trace;

const SPAN: Millis = Millis(20_000);
const MAX_AMPLIFICATION: f64 = 1.2;
/// Span of the budget; fewer requests than its floor allows are not judged.
const WARM_UP: Millis = Millis(10_000);
const DEADLINE: Millis = Millis(3_000);

/// What one run produced.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Requests after the warm-up.
    pub requests: u64,
    /// Attempts after the warm-up.
    pub attempts: u64,
    /// Requests that ended without an answer.
    pub failed: u64,
}

impl Load {
    /// Returns attempts per request.
    pub fn amplification(self) -> f64 {
        self.attempts as f64 / self.requests.max(1) as f64
    }
}

struct Plan {
    servers: usize,
    gone: usize,
    gap: u64,
    may_have_reached_server: f64,
    repeatable: f64,
}

/// Runs retries and checks the bounds.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let servers = rng.random_range(6..=60);
    let plan = Plan {
        servers,
        gone: servers / 3,
        gap: rng.random_range(2..=25),
        may_have_reached_server: rng.random_range(0.0..0.6),
        repeatable: rng.random_range(0.2..=1.0),
    };
    let load = drive(&plan, RetrySettings::default(), &mut rng)?;
    trace.add(format!("{} of {servers} servers gone: {load:?}", plan.gone));
    if load.amplification() > MAX_AMPLIFICATION {
        return Err(format!("{} attempts per request", load.amplification()));
    }
    Ok(())
}

fn drive(plan: &Plan, settings: RetrySettings, rng: &mut Pcg64Mcg) -> Result<Load, String> {
    let mut policy = RetryPolicy::new(settings);
    let mut load = Load::default();
    // Retries that are due, as the time, the attempt and whether the call may be repeated.
    let mut due: Vec<(Millis, Attempt, bool)> = Vec::new();
    let mut next_request = Millis(0);
    for now in (0..SPAN.0).map(Millis) {
        let mut attempts: Vec<(Attempt, bool)> = Vec::new();
        due.retain(|(at, attempt, repeatable)| {
            let ready = *at <= now;
            if ready {
                attempts.push((*attempt, *repeatable));
            }
            !ready
        });
        if now >= next_request {
            next_request = now + Millis(rng.random_range(1..=plan.gap));
            policy.on_request(now);
            attempts.push((Attempt(1), rng.random_bool(plan.repeatable)));
            load.requests += u64::from(now >= WARM_UP);
        }
        for (attempt, repeatable) in attempts {
            load.attempts += u64::from(now >= WARM_UP);
            if rng.random_range(0..plan.servers) >= plan.gone {
                continue;
            }
            let may_have_reached_server = rng.random_bool(plan.may_have_reached_server);
            let failed = FailedAttempt {
                attempt,
                reason: RetryReason::ConnectRefused,
                may_have_reached_server,
                repeatable,
                deadline: now + DEADLINE,
            };
            match policy.on_failure(now, failed, rng) {
                RetryDecision::Retry { .. } if may_have_reached_server && !repeatable => {
                    return Err("a call was repeated after a byte left".to_owned());
                }
                RetryDecision::Retry { .. } if attempt.0 >= settings.max_attempts => {
                    return Err("a request exceeded its cap of attempts".to_owned());
                }
                RetryDecision::Retry { wait } if wait > settings.backoff_max => {
                    return Err(format!("a retry waits {wait}"));
                }
                RetryDecision::Retry { wait } => {
                    due.push((now + wait.max(Millis(1)), attempt.next(), repeatable));
                }
                RetryDecision::GiveUp(_) => load.failed += u64::from(now >= WARM_UP),
            }
        }
    }
    Ok(load)
}
