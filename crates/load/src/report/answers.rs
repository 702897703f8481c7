//! Complete answers among the results of a run.

use crate::experiment::Observations;
use crate::outcome::CompleteAnswer;
use crate::outcome::SendResult;

/// Returns the complete answers of a run.
pub(super) fn complete_answers(observed: &Observations) -> impl Iterator<Item = &CompleteAnswer> {
    observed.sent.iter().filter_map(|sent| match &sent.result {
        SendResult::Complete(answer) => Some(answer),
        _ => None,
    })
}

/// Returns the times between consecutive tokens of an answer, in microseconds.
pub(super) fn token_gaps_us(answer: &CompleteAnswer) -> impl Iterator<Item = u64> + '_ {
    answer.token_arrivals_us.windows(2).map(|pair| pair[1].saturating_sub(pair[0]))
}
