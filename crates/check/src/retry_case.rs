//! Randomised case: retries while a third of the backend servers is unavailable.

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

const RUN_TIME: Millis = Millis(20_000);
/// Most attempts per request on average.
const MAX_AMPLIFICATION: f64 = 1.2;
/// Window of the retry budget. Requests before its end are not counted, because the budget's
/// minimum still allows more retries.
const WARM_UP: Millis = Millis(10_000);
/// Time from each failure to the deadline passed to the policy.
const TIME_TO_DEADLINE: Millis = Millis(3_000);

/// Numbers of requests and attempts of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptCounts {
    /// Requests after the warm-up.
    pub requests: u64,
    /// Attempts after the warm-up.
    pub attempts: u64,
    /// Requests after the warm-up that ended without an answer.
    pub failed: u64,
}

impl AttemptCounts {
    /// Returns attempts per request.
    pub fn amplification(self) -> f64 {
        self.attempts as f64 / self.requests.max(1) as f64
    }
}

/// Parameters of a run, drawn from the seed.
struct Plan {
    servers: usize,
    unavailable: usize,
    max_request_gap_ms: u64,
    /// Probability that a failed attempt may have reached its server.
    reached_server_probability: f64,
    /// Probability that a call may be repeated.
    repeatable_probability: f64,
}

/// Runs retries and checks the bounds on attempts, waits and repeated calls.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let servers = rng.random_range(6..=60);
    let plan = Plan {
        servers,
        unavailable: servers / 3,
        max_request_gap_ms: rng.random_range(2..=25),
        reached_server_probability: rng.random_range(0.0..0.6),
        repeatable_probability: rng.random_range(0.2..=1.0),
    };
    let counts = simulate(&plan, RetrySettings::default(), &mut rng)?;
    trace.add(format!("{} of {servers} servers unavailable: {counts:?}", plan.unavailable));
    if counts.amplification() > MAX_AMPLIFICATION {
        return Err(format!(
            "{} attempts per request, at most {MAX_AMPLIFICATION} are allowed",
            counts.amplification()
        ));
    }
    Ok(())
}

fn simulate(
    plan: &Plan,
    settings: RetrySettings,
    rng: &mut Pcg64Mcg,
) -> Result<AttemptCounts, String> {
    let mut policy = RetryPolicy::new(settings);
    let mut counts = AttemptCounts::default();
    // Scheduled retries: time, attempt, and whether the call may be repeated.
    let mut due_retries: Vec<(Millis, Attempt, bool)> = Vec::new();
    let mut next_request = Millis(0);
    for now in (0..RUN_TIME.0).map(Millis) {
        let mut attempts: Vec<(Attempt, bool)> = Vec::new();
        due_retries.retain(|(at, attempt, repeatable)| {
            let ready = *at <= now;
            if ready {
                attempts.push((*attempt, *repeatable));
            }
            !ready
        });
        if now >= next_request {
            next_request = now + Millis(rng.random_range(1..=plan.max_request_gap_ms));
            policy.on_request(now);
            attempts.push((Attempt(1), rng.random_bool(plan.repeatable_probability)));
            counts.requests += u64::from(now >= WARM_UP);
        }
        for (attempt, repeatable) in attempts {
            counts.attempts += u64::from(now >= WARM_UP);
            if rng.random_range(0..plan.servers) >= plan.unavailable {
                continue;
            }
            let may_have_reached_server = rng.random_bool(plan.reached_server_probability);
            let failed = FailedAttempt {
                attempt,
                reason: RetryReason::ConnectRefused,
                may_have_reached_server,
                repeatable,
                deadline: now + TIME_TO_DEADLINE,
            };
            match policy.on_failure(now, failed, rng) {
                RetryDecision::Retry { .. } if may_have_reached_server && !repeatable => {
                    return Err("a call that may not be repeated was retried after it may have reached a server".to_owned());
                }
                RetryDecision::Retry { .. } if attempt.0 >= settings.max_attempts => {
                    return Err("a request exceeded the maximum number of attempts".to_owned());
                }
                RetryDecision::Retry { wait } if wait > settings.backoff_max => {
                    return Err(format!("a retry waits {wait}, longer than the maximum backoff"));
                }
                RetryDecision::Retry { wait } => {
                    due_retries.push((now + wait.max(Millis(1)), attempt.next(), repeatable));
                }
                RetryDecision::GiveUp(_) => counts.failed += u64::from(now >= WARM_UP),
            }
        }
    }
    Ok(counts)
}
