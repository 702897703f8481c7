//! The loop over the attempts of one request.

use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::Sender;

use smallvec::SmallVec;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::prefix_hashes;
use yuccanotch_core::engine::CancelRequest;
use yuccanotch_core::engine::Chain;
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
use super::ChatJob;
use super::Closing;
use super::TokenSink;
use crate::fleet::Health;
use crate::host::Host;
use crate::problem::Refusal;
use crate::quarantine::AttemptTracker;
use crate::routing::AttemptResult;

/// Most attempts that go on with an answer after its first token.
const MAX_RESUMES: u32 = 8;

/// Most attempts that servers refuse as full before the request is given up.
const MAX_FULL: u32 = 16;

/// Time between two looks at the caller's connection while nothing happens.
const CALLER_POLL: Millis = Millis(200);

/// Time between two looks for a chain while there is none.
const CHAIN_POLL: Millis = Millis(50);

/// Longest wait for a chain before the first token.
const MAX_CHAIN_WAIT: Millis = Millis(1_000);

/// Longest wait for a chain after an attempt that ran.
const MAX_RESUME_WAIT: Millis = Millis(15_000);

/// Fewest tokens of an attempt whose pace says something of its chain.
const MIN_PACE_TOKENS: u32 = 8;

/// Least gain in the expected time between tokens for which a running attempt is moved, in percent.
const MIN_MOVE_GAIN_PERCENT: u32 = 50;

/// When a refused caller should try again.
const RETRY_AFTER: Millis = Millis(1_000);

/// The attempt that runs.
#[derive(Debug)]
struct Live {
    attempt: Attempt,
    chain: Chain,
    started_at: Millis,
    first_token: Millis,
    has_token: bool,
}

