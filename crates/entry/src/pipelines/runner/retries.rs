//! Retries after a failed attempt, within the limits of resumes and of the retry budget.

use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::Chain;
use yuccanotch_core::event::emit;
use yuccanotch_core::event::Event as LogEvent;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::reason::RefusalReason;
use yuccanotch_core::reason::RetryReason;
use yuccanotch_core::retry::FailedAttempt;
use yuccanotch_core::retry::RetryDecision;
use yuccanotch_core::route::Verdict;

use super::chain_choice::servers_of;
use super::Runner;
use crate::fleet::Health;

/// Largest number of attempts that resume an answer or move it to a faster chain.
pub(super) const MAX_RESUMES: u32 = 8;

/// Largest number of attempts refused by full servers that are retried without the retry budget.
const MAX_FULL_REFUSALS: u32 = 16;

impl Runner<'_> {
    /// Ends the failed attempt and starts another one, or gives the request up.
    pub(super) fn on_retry(
        &mut self,
        now: Millis,
        reason: RetryReason,
        server: Option<ServerName>,
    ) {
        if reason == RetryReason::LinkDegraded {
            return self.move_if_faster(now);
        }
        self.report_failure(reason, server.as_ref());
        if let Some(server) = &server {
            self.tracker.on_server_lost(server);
        }
        let chain = self.stream.chain().clone();
        self.end_attempt(now, verdict_of(reason, server.as_ref()));
        self.lost_at.get_or_insert(now);
        self.remember_failed_servers(reason, server, &chain);
        match self.retry_wait(now, reason) {
            Ok(wait) => {
                self.count_retry(reason);
                self.sleep(wait);
                self.start_attempt();
            }
            Err(refusal) => self.give_up(refusal),
        }
    }

    /// Counts and logs a retry.
    pub(super) fn count_retry(&self, reason: RetryReason) {
        self.host.telemetry.count_retry(reason);
        emit(
            LogEvent::AttemptRetried,
            format_args!(
                "request={} attempt={} reason={reason} released={}",
                self.job.request,
                self.stream.attempt(),
                self.stream.released().len()
            ),
        );
    }

    fn remember_failed_servers(
        &mut self,
        reason: RetryReason,
        server: Option<ServerName>,
        chain: &Chain,
    ) {
        match server {
            Some(server) if reason == RetryReason::ServerFull => {
                self.penalized_servers = vec![server]
            }
            Some(server) => self.failed_servers.push(server),
            None => self.penalized_servers = servers_of(chain).collect(),
        }
    }

    fn report_failure(&self, reason: RetryReason, server: Option<&ServerName>) {
        let Some(server) = server else {
            return;
        };
        if matches!(reason, RetryReason::ConnectRefused | RetryReason::StageLost) {
            self.host.fleet.report_health(server, Health::Failed);
        }
    }

    /// Returns the wait before the next attempt, or why there is none.
    ///
    /// An answer that has released tokens is always resumed, up to [`MAX_RESUMES`] times, since
    /// breaking it off would waste the work done. Only retries of an answer without a released
    /// token use the retry budget.
    fn retry_wait(&mut self, now: Millis, reason: RetryReason) -> Result<Millis, RefusalReason> {
        if !self.stream.released().is_empty() {
            self.resumes += 1;
            if self.resumes > MAX_RESUMES {
                return Err(RefusalReason::RetriesExhausted);
            }
            return Ok(self.host.routing.resume_wait(self.resumes));
        }
        if reason == RetryReason::ServerFull && self.full_refusals < MAX_FULL_REFUSALS {
            // The server ran nothing, and the number of admitted requests bounds these retries.
            self.full_refusals += 1;
            return Ok(self.host.routing.resume_wait(self.full_refusals));
        }
        let failed = FailedAttempt {
            attempt: self.stream.attempt(),
            reason,
            may_have_reached_server: self.may_have_run,
            repeatable: true,
            deadline: self.job.deadline,
        };
        match self.host.routing.on_failed_attempt(now, failed) {
            RetryDecision::Retry { wait } => Ok(wait),
            RetryDecision::GiveUp(reason) => Err(reason),
        }
    }

    fn sleep(&self, wait: Millis) {
        let left = self.job.deadline.since(self.now());
        std::thread::sleep(wait.min(left).to_duration());
    }
}

/// Returns the verdict on the servers of an attempt that failed for `reason` at `server`.
fn verdict_of(reason: RetryReason, server: Option<&ServerName>) -> Verdict<'_> {
    match (server, reason) {
        (_, RetryReason::Stalled) => Verdict::Silent,
        (_, RetryReason::ServerFull) => Verdict::Inconclusive,
        (Some(server), _) => Verdict::Failed(server),
        (None, _) => Verdict::Inconclusive,
    }
}
