//! Statistics of a model from the host's own answers.

use super::server::ServerState;

/// The expected length of an answer before the first one, in tokens.
const INITIAL_ANSWER_TOKENS: u64 = 32;

/// The time for which a run is expected to occupy its slot before the first answer, in
/// milliseconds.
const INITIAL_SLOT_TIME_MS: u64 = 1_000;

/// The weight of the history in a moving average, out of 16; a new sample has the rest.
const HISTORY_WEIGHT: u64 = 15;

/// The correction of expected times that leaves the reported ones unchanged, in percent.
pub(super) const NEUTRAL_PERCENT: u64 = 100;

/// The largest correction of expected times, in percent.
pub(super) const MAX_CORRECTION_PERCENT: u64 = 800;

/// The moving averages and corrections of one model.
#[derive(Clone, Copy, Debug)]
pub(super) struct ModelStats {
    pub(super) answer_tokens: u64,
    pub(super) slot_time_ms: u64,
    pub(super) has_answers: bool,
    pub(super) step_percent: u64,
    pub(super) first_token_percent: u64,
    pub(super) rotation: usize,
}

impl Default for ModelStats {
    fn default() -> Self {
        Self {
            answer_tokens: INITIAL_ANSWER_TOKENS,
            slot_time_ms: INITIAL_SLOT_TIME_MS,
            has_answers: false,
            step_percent: NEUTRAL_PERCENT,
            first_token_percent: NEUTRAL_PERCENT,
            rotation: 0,
        }
    }
}

/// Returns the moving average `old` after the sample `new`.
pub(super) fn weighted_average(old: u64, new: u64) -> u64 {
    // Rounds towards the new sample, so that the average can reach small values.
    let sum = old * HISTORY_WEIGHT + new;
    if new > old {
        sum.div_ceil(HISTORY_WEIGHT + 1)
    } else {
        sum / (HISTORY_WEIGHT + 1)
    }
}

/// Returns the expected time for which a run waits for a slot at a server, in microseconds.
pub(super) fn wait_us(server: &ServerState, stats: ModelStats) -> u64 {
    let ahead = u64::from(server.runs_ahead());
    if ahead == 0 {
        return 0;
    }
    // Adds a whole slot time, since a queue at a server also risks a refusal: other hosts send to
    // the server without this host knowing.
    stats.slot_time_ms * 1000 + ahead * stats.slot_time_ms * 1000 / u64::from(server.slots.max(1))
}
