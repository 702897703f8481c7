//! What a host's own answers say of a model.

use super::server::ServerState;

/// Tokens of an answer that are expected before any was seen.
const INITIAL_ANSWER_TOKENS: u64 = 32;

/// Span for which a run holds its slot before any run was seen, in milliseconds.
const INITIAL_SLOT_TIME_MS: u64 = 1_000;

/// Weight of the history against a new sample, out of 16.
const HISTORY_WEIGHT: u64 = 15;

/// Correction of expected times that agrees with the reports.
pub(super) const NEUTRAL_PERCENT: u64 = 100;

/// Largest correction of expected times.
pub(super) const MAX_CORRECTION_PERCENT: u64 = 800;

/// What the host's own answers say of one model.
#[derive(Clone, Copy, Debug)]
pub(super) struct ModelStats {
    pub(super) answer_tokens: u64,
    pub(super) slot_time_ms: u64,
    pub(super) has_answers: bool,
    pub(super) step_percent: u64,
    pub(super) first_percent: u64,
    pub(super) rotation: usize,
}

impl Default for ModelStats {
    fn default() -> Self {
        Self {
            answer_tokens: INITIAL_ANSWER_TOKENS,
            slot_time_ms: INITIAL_SLOT_TIME_MS,
            has_answers: false,
            step_percent: NEUTRAL_PERCENT,
            first_percent: NEUTRAL_PERCENT,
            rotation: 0,
        }
    }
}

/// Moves an average towards a new sample.
pub(super) fn weighted_average(old: u64, new: u64) -> u64 {
    // Rounds towards the new value, so that small values are reached.
    let sum = old * HISTORY_WEIGHT + new;
    if new > old {
        sum.div_ceil(HISTORY_WEIGHT + 1)
    } else {
        sum / (HISTORY_WEIGHT + 1)
    }
}

/// Returns how long a run waits for its turn at a server.
pub(super) fn wait_us(server: &ServerState, stats: ModelStats) -> u64 {
    let ahead = u64::from(server.runs_ahead());
    if ahead == 0 {
        return 0;
    }
    // A queue at a server also risks a refusal, since other hosts send to it unseen.
    stats.slot_time_ms * 1000 + ahead * stats.slot_time_ms * 1000 / u64::from(server.slots.max(1))
}
