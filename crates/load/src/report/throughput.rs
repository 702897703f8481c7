//! Throughput of a run and its upper bounds.

use std::collections::HashSet;
use std::ops::Range;

use yuccanotch_standin::answer_len;
use yuccanotch_standin::max_flow_bound_for;
use yuccanotch_standin::slot_bound_for;
use yuccanotch_standin::Record;
use yuccanotch_standin::StandinSettings;
use yuccanotch_standin::WorkMix;

use super::answers::complete_answers;
use super::figures::Report;
use crate::arrivals::RequestSpec;
use crate::experiment::Observations;
use crate::promises::prompt_text;
use crate::scenario::Scenario;

/// Interval of the throughput series, in milliseconds.
pub const THROUGHPUT_STEP_MS: u64 = 250;
/// Time at the start of a run that throughput figures exclude, in milliseconds.
pub(crate) const WARM_UP_MS: u64 = 1000;

/// Work that the requests of a run would cause if all were answered completely.
#[derive(Debug, Default)]
struct OfferedWork {
    tokens: f64,
    prefill_words: f64,
}

impl OfferedWork {
    /// Returns the work of the requests that were due in a window, resends excluded.
    fn in_window(scenario: &Scenario, observed: &Observations, window_us: &Range<u64>) -> Self {
        let mut offered = Self::default();
        let mut counted_requests = HashSet::new();
        for sent in &observed.sent {
            let RequestSpec::Chat { load_index, content } = &sent.spec else { continue };
            if !counted_requests.insert(sent.number) || !window_us.contains(&sent.due_us) {
                continue;
            }
            let chat = &scenario.chat[*load_index];
            let prompt = prompt_text(content);
            offered.tokens += f64::from(answer_len(&prompt).min(chat.max_tokens));
            // In the best case half of a prompt with a shared prefix is cached.
            let uncached_share = if chat.shared_prefixes > 0 { 0.5 } else { 1.0 };
            offered.prefill_words += uncached_share * prompt.split_whitespace().count() as f64;
        }
        offered
    }

    fn mix(&self) -> WorkMix {
        let has_tokens = self.tokens > 0.0;
        let words = if has_tokens { self.prefill_words / self.tokens } else { 0.0 };
        WorkMix { prefill_words_per_token: words }
    }
}

/// Returns the tokens per second that callers received, in intervals of [`THROUGHPUT_STEP_MS`].
pub(super) fn throughput_series(observed: &Observations) -> Vec<f64> {
    let mut counts: Vec<u64> = Vec::new();
    for at_us in complete_answers(observed).flat_map(|answer| &answer.token_arrivals_us) {
        let step = (at_us / (THROUGHPUT_STEP_MS * 1000)) as usize;
        if counts.len() <= step {
            counts.resize(step + 1, 0);
        }
        counts[step] += 1;
    }
    counts.into_iter().map(|count| count as f64 * 1000.0 / THROUGHPUT_STEP_MS as f64).collect()
}

/// Adds the throughput of a run and its bounds to the report.
pub(super) fn add_throughput(
    report: &mut Report,
    scenario: &Scenario,
    observed: &Observations,
    record: Option<&Record>,
    settings: &StandinSettings,
) {
    let window_us = WARM_UP_MS * 1000..u64::from(scenario.seconds) * 1_000_000;
    let window_s = (window_us.end - window_us.start) as f64 / 1e6;
    let received = complete_answers(observed).flat_map(|answer| &answer.token_arrivals_us);
    let received = received.filter(|at_us| window_us.contains(at_us)).count() as f64;
    let offered = OfferedWork::in_window(scenario, observed, &window_us);
    let mix = offered.mix();
    let bound: f64 = max_flow_bound_for(settings, mix).values().sum();
    let chat = &mut report.chat;
    chat.tokens_per_s = received / window_s.max(f64::MIN_POSITIVE);
    chat.offered_tokens_per_s = offered.tokens / window_s.max(f64::MIN_POSITIVE);
    chat.bound_tokens_per_s = bound;
    chat.slot_bound_tokens_per_s = slot_bound_for(settings, mix).values().sum();
    chat.share_of_bound = if bound > 0.0 { chat.tokens_per_s / bound } else { 0.0 };
    let received_tokens: usize = complete_answers(observed).map(|answer| answer.tokens.len()).sum();
    if let Some(record) = record {
        chat.work_per_token = record.tokens as f64 / (received_tokens as f64).max(1.0);
    }
}
