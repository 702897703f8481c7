//! Sends the requests of a scenario to a target and injects its faults on schedule.

use std::io::IsTerminal;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::seq::IndexedRandom;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::reason::Outcome;
use yuccanotch_local::client::CallError;
use yuccanotch_local::client::Caller;

use crate::arrivals::generate_arrivals;
use crate::arrivals::schedule_faults;
use crate::arrivals::Arrival;
use crate::arrivals::RequestSpec;
use crate::error::LoadError;
use crate::outcome::CompleteAnswer;
use crate::outcome::InjectedFault;
use crate::outcome::SendRecord;
use crate::outcome::SendResult;
use crate::plan::team_key;
use crate::scenario::Scenario;
use crate::scenario::TimedFault;
use crate::target::Target;

/// Each caller has a thread of its own; later arrivals are delayed while this many are active.
const MAX_CONCURRENT_CALLERS: usize = 1500;
const CALLER_STACK_BYTES: usize = 256 << 10;
/// Added to the deadline of a model request to get the caller's own timeout.
const DEADLINE_MARGIN_MS: u64 = 3_000;
const SERVICE_CALL_TIMEOUT: Duration = Duration::from_secs(12);
const MAX_CONNECT_ATTEMPTS: usize = 25;
/// Delay between attempts to reach an entry host, and between checks for a free caller.
const RECONNECT_DELAY: Duration = Duration::from_millis(40);
/// Delay before a caller resends a request.
const RESEND_DELAY: Duration = Duration::from_millis(150);
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Everything that callers observed in a run.
#[derive(Debug, Default)]
pub struct Observations {
    /// Every send with its result, in order of completion.
    pub sent: Vec<SendRecord>,
    /// Injected faults, in order of their start.
    pub faults: Vec<InjectedFault>,
    /// Number of connections that callers opened or tried to open.
    pub connections: u64,
    /// Number of arrivals that were sent late because [`MAX_CONCURRENT_CALLERS`] were active.
    pub delayed_arrivals: u64,
}

struct Run<'a> {
    target: &'a Target,
    scenario: &'a Scenario,
    seed: u64,
    started: Instant,
    sent: Mutex<Vec<SendRecord>>,
    faults: Mutex<Vec<InjectedFault>>,
    connections: AtomicU64,
    active_callers: AtomicUsize,
    received_tokens: AtomicU64,
    is_done: AtomicBool,
}

/// Runs a scenario until its last request has a final result.
///
/// # Errors
///
/// Returns an error when a thread cannot be started.
pub fn run(target: &Target, scenario: &Scenario, seed: u64) -> Result<Observations, LoadError> {
    let run = Run {
        target,
        scenario,
        seed,
        started: Instant::now(),
        sent: Mutex::default(),
        faults: Mutex::default(),
        connections: AtomicU64::new(0),
        active_callers: AtomicUsize::new(0),
        received_tokens: AtomicU64::new(0),
        is_done: AtomicBool::new(false),
    };
    let delayed_arrivals = thread::scope(|scope| {
        if std::io::stderr().is_terminal() {
            scope.spawn(|| run.show_progress());
        }
        let delayed = thread::scope(|scope| {
            for (at_ms, fault) in schedule_faults(scenario, seed) {
                let run = &run;
                scope.spawn(move || run.inject(at_ms, &fault));
            }
            run.send_all(scope)
        });
        run.is_done.store(true, Ordering::SeqCst);
        delayed
    })?;
    let mut faults = run.faults.into_inner().unwrap_or_else(PoisonError::into_inner);
    faults.sort_by_key(|fault| fault.at_ms);
    Ok(Observations {
        sent: run.sent.into_inner().unwrap_or_else(PoisonError::into_inner),
        faults,
        connections: run.connections.into_inner(),
        delayed_arrivals,
    })
}

impl<'a> Run<'a> {
    fn now_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    fn sleep_until(&self, at_us: u64) {
        thread::sleep(Duration::from_micros(at_us.saturating_sub(self.now_us())));
    }

