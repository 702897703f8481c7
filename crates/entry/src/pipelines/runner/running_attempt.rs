//! Attempts of a request: how each starts, moves to a faster chain and ends.

use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::CancelRequest;
use yuccanotch_core::engine::Chain;
use yuccanotch_core::engine::RunRequest;
use yuccanotch_core::ids::Attempt;
use yuccanotch_core::reason::RetryReason;
use yuccanotch_core::route::ChainChoice;
use yuccanotch_core::route::Verdict;
use yuccanotch_core::stream::AttemptPlan;

use super::chain_choice::servers_of;
use super::retries::MAX_RESUMES;
use super::Runner;
use crate::pipelines::attempt;
use crate::routing::AttemptResult;

/// Smallest number of tokens after which the pace of an attempt is reported to the router.
const MIN_PACE_TOKENS: u32 = 8;

/// Smallest expected reduction of the time between tokens for which a running attempt is moved to
/// another chain, in percent.
const MIN_MOVE_GAIN_PERCENT: u32 = 50;

/// The running attempt of a request.
#[derive(Debug)]
///
pub(super) struct RunningAttempt {
    attempt: Attempt,
    chain: Chain,
    started_at: Millis,
    /// Expected time from the start to the first token.
    expected_first_token: Millis,
    has_first_token: bool,
}

impl Runner<'_> {
    /// Starts an attempt on a chosen chain; a running attempt ends.
    pub(super) fn start_attempt_on(&mut self, now: Millis, choice: ChainChoice) {
        let chain = choice.chain.clone();
        self.host.routing.on_start(now, &self.query(), &chain);
        let plan = AttemptPlan {
            chain: choice.chain,
            first_token: choice.first_token,
            step_us: choice.step_us,
        };
        let (attempt, actions) = self.stream.begin_attempt(now, plan);
        self.apply(now, actions);
        self.end_attempt(now, Verdict::Inconclusive);
        self.host.telemetry.increment_counter("yuccanotch_attempts_total", "");
        let run = self.build_run_request(now, attempt, chain.clone());
        let expected_first_token = choice.first_token;
        self.running = Some(RunningAttempt {
            attempt,
            chain,
            started_at: now,
            expected_first_token,
            has_first_token: false,
        });
        attempt::start(&self.host.engines, run, self.tx.clone());
    }

    /// Moves a slow attempt to a chain that is expected to be much faster, if one exists.
    pub(super) fn move_if_faster(&mut self, now: Millis) {
        let pace_us = self.stream.pace().mean_us();
        let chain = self.stream.chain().clone();
        self.host.routing.on_slow_chain(now, &self.job.model, &chain, pace_us);
        let choice = self.choose_chain(now);
        let limit_us = pace_us * u64::from(100 - MIN_MOVE_GAIN_PERCENT) / 100;
        match choice.filter(|choice| u64::from(choice.step_us) <= limit_us) {
            Some(choice)
                if self.resumes < MAX_RESUMES
                    && self.tracker.try_start(servers_of(&choice.chain)) =>
            {
                self.resumes += 1;
                self.count_retry(RetryReason::LinkDegraded);
                self.start_attempt_on(now, choice);
            }
            _ => self.stream.keep_chain(),
        }
    }

    /// Reports the time of the first token of the running attempt, once.
    pub(super) fn record_first_token(&mut self, now: Millis) {
        let Some(running) = self.running.as_mut().filter(|running| !running.has_first_token) else {
            return;
        };
        running.has_first_token = true;
        let observed = now.since(running.started_at);
        self.host.routing.on_first_token(&self.job.model, running.expected_first_token, observed);
        if let Some(lost_at) = self.lost_at.take() {
            let telemetry = &self.host.telemetry;
            telemetry.increment_counter("yuccanotch_recoveries_total", "");
            telemetry.add_to_counter("yuccanotch_recovery_ms_total", "", now.since(lost_at).0);
        }
    }

    /// Ends the running attempt, if any, and reports its result to the router.
    pub(super) fn end_attempt(&mut self, now: Millis, verdict: Verdict<'_>) {
        let Some(running) = self.running.take() else {
            return;
        };
        let pace = self.stream.pace();
        let is_sole_attempt = verdict == Verdict::Success && running.attempt == Attempt(1);
        let tokens = self.stream.released().len() as u32;
        self.host.routing.on_end(
            now,
            &AttemptResult {
                model: &self.job.model,
                chain: &running.chain,
                verdict,
                pace_us: (verdict == Verdict::Success && pace.tokens() >= MIN_PACE_TOKENS)
                    .then(|| pace.mean_us()),
                complete_answer: is_sole_attempt.then(|| (tokens, now.since(running.started_at))),
            },
        );
    }

    /// Cancels an attempt at the first server of the running chain.
    pub(super) fn cancel(&self, attempt: Attempt) {
        let Some(first) = self.running.as_ref().and_then(|running| running.chain.first()) else {
            return;
        };
        let cancel = CancelRequest { request: self.job.request, attempt };
        attempt::cancel(&self.host.engines, first.address.clone(), cancel);
    }

    fn build_run_request(&self, now: Millis, attempt: Attempt, chain: Chain) -> RunRequest {
        RunRequest {
            request: self.job.request,
            attempt,
            model: self.job.model.clone(),
            version: self.stream.version().clone(),
            adapter: None,
            chain,
            prompt: self.job.prompt.clone(),
            released: self.stream.resume_tokens().to_vec(),
            max_tokens: self.job.max_tokens,
            priority: self.job.priority,
            deadline_ms: self.job.deadline.since(now),
            kv_from: self.stream.kv_sources().into(),
        }
    }
}
