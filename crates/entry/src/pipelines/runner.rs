//! Event loop of one request over its attempts.

use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::Sender;

use smallvec::SmallVec;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::prefix_hashes;
use yuccanotch_core::engine::CancelRequest;
use yuccanotch_core::engine::Chain;
use yuccanotch_core::engine::Holding;
use yuccanotch_core::engine::RunRequest;
use yuccanotch_core::event::emit;
use yuccanotch_core::event::Event as LogEvent;
use yuccanotch_core::ids::Attempt;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::quarantine::Fingerprint;
use yuccanotch_core::reason::RefusalReason;
use yuccanotch_core::reason::RetryReason;
use yuccanotch_core::retry::FailedAttempt;
use yuccanotch_core::retry::RetryDecision;
use yuccanotch_core::route::ChainChoice;
use yuccanotch_core::route::ChainQuery;
use yuccanotch_core::route::Verdict;
use yuccanotch_core::stream;
use yuccanotch_core::stream::Action;
use yuccanotch_core::stream::Actions;
use yuccanotch_core::stream::AnswerStream;
use yuccanotch_core::stream::AttemptPlan;
use yuccanotch_core::stream::Event;
use yuccanotch_core::stream::StreamSpec;

use super::attempt;
use super::attempt::Progress;
use super::AnswerSummary;
use super::ChatJob;
use super::TokenSink;
use crate::fleet::Health;
use crate::fleet::ServerView;
use crate::host::Host;
use crate::problem::Refusal;
use crate::quarantine::AttemptTracker;
use crate::routing::AttemptResult;

/// Largest number of attempts that resume an answer or move it to a faster chain.
const MAX_RESUMES: u32 = 8;

/// Largest number of attempts refused by full servers that are retried without the retry budget.
const MAX_FULL_REFUSALS: u32 = 16;

/// Time between two checks of the caller's connection while no event arrives.
const CALLER_POLL_INTERVAL: Millis = Millis(200);

/// Time between two tries to choose a chain while none is available.
const CHAIN_POLL_INTERVAL: Millis = Millis(50);

/// Longest wait for a chain while no attempt of the request may have run.
const MAX_CHAIN_WAIT: Millis = Millis(1_000);

/// Longest wait for a chain while a server that holds layers of the model does not answer, and no
/// attempt of the request may have run.
const MAX_RESTART_WAIT: Millis = Millis(5_000);

/// Longest wait for a chain after an attempt that may have run.
const MAX_RESUME_WAIT: Millis = Millis(15_000);

/// Smallest number of tokens after which the pace of an attempt is reported to the router.
const MIN_PACE_TOKENS: u32 = 8;

/// Smallest expected reduction of the time between tokens for which a running attempt is moved to
/// another chain, in percent.
const MIN_MOVE_GAIN_PERCENT: u32 = 50;

/// Time after which a refused caller should retry.
const RETRY_AFTER: Millis = Millis(1_000);

/// The running attempt of a request.
#[derive(Debug)]
struct RunningAttempt {
    attempt: Attempt,
    chain: Chain,
    started_at: Millis,
    /// Expected time from the start to the first token.
    expected_first_token: Millis,
    has_first_token: bool,
}

/// Runs one request: starts attempts, passes their events to the answer stream and executes the
/// actions that follow.
pub(super) struct Runner<'a> {
    host: &'a Host,
    job: &'a ChatJob,
    sink: &'a mut dyn TokenSink,
    stream: AnswerStream,
    running: Option<RunningAttempt>,
    tx: Sender<Progress>,
    rx: Receiver<Progress>,
    prefixes: SmallVec<[u64; 16]>,
    prompt_words: u32,
    /// Servers that failed this request; they are used again only when no other chain exists.
    failed_servers: Vec<ServerName>,
    /// Servers of the last failed attempt that were full or may be at fault; the router uses them
    /// only at a much higher cost.
    penalized_servers: Vec<ServerName>,
    tracker: AttemptTracker<'a>,
    resumes: u32,
    full_refusals: u32,
    may_have_run: bool,
    /// Time of the first failed attempt since an attempt last produced a token.
    lost_at: Option<Millis>,
    outcome: Option<Result<stream::Closing, RefusalReason>>,
}