/// Runs one request.
pub(super) struct Runner<'a> {
    host: &'a Host,
    job: &'a ChatJob,
    sink: &'a mut dyn TokenSink,
    stream: AnswerStream,
    live: Option<Live>,
    tx: Sender<Progress>,
    rx: Receiver<Progress>,
    prefixes: SmallVec<[u64; 16]>,
    prompt_words: u32,
    avoid: Vec<ServerName>,
    shun: Vec<ServerName>,
    watch: AttemptTracker<'a>,
    resumes: u32,
    full: u32,
    may_have_run: bool,
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
            live: None,
            tx,
            rx,
            prefixes: prefix_hashes(&job.prompt),
            prompt_words: words(&job.prompt),
            avoid: Vec::new(),
            shun: Vec::new(),
            watch: AttemptTracker::new(host, job.request, fingerprint(job)),
            resumes: 0,
            full: 0,
            may_have_run: false,
            lost_at: None,
            outcome: None,
        }
    }

    /// Runs the request to its end.
    pub(super) fn run(mut self) -> Result<Closing, Refusal> {
        self.host.routing.on_request(self.now());
        self.begin();
        while self.outcome.is_none() {
            self.step();
        }
        match self.outcome.take() {
            Some(Ok(closing)) => Ok(self.closing(&closing)),
            Some(Err(reason)) => Err(self.refusal(reason)),
            None => Err(self.refusal(RefusalReason::ServerFailed)),
        }
    }

    fn now(&self) -> Millis {
        self.host.clock.now()
    }

    /// Waits for the next frame, end or limit and acts on it.
    fn step(&mut self) {
        let now = self.now();
        let wake_at = self.stream.wake_at().unwrap_or(now);
        let wait = wake_at.since(now).min(CALLER_POLL);
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
            Progress::Taken => {
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
                    self.host.telemetry.frame_fault(fault);
                    emit(
                        LogEvent::FrameDropped,
                        format_args!("request={} fault={fault}", self.job.request),
                    );
                }
            }
        }
    }

    fn on_release(&mut self, now: Millis, token: &str) {
        self.note_first_token(now);
        if self.sink.token(token).is_err() {
            let actions = self.stream.on_event(now, Event::CallerGone);
            self.apply(now, actions);
        }
    }

    fn note_first_token(&mut self, now: Millis) {
        let Some(live) = self.live.as_mut().filter(|live| !live.has_token) else {
            return;
        };
        live.has_token = true;
        let observed = now.since(live.started_at);
        self.host.routing.on_first_token(&self.job.model, live.first_token, observed);
        if let Some(lost_at) = self.lost_at.take() {
            let telemetry = &self.host.telemetry;
            telemetry.counter("yuccanotch_recoveries_total", "");
            telemetry.counter_by("yuccanotch_recovery_ms_total", "", now.since(lost_at).0);
        }
    }

    fn on_close(&mut self, now: Millis, closing: stream::Closing) {
        self.end_live(now, Verdict::Success);
        self.watch.mark_answer_complete();
        self.outcome = Some(Ok(closing));
    }

    fn on_fail(&mut self, now: Millis, reason: RefusalReason) {
        self.end_live(now, Verdict::Inconclusive);
        self.outcome = Some(Err(reason));
    }

    fn on_retry(&mut self, now: Millis, reason: RetryReason, server: Option<ServerName>) {
        if reason == RetryReason::LinkDegraded {
            return self.consider_move(now);
        }
        let verdict = match (&server, reason) {
            (_, RetryReason::Stalled) => Verdict::Silent,
            (_, RetryReason::ServerFull) => Verdict::Inconclusive,
            (Some(server), _) => Verdict::Failed(server),
            (None, _) => Verdict::Inconclusive,
        };
        self.report_health(reason, server.as_ref());
        if let Some(server) = &server {
            self.watch.on_server_lost(server);
        }
        let chain = self.stream.chain().clone();
        self.end_live(now, verdict);
        self.lost_at.get_or_insert(now);
        match server {
            Some(server) if reason == RetryReason::ServerFull => self.shun = vec![server],
            Some(server) => self.avoid.push(server),
            None => self.shun = chain.iter().map(|hop| hop.server.clone()).collect(),
        }
        match self.next_wait(now, reason) {
            Ok(wait) => {
                self.count_retry(reason);
                self.sleep(wait);
                self.begin();
            }
            Err(refusal) => self.give_up(refusal),
        }
    }

    fn report_health(&self, reason: RetryReason, server: Option<&ServerName>) {
        let Some(server) = server else {
            return;
        };
        if matches!(reason, RetryReason::ConnectRefused | RetryReason::StageLost) {
            self.host.fleet.report(server, Health::Failed);
        }
    }

    fn count_retry(&self, reason: RetryReason) {
        self.host.telemetry.retry(reason);
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

    /// Returns the wait before the next attempt.
    ///
    /// An answer that has begun is always gone on with, within a cap: to cut it would waste the
    /// work done. Only attempts that start from nothing draw on the budget of retries.
    fn next_wait(&mut self, now: Millis, reason: RetryReason) -> Result<Millis, RefusalReason> {
        if !self.stream.released().is_empty() {
            self.resumes += 1;
            if self.resumes > MAX_RESUMES {
                return Err(RefusalReason::RetriesExhausted);
            }
            return Ok(self.host.routing.resume_wait(self.resumes));
        }
        if reason == RetryReason::ServerFull && self.full < MAX_FULL {
            // Nothing ran, and the admitted requests bound how many ask again.
            self.full += 1;
            return Ok(self.host.routing.resume_wait(self.full));
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

    /// Begins an attempt, waiting for a chain when there is none at the moment.
    fn begin(&mut self) {
        let started = self.now();
        loop {
            let now = self.now();
            if self.watch.is_quarantined() {
                return self.give_up(RefusalReason::Quarantined);
            }
            if let Some(choice) = self.choose(now) {
                if self.watch.try_start(servers(&choice.chain)) {
                    return self.begin_on(self.now(), choice);
                }
            }
            if self.repin() {
                continue;
            }
            if let Some(reason) = self.no_chain(now, started) {
                return self.give_up(reason);
            }
            std::thread::sleep(CHAIN_POLL.to_duration());
            if self.sink.is_gone() {
                return self.handle(Event::CallerGone);
            }
        }
    }

    fn no_chain(&self, now: Millis, started: Millis) -> Option<RefusalReason> {
        if now >= self.job.deadline {
            return Some(RefusalReason::DeadlineExceeded);
        }
        let has_begun = !self.stream.released().is_empty();
        let (limit, reason) = if has_begun {
            (MAX_RESUME_WAIT, RefusalReason::VersionGone)
        } else if self.may_have_run {
            // A request hit by a crash waits for the stage to boot again.
            (MAX_RESUME_WAIT, RefusalReason::NoChain)
        } else {
            (MAX_CHAIN_WAIT, RefusalReason::NoChain)
        };
        (now.since(started) >= limit).then_some(reason)
    }

    /// Takes the version that new requests run on now, if no token was released; returns whether
    /// the version changed.
    fn repin(&mut self) -> bool {
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

    fn choose(&self, now: Millis) -> Option<ChainChoice> {
        let view = self.host.fleet.view();
        let choose = |avoid: &[ServerName]| {
            let query = ChainQuery { avoid, ..self.query() };
            self.host.routing.choose(now, view.clone(), &query)
        };
        // A server that failed this request before is better than none, but a suspect never runs
        // beside another one.
        let excluded: Vec<ServerName> = self.watch.excluded_servers().into_iter().collect();
        let avoid: Vec<ServerName> = self.avoid.iter().chain(&excluded).cloned().collect();
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
            avoid: &self.avoid,
            penalized: &self.shun,
            cache_holders: self.stream.kv_sources(),
        }
    }

    fn begin_on(&mut self, now: Millis, choice: ChainChoice) {
        let chain = choice.chain.clone();
        self.host.routing.on_start(now, &self.query(), &chain);
        let plan = AttemptPlan {
            chain: choice.chain,
            first_token: choice.first_token,
            step_us: choice.step_us,
        };
        let (attempt, actions) = self.stream.begin_attempt(now, plan);
        self.apply(now, actions);
        self.end_live(now, Verdict::Inconclusive);
        self.host.telemetry.counter("yuccanotch_attempts_total", "");
        let run = self.run_request(now, attempt, chain.clone());
        let first_token = choice.first_token;
        self.live = Some(Live { attempt, chain, started_at: now, first_token, has_token: false });
        attempt::start(&self.host.engines, run, self.tx.clone());
    }

    fn run_request(&self, now: Millis, attempt: Attempt, chain: Chain) -> RunRequest {
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

    /// Moves a slow attempt to a chain that is expected to be much faster, if there is one.
    fn consider_move(&mut self, now: Millis) {
        let pace_us = self.stream.pace().mean_us();
        let chain = self.stream.chain().clone();
        self.host.routing.on_slow(now, &self.job.model, &chain, pace_us);
        let choice = self.choose(now);
        let limit_us = pace_us * u64::from(100 - MIN_MOVE_GAIN_PERCENT) / 100;
        match choice.filter(|choice| u64::from(choice.step_us) <= limit_us) {
            Some(choice)
                if self.resumes < MAX_RESUMES && self.watch.try_start(servers(&choice.chain)) =>
            {
                self.resumes += 1;
                self.count_retry(RetryReason::LinkDegraded);
                self.begin_on(now, choice);
            }
            _ => self.stream.keep_chain(),
        }
    }

    fn end_live(&mut self, now: Millis, verdict: Verdict<'_>) {
        let Some(live) = self.live.take() else {
            return;
        };
        let pace = self.stream.pace();
        let is_whole = verdict == Verdict::Success && live.attempt == Attempt(1);
        let tokens = self.stream.released().len() as u32;
        self.host.routing.on_end(
            now,
            &AttemptResult {
                model: &self.job.model,
                chain: &live.chain,
                verdict,
                pace_us: (verdict == Verdict::Success && pace.tokens() >= MIN_PACE_TOKENS)
                    .then(|| pace.mean_us()),
                whole: is_whole.then(|| (tokens, now.since(live.started_at))),
            },
        );
    }

    fn cancel(&self, attempt: Attempt) {
        let Some(first) = self.live.as_ref().and_then(|live| live.chain.first()) else {
            return;
        };
        let cancel = CancelRequest { request: self.job.request, attempt };
        attempt::cancel(&self.host.engines, first.address.clone(), cancel);
    }

    fn closing(&self, closing: &stream::Closing) -> Closing {
        Closing {
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
        let detail = format!("{} after {attempts} attempts and {released} tokens", text(reason));
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

fn servers(chain: &Chain) -> impl Iterator<Item = ServerName> + '_ {
    chain.iter().map(|hop| hop.server.clone())
}

fn words(prompt: &str) -> u32 {
    u32::try_from(prompt.split_whitespace().count()).unwrap_or(u32::MAX)
}

fn text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoChain => "no chain of backend servers covers the model",
        RefusalReason::VersionGone => "the model version that began the answer is gone",
        RefusalReason::RetriesExhausted => "the answer could not be completed",
        RefusalReason::DeadlineExceeded => "the deadline passed",
        RefusalReason::CallerGone => "the caller went away",
        RefusalReason::Quarantined => "the request crashed backend servers and was stopped",
        _ => "the backend servers failed",
    }
}