    fn inject(&self, at_ms: u64, fault: &TimedFault) {
        self.sleep_until(at_ms * 1000);
        let at_ms = self.now_us() / 1000;
        let error = self.target.apply_fault(&fault.action).err().map(|e| e.to_string());
        let injected =
            InjectedFault { label: fault.label(), at_ms, for_ms: fault.duration_ms(), error };
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).push(injected);
    }

    fn send_all<'scope>(
        &'scope self,
        scope: &'scope thread::Scope<'scope, '_>,
    ) -> Result<u64, LoadError> {
        let mut delayed = 0;
        for arrival in generate_arrivals(self.scenario, self.seed) {
            self.sleep_until(arrival.at_us);
            if self.active_callers.load(Ordering::SeqCst) >= MAX_CONCURRENT_CALLERS {
                delayed += 1;
                while self.active_callers.load(Ordering::SeqCst) >= MAX_CONCURRENT_CALLERS {
                    thread::sleep(RECONNECT_DELAY);
                }
            }
            self.active_callers.fetch_add(1, Ordering::SeqCst);
            let builder = thread::Builder::new().stack_size(CALLER_STACK_BYTES);
            builder.spawn_scoped(scope, move || {
                self.send_until_settled(&arrival);
                self.active_callers.fetch_sub(1, Ordering::SeqCst);
            })?;
        }
        Ok(delayed)
    }

    /// Sends one request, and resends it until it has a final result or no resends are left.
    fn send_until_settled(&self, arrival: &Arrival) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ arrival.at_us);
        let (team, timeout, resends) = self.caller_settings(&arrival.spec);
        let caller = Caller::new(&team_key(team), timeout);
        let mut last_entry = None;
        for send in 0..=resends {
            if send > 0 {
                thread::sleep(RESEND_DELAY);
            }
            let started_us = self.now_us();
            let result = self.send_once(&caller, arrival, &mut rng, &mut last_entry);
            let resend = should_resend(&arrival.spec, &result);
            let sent = SendRecord {
                number: arrival.number,
                spec: arrival.spec.clone(),
                due_us: if send == 0 { arrival.at_us } else { started_us },
                started_us,
                ended_us: self.now_us(),
                result,
            };
            self.sent.lock().unwrap_or_else(PoisonError::into_inner).push(sent);
            if !resend {
                return;
            }
        }
    }

    fn caller_settings(&self, spec: &RequestSpec) -> (&'a str, Duration, u32) {
        match spec {
            RequestSpec::Chat { load_index, .. } => {
                let chat = &self.scenario.chat[*load_index];
                let timeout = Duration::from_millis(chat.deadline_ms + DEADLINE_MARGIN_MS);
                (&chat.team, timeout, chat.resends)
            }
            RequestSpec::Call { load_index, .. } => {
                let call = &self.scenario.calls[*load_index];
                (&call.team, SERVICE_CALL_TIMEOUT, call.resends)
            }
        }
    }

    /// Sends a request once, to an entry host other than `last_entry` where possible. Tries further
    /// hosts while none can be reached.
    fn send_once(
        &self,
        caller: &Caller,
        arrival: &Arrival,
        rng: &mut Pcg64Mcg,
        last_entry: &mut Option<SocketAddr>,
    ) -> SendResult {
        for _ in 0..MAX_CONNECT_ATTEMPTS {
            let entries = self.target.entries();
            let others: Vec<SocketAddr> =
                entries.iter().copied().filter(|entry| Some(*entry) != *last_entry).collect();
            let choice = others.choose(rng).or_else(|| entries.choose(rng)).copied();
            if let Some(entry) = choice {
                *last_entry = Some(entry);
                self.connections.fetch_add(1, Ordering::SeqCst);
                match self.send_to_entry(caller, arrival, entry) {
                    SendResult::NotSent => {}
                    result => return result,
                }
            }
            thread::sleep(RECONNECT_DELAY);
        }
        SendResult::NotSent
    }

    fn send_to_entry(&self, caller: &Caller, arrival: &Arrival, entry: SocketAddr) -> SendResult {
        match &arrival.spec {
            RequestSpec::Chat { load_index, content } => {
                let chat = &self.scenario.chat[*load_index];
                let started_us = self.now_us();
                let deadline = Some(Millis(chat.deadline_ms));
                let answer = caller.chat(entry, &chat.model, content, chat.max_tokens, deadline);
                match answer {
                    Ok(answer) => {
                        self.received_tokens
                            .fetch_add(answer.tokens.len() as u64, Ordering::Relaxed);
                        let arrivals = answer.token_arrivals.iter();
                        SendResult::Complete(CompleteAnswer {
                            token_arrivals_us: arrivals
                                .map(|at| started_us + at.0 * 1000)
                                .collect(),
                            tokens: answer.tokens,
                            version: answer.closing.version,
                            reported_tokens: answer.closing.tokens,
                            reported_digest: answer.closing.digest,
                            attempts: answer.closing.attempts,
                        })
                    }
                    Err(e) => to_send_result(e),
                }
            }
            RequestSpec::Call { load_index, key } => {
                let call = &self.scenario.calls[*load_index];
                let path = call_path(&call.service, &call.path, arrival.number);
                let body = call_body(arrival.number);
                let method = call.method.as_str();
                let body = if method == "GET" { "" } else { &body };
                match caller.call_service(entry, method, &path, key.as_deref(), body) {
                    Ok(answer) => SendResult::Answered { status: answer.status, body: answer.body },
                    Err(e) => to_send_result(e),
                }
            }
        }
    }

    fn show_progress(&self) {
        let mut tokens_before = 0;
        while !self.is_done.load(Ordering::SeqCst) {
            thread::sleep(PROGRESS_INTERVAL);
            let tokens = self.received_tokens.load(Ordering::Relaxed);
            let sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner).len();
            eprint!(
                "\r{:>3} s  {sent:>6} results  {:>5} in flight  {:>6} tokens/s ",
                self.now_us() / 1_000_000,
                self.active_callers.load(Ordering::SeqCst),
                tokens - tokens_before,
            );
            tokens_before = tokens;
        }
        eprintln!();
    }
}

/// Returns the path of a service call. It carries the request number, by which calls in the
/// stand-ins' record are matched to requests.
pub fn call_path(service: &str, path: &str, number: usize) -> String {
    format!("/{service}{path}?call={number}")
}

/// Returns the body of a service call, which carries the request number.
pub fn call_body(number: usize) -> String {
    format!("{{\"call\": {number}}}")
}

fn to_send_result(e: CallError) -> SendResult {
    match e {
        CallError::Refused(problem) => {
            SendResult::Refused { reason: problem.reason, outcome: problem.outcome }
        }
        CallError::NotSent => SendResult::NotSent,
        CallError::Broken(text) => SendResult::Broken(text),
    }
}

/// Returns whether a caller resends its request after `result`.
fn should_resend(spec: &RequestSpec, result: &SendResult) -> bool {
    match (spec, result) {
        (_, SendResult::Complete(_) | SendResult::Answered { .. }) => false,
        (RequestSpec::Call { .. }, SendResult::Refused { outcome, .. }) => {
            *outcome == Outcome::Unknown
        }
        (_, SendResult::Refused { .. } | SendResult::NotSent | SendResult::Broken(_)) => true,
    }
}
