//! What the router learns from the results of attempts.

use super::Router;
use crate::clock::Millis;
use crate::engine::Chain;
use crate::name::ModelName;
use crate::name::ServerName;
use crate::route::messages::ChainQuery;
use crate::route::messages::Verdict;
use crate::route::stats::weighted_average;
use crate::route::stats::MAX_CORRECTION_PERCENT;
use crate::route::stats::NEUTRAL_PERCENT;

impl Router {
    /// Records that an attempt of this host began on a chain.
    pub fn on_start(&mut self, now: Millis, query: &ChainQuery<'_>, chain: &Chain) {
        let indices = self.indices(chain);
        self.count_own_runs(now, &indices, 1);
        self.prefixes.record(query.prefixes, &indices);
    }

    /// Records that an attempt of this host ended on a chain.
    pub fn on_end(&mut self, now: Millis, chain: &Chain, verdict: Verdict<'_>) {
        let indices = self.indices(chain);
        self.count_own_runs(now, &indices, -1);
        match verdict {
            Verdict::Success => {
                for index in indices {
                    if let Some(server) = self.server_mut(index) {
                        server.on_success();
                    }
                }
            }
            Verdict::Failed(name) => self.on_failure(now, name),
            Verdict::Silent | Verdict::Inconclusive => {}
        }
    }

    /// Records that a server failed, so that it is avoided for a while.
    pub fn on_failure(&mut self, now: Millis, name: &ServerName) {
        if let Some(server) = self.index.get(name).copied().and_then(|i| self.server_mut(i)) {
            server.on_failure(now);
        }
    }

    /// Updates the mean answer length and slot time of `model` from a complete answer of one
    /// attempt.
    pub fn on_answer(&mut self, model: &ModelName, tokens: u32, slot_time: Millis) {
        let stats = self.stats.entry(model.clone()).or_default();
        stats.answer_tokens = weighted_average(stats.answer_tokens, u64::from(tokens)).max(1);
        stats.slot_time_ms = weighted_average(stats.slot_time_ms, slot_time.0).max(1);
        stats.has_answers = true;
    }

    /// Updates the correction of the time to the first token from the expected and the observed
    /// time of an attempt.
    pub fn on_first_token(&mut self, model: &ModelName, expected: Millis, observed: Millis) {
        let stats = self.stats.entry(model.clone()).or_default();
        let raw = expected.0.max(1) * NEUTRAL_PERCENT / stats.first_token_percent;
        let percent = (observed.0 * NEUTRAL_PERCENT / raw.max(1)).clamp(20, MAX_CORRECTION_PERCENT);
        stats.first_token_percent = weighted_average(stats.first_token_percent, percent);
    }

    /// Updates the corrections of the time between tokens from `observed_us`, the mean time between
    /// the tokens of an attempt, in microseconds.
    pub fn on_token_interval(
        &mut self,
        now: Millis,
        model: &ModelName,
        chain: &Chain,
        observed_us: u64,
    ) {
        let indices = self.indices(chain);
        if indices.len() != chain.len() {
            return;
        }
        let reported_us = self.reported_step_us(&indices).max(1);
        let stats = self.stats.entry(model.clone()).or_default();
        let expected_us = reported_us * stats.step_percent / NEUTRAL_PERCENT;
        // Caps the sample near the present correction, so that an outlier does not become the norm.
        let cap = stats.step_percent * 5 / 4 + 1;
        let percent =
            (observed_us * NEUTRAL_PERCENT / reported_us).clamp(20, MAX_CORRECTION_PERCENT);
        stats.step_percent = weighted_average(stats.step_percent, percent.min(cap));
        self.outliers.observe(now, &indices, observed_us, expected_us);
    }

    fn count_own_runs(&mut self, now: Millis, indices: &[u16], change: i32) {
        for index in indices {
            if let Some(server) = self.server_mut(*index) {
                server.on_own_run(now, change);
            }
        }
    }
}