impl<'a> Runner<'a> {
    pub(super) fn new(host: &'a Host, job: &'a ChatJob, sink: &'a mut dyn TokenSink) -> Self {
        let (tx, rx) = mpsc::channel();
        let stream = AnswerStream::new(StreamSpec {
            request: job.request,
            version: job.version.clone(),
            layers: job.layers,
            max_tokens: job.max_tokens,
            deadline: job.deadline,
        });
        Self {
            host,
            job,
            sink,
            stream,
            running: None,
            tx,
            rx,
            prefixes: prefix_hashes(&job.prompt),
            prompt_words: count_words(&job.prompt),
            failed_servers: Vec::new(),
            penalized_servers: Vec::new(),
            tracker: AttemptTracker::new(host, job.request, fingerprint(job)),
            resumes: 0,
            full_refusals: 0,
            may_have_run: false,
            lost_at: None,
            outcome: None,
        }
    }

    /// Runs the request until its answer is complete or refused.
    pub(super) fn run(mut self) -> Result<AnswerSummary, Refusal> {
        self.host.routing.on_request(self.now());
        self.start_attempt();
        while self.outcome.is_none() {
            self.step();
        }
        match self.outcome.take() {
            Some(Ok(closing)) => Ok(self.summary(&closing)),
            Some(Err(reason)) => Err(self.refusal(reason)),
            None => Err(self.refusal(RefusalReason::ServerFailed)),
        }
    }

    fn now(&self) -> Millis {
        self.host.clock.now()
    }

