//! Unit tests of the retry policy and its budget.

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::*;
use crate::clock::Millis;
use crate::ids::Attempt;
use crate::reason::RefusalReason;
use crate::reason::RetryReason;

fn failed(attempt: u32) -> FailedAttempt {
    FailedAttempt {
        attempt: Attempt(attempt),
        reason: RetryReason::ConnectRefused,
        may_have_reached_server: false,
        repeatable: true,
        deadline: Millis(10_000),
    }
}

#[yare::parameterized(
    may_have_reached_server = {
        FailedAttempt { may_have_reached_server: true, repeatable: false, ..failed(1) },
        RefusalReason::ServerFailed,
    },
    last_attempt = { failed(3), RefusalReason::RetriesExhausted },
    deadline = {
        FailedAttempt { deadline: Millis(100), ..failed(1) },
        RefusalReason::DeadlineExceeded,
    },
)]
fn gives_up_after_a_sent_byte_the_last_attempt_or_the_deadline(
    failed: FailedAttempt,
    reason: RefusalReason,
) {
    let mut policy = RetryPolicy::new(RetrySettings::default());
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let decision = policy.on_failure(Millis(100), failed, &mut rng);
    assert_eq!(decision, RetryDecision::GiveUp(reason));
}

#[test]
fn retries_a_non_repeatable_call_while_no_byte_was_sent() {
    let mut policy = RetryPolicy::new(RetrySettings::default());
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let failed = FailedAttempt { repeatable: false, ..failed(1) };
    let decision = policy.on_failure(Millis(100), failed, &mut rng);
    assert!(matches!(decision, RetryDecision::Retry { .. }));
}

#[test]
fn budget_follows_recent_requests_and_forgets_old_ones() {
    let mut budget = RetryBudget::new(10, 1);
    for _ in 0..50 {
        budget.on_request(Millis(1_000));
    }
    let granted = (0..20).filter(|_| budget.take(Millis(2_000))).count();
    assert_eq!(granted, 5);
    assert!(
        budget.take(Millis(30_000)),
        "the budget grants no retry without recent requests, despite its floor"
    );
    assert!(!budget.take(Millis(30_000)));
}
