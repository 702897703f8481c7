//! Recovery from the faults of a run.

use super::answers::token_gaps_us;
use super::figures::FaultFigures;
use super::latency::LatencyHistogram;
use super::throughput::THROUGHPUT_STEP_MS;
use crate::outcome::CompleteAnswer;
use crate::outcome::InjectedFault;

/// Number of throughput intervals before a fault whose mean is the baseline of the recovery.
const BASELINE_STEPS: usize = 8;
/// Throughput counts as recovered at this share of the baseline before the fault.
const RECOVERED_THROUGHPUT_SHARE: f64 = 0.8;

/// Returns the figures of a fault.
pub(super) fn fault_figures(
    fault: &InjectedFault,
    answers: &[&CompleteAnswer],
    series: &[f64],
) -> FaultFigures {
    let at_us = fault.at_ms * 1000;
    let mut pauses = LatencyHistogram::new();
    let mut resumed = 0;
    for answer in answers.iter().filter(|answer| answer.attempts > 1) {
        let (Some(first), Some(last)) =
            (answer.token_arrivals_us.first(), answer.token_arrivals_us.last())
        else {
            continue;
        };
        if *first <= at_us && at_us <= *last {
            resumed += 1;
            pauses.add(token_gaps_us(answer).max().unwrap_or(0));
        }
    }
    FaultFigures {
        label: fault.label.clone(),
        at_ms: fault.at_ms,
        for_ms: fault.for_ms,
        resumed,
        pause_ms: pauses.quantiles(),
        back_ms: recovery_time_ms(fault.at_ms, series),
    }
}

fn recovery_time_ms(at_ms: u64, series: &[f64]) -> Option<u64> {
    let step = (at_ms / THROUGHPUT_STEP_MS) as usize;
    let before = series.get(step.saturating_sub(BASELINE_STEPS)..step)?;
    if before.is_empty() {
        return None;
    }
    let baseline = before.iter().sum::<f64>() / before.len() as f64;
    let after = series.get(step + 1..)?;
    let back = after.iter().position(|rate| *rate >= baseline * RECOVERED_THROUGHPUT_SHARE)?;
    Some(back as u64 * THROUGHPUT_STEP_MS)
}