    /// Waits for the next event of an attempt or the next timeout, and handles it.
    fn step(&mut self) {
        let now = self.now();
        let wake_at = self.stream.wake_at().unwrap_or(now);
        let wait = wake_at.since(now).min(CALLER_POLL_INTERVAL);
        let event = match self.rx.recv_timeout(wait.to_duration()) {
            Ok(progress) => self.on_progress(progress),
            Err(RecvTimeoutError::Timeout) if self.sink.is_gone() => Some(Event::CallerGone),
            Err(_) => Some(Event::Tick),
        };
        if let Some(event) = event {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        let actions = self.stream.on_event(now, event);
        self.apply(now, actions);
    }

    fn on_progress(&mut self, progress: Progress) -> Option<Event> {
        match progress {
            Progress::MayHaveRun => {
                self.may_have_run = true;
                None
            }
            Progress::Event(event) => Some(event),
        }
    }

    fn apply(&mut self, now: Millis, actions: Actions) {
        for action in actions {
            match action {
                Action::Release(token) => self.on_release(now, &token),
                Action::Close(closing) => self.on_close(now, closing),
                Action::Cancel(attempt) => self.cancel(attempt),
                Action::Retry { reason, server } => self.on_retry(now, reason, server),
                Action::Fail(reason) => self.on_fail(now, reason),
                Action::Count(fault) => {
                    self.host.telemetry.count_frame_fault(fault);
                    emit(
                        LogEvent::FrameDropped,
                        format_args!("request={} fault={fault}", self.job.request),
                    );
                }
            }
        }
    }

    fn on_release(&mut self, now: Millis, token: &str) {
        self.record_first_token(now);
        if self.sink.push_token(token).is_err() {
            let actions = self.stream.on_event(now, Event::CallerGone);
            self.apply(now, actions);
        }
    }

    fn record_first_token(&mut self, now: Millis) {
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

    fn on_close(&mut self, now: Millis, closing: stream::Closing) {
        self.end_attempt(now, Verdict::Success);
        self.tracker.mark_answer_complete();
        self.outcome = Some(Ok(closing));
    }

    fn on_fail(&mut self, now: Millis, reason: RefusalReason) {
        self.end_attempt(now, Verdict::Inconclusive);
        self.outcome = Some(Err(reason));
    }

    fn on_retry(&mut self, now: Millis, reason: RetryReason, server: Option<ServerName>) {
        if reason == RetryReason::LinkDegraded {
            return self.move_if_faster(now);
        }
        let verdict = match (&server, reason) {
            (_, RetryReason::Stalled) => Verdict::Silent,
            (_, RetryReason::ServerFull) => Verdict::Inconclusive,
            (Some(server), _) => Verdict::Failed(server),
            (None, _) => Verdict::Inconclusive,
        };
        self.report_failure(reason, server.as_ref());
        if let Some(server) = &server {
            self.tracker.on_server_lost(server);
        }
        let chain = self.stream.chain().clone();
        self.end_attempt(now, verdict);
        self.lost_at.get_or_insert(now);
        match server {
            Some(server) if reason == RetryReason::ServerFull => {
                self.penalized_servers = vec![server]
            }
            Some(server) => self.failed_servers.push(server),
            None => self.penalized_servers = chain.iter().map(|hop| hop.server.clone()).collect(),
        }
        match self.retry_wait(now, reason) {
            Ok(wait) => {
                self.count_retry(reason);
                self.sleep(wait);
                self.start_attempt();
            }
            Err(refusal) => self.give_up(refusal),
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

    fn count_retry(&self, reason: RetryReason) {
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

    fn give_up(&mut self, reason: RefusalReason) {
        let now = self.now();
        let actions = self.stream.fail(reason);
        self.apply(now, actions);
    }

    /// Starts an attempt; waits for a chain when none is available.
    fn start_attempt(&mut self) {
        let started = self.now();
        loop {
            let now = self.now();
            if self.tracker.is_quarantined() {
                return self.give_up(RefusalReason::Quarantined);
            }
            if let Some(choice) = self.choose_chain(now) {
                if self.tracker.try_start(servers_of(&choice.chain)) {
                    return self.start_attempt_on(self.now(), choice);
                }
            }
            if self.switch_to_serving_version() {
                continue;
            }
            if let Some(reason) = self.chain_wait_refusal(now, started) {
                return self.give_up(reason);
            }
            std::thread::sleep(CHAIN_POLL_INTERVAL.to_duration());
            if self.sink.is_gone() {
                return self.handle(Event::CallerGone);
            }
        }
    }

    /// Returns why the wait for a chain that began at `started` has to end now, if it has to.
    fn chain_wait_refusal(&self, now: Millis, started: Millis) -> Option<RefusalReason> {
        if now >= self.job.deadline {
            return Some(RefusalReason::DeadlineExceeded);
        }
        let has_begun = !self.stream.released().is_empty();
        let (limit, reason) = if has_begun {
            (MAX_RESUME_WAIT, RefusalReason::VersionGone)
        } else if self.may_have_run {
            // The servers of a crashed stage need time to restart.
            (MAX_RESUME_WAIT, RefusalReason::NoChain)
        } else if self.has_silent_server() {
            (MAX_RESTART_WAIT, RefusalReason::NoChain)
        } else {
            (MAX_CHAIN_WAIT, RefusalReason::NoChain)
        };
        (now.since(started) >= limit).then_some(reason)
    }

    /// Returns whether a server that holds layers of the request's model version crashed lately or is
    /// suspected not to answer.
    fn has_silent_server(&self) -> bool {
        let holds_model = |holding: &Holding| {
            holding.model == self.job.model && holding.version == *self.stream.version()
        };
        let view = self.host.fleet.view();
        let crashed = self.tracker.crashed_servers();
        let is_silent = |server: &&ServerView| server.suspected || crashed.contains(&server.name);
        view.servers.values().filter(is_silent).any(|server| {
            server.report.as_ref().is_some_and(|report| report.holdings.iter().any(holds_model))
        })
    }

    /// Switches to the version on which new requests run now, unless a token was released; returns
    /// whether the version changed.
    fn switch_to_serving_version(&mut self) -> bool {
        let Some(active) = self.host.configuration.current() else {
            return false;
        };
        let Some(model) = active.declaration.models.get(&self.job.model) else {
            return false;
        };
        let version = self.host.serving_version(&self.job.model, model);
        let is_other = *self.stream.version() != version;
        is_other && model.layers == self.job.layers && self.stream.change_version(&version)
    }

    fn choose_chain(&self, now: Millis) -> Option<ChainChoice> {
        let view = self.host.fleet.view();
        let choose = |avoid: &[ServerName]| {
            let query = ChainQuery { avoid, ..self.query() };
            self.host.routing.choose(now, view.clone(), &query)
        };
        // Servers that failed this request are used again when there is no other chain. Servers
        // that the quarantine excludes are not, since a request that is suspected of crashing
        // servers must not run beside another such request, and an attempt on a crashed server is
        // lost.
        let excluded: Vec<ServerName> = self.tracker.excluded_servers().into_iter().collect();
        let avoid: Vec<ServerName> = self.failed_servers.iter().chain(&excluded).cloned().collect();
        choose(&avoid).or_else(|| choose(&excluded))
    }

    fn query(&self) -> ChainQuery<'_> {
        let released = self.stream.released().len() as u32;
        ChainQuery {
            model: &self.job.model,
            version: self.stream.version(),
            layers: self.job.layers,
            domain: &self.host.settings.domain,
            prefixes: &self.prefixes,
            prompt_words: self.prompt_words + released,
            tokens: self.job.max_tokens.saturating_sub(released),
            avoid: &self.failed_servers,
            penalized: &self.penalized_servers,
            cache_holders: self.stream.kv_sources(),
        }
    }

    fn start_attempt_on(&mut self, now: Millis, choice: ChainChoice) {
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

    /// Moves a slow attempt to a chain that is expected to be much faster, if one exists.
    fn move_if_faster(&mut self, now: Millis) {
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

    fn end_attempt(&mut self, now: Millis, verdict: Verdict<'_>) {
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

    fn cancel(&self, attempt: Attempt) {
        let Some(first) = self.running.as_ref().and_then(|running| running.chain.first()) else {
            return;
        };
        let cancel = CancelRequest { request: self.job.request, attempt };
        attempt::cancel(&self.host.engines, first.address.clone(), cancel);
    }

    fn summary(&self, closing: &stream::Closing) -> AnswerSummary {
        AnswerSummary {
            count: closing.count,
            digest: closing.digest,
            finish: closing.finish,
            prompt_tokens: closing.prompt_tokens,
            cached_tokens: closing.cached_tokens,
            attempts: closing.attempts,
            version: self.stream.version().clone(),
            chain: self.stream.chain().clone(),
        }
    }

    fn refusal(&self, reason: RefusalReason) -> Refusal {
        let released = self.stream.released().len();
        let attempts = self.stream.attempt();
        let detail =
            format!("{} after {attempts} attempts and {released} tokens", refusal_text(reason));
        let refusal = if self.may_have_run {
            Refusal::unknown(reason, detail)
        } else {
            Refusal::not_run(reason, detail)
        };
        refusal.retry_after(RETRY_AFTER)
    }
}

fn fingerprint(job: &ChatJob) -> Fingerprint {
    let body = format!("{}\n{}", job.model, job.prompt);
    Fingerprint::new(&job.team, body.as_bytes())
}

fn servers_of(chain: &Chain) -> impl Iterator<Item = ServerName> + '_ {
    chain.iter().map(|hop| hop.server.clone())
}

fn count_words(prompt: &str) -> u32 {
    u32::try_from(prompt.split_whitespace().count()).unwrap_or(u32::MAX)
}

fn refusal_text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoChain => "no chain of backend servers covers the model",
        RefusalReason::VersionGone => "the model version of the answer is no longer available",
        RefusalReason::RetriesExhausted => "the answer could not be completed",
        RefusalReason::DeadlineExceeded => "the deadline passed",
        RefusalReason::CallerGone => "the caller disconnected",
        RefusalReason::Quarantined => "the request crashed backend servers and was stopped",
        _ => "the backend servers failed",
    }
}
