//! Callers' requests to plain services: backend servers that are called without a model pipeline.
//!
//! A call to a repeatable route is retried on other servers. A call to any other route needs an
//! idempotency key and a claim, and is sent to a server at most once.

use std::thread;

use http::header;
use http::HeaderMap;
use http::HeaderValue;
use yuccanotch_core::admit::Pool;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::Route;
use yuccanotch_core::config::ServerUse;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::event::emit;
use yuccanotch_core::event::Event;
use yuccanotch_core::ids::Attempt;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::name::ServiceName;
use yuccanotch_core::quarantine::Fingerprint;
use yuccanotch_core::reason::Outcome;
use yuccanotch_core::reason::RefusalReason;
use yuccanotch_core::reason::RetryReason;
use yuccanotch_core::retry::FailedAttempt;
use yuccanotch_core::retry::RetryDecision;

use crate::admission::AdmissionRequest;
use crate::answer::Responder;
use crate::callers::CallerRequest;
use crate::claims::CallOutcome;
use crate::claims::ClaimDecision;
use crate::claims::ClaimRequest;
use crate::claims::StoredAnswer;
use crate::engine_client::CallError;
use crate::engine_client::PlainCall;
use crate::engine_client::PlainReply;
use crate::fleet::Health;
use crate::host::Caller;
use crate::host::Host;
use crate::problem::Refusal;
use crate::quarantine::AttemptTracker;

/// Header with the idempotency key of a call that may not be repeated.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Path at which callers fetch bound keys, which work while the store is unavailable.
pub const BOUND_KEYS_PATH: &str = "/v1/keys";

const OUTCOME_HEADER: &str = "yuccanotch-outcome";
const DIGEST_HEADER: &str = "yuccanotch-digest";
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;
/// Time after which a refused caller should retry.
const RETRY_AFTER: Millis = Millis(500);
/// Time between two searches for a server that a quarantine suspect may use.
const SUSPECT_POLL_INTERVAL: Millis = Millis(25);

struct PlainJob<'a> {
    req: &'a CallerRequest,
    caller: &'a Caller,
    service: ServiceName,
    target: String,
    repeatable: bool,
    deadline: Millis,
}

/// Serves a request to `/SERVICE/...`.
pub fn serve(host: &Host, req: &CallerRequest, responder: Responder) {
    match run_request(host, req, &responder) {
        Ok(answer) => respond(host, req, responder, answer),
        Err(refusal) => host.refuse(responder, &refusal),
    }
}

fn run_request(
    host: &Host,
    req: &CallerRequest,
    responder: &Responder,
) -> Result<StoredAnswer, Refusal> {
    let has_key = req.headers.contains_key(IDEMPOTENCY_KEY_HEADER);
    let before_claim =
        |refusal: Refusal| if has_key { with_unknown_outcome(refusal) } else { refusal };
    let caller = host.authenticate(req).map_err(before_claim)?;
    let job = prepare(host, req, &caller).map_err(before_claim)?;
    let admission_request = AdmissionRequest {
        pool: Pool::Service(job.service.clone()),
        service_time: Millis::ZERO,
        deadline: job.deadline,
        stage_capacity: None,
        sharing_hosts: 1,
    };
    let is_gone = || responder.is_gone();
    let share = host.shares.admit(&caller.name, caller.team.requests_per_s);
    let ticket = share.and_then(|()| {
        host.admission.admit(&caller.name, &caller.team, admission_request, &is_gone)
    });
    let ticket = ticket.map_err(|e| if job.repeatable { e } else { with_unknown_outcome(e) })?;
    let answer = if job.repeatable { run_repeatable(host, &job) } else { run_claimed(host, &job) };
    drop(ticket);
    answer
}

/// Serves [`BOUND_KEYS_PATH`]: returns new keys whose records this process keeps in memory.
pub fn serve_bound_keys(host: &Host, req: &CallerRequest, responder: Responder) {
    if req.method != http::Method::POST {
        let text = "bound keys are requested with POST";
        return host.refuse(responder, &Refusal::not_run(RefusalReason::MethodNotAllowed, text));
    }
    if let Err(refusal) = host.authenticate(req) {
        return host.refuse(responder, &refusal);
    }
    let body = serde_json::json!({ "keys": host.claims.create_bound_keys() }).to_string();
    responder.respond(200, "application/json", HeaderMap::new(), body);
}

/// Sets the outcome of a refusal to unknown, for a request that was refused before the claim of its
/// key was read: an earlier request with the same key may have run.
pub fn with_unknown_outcome(refusal: Refusal) -> Refusal {
    let detail = format!("{}; retry with the same key", refusal.detail);
    Refusal { outcome: Outcome::Unknown, detail, ..refusal }
}

fn prepare<'a>(
    host: &Host,
    req: &'a CallerRequest,
    caller: &'a Caller,
) -> Result<PlainJob<'a>, Refusal> {
    let path = req.path().trim_start_matches('/');
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    let Some(declared) = caller.active.declaration.services.get(service) else {
        let text = format!("service {service:?} does not exist");
        return Err(Refusal::not_run(RefusalReason::UnknownService, text));
    };
    let rest = format!("/{rest}");
    let route = find_route(&declared.routes, req, &rest)?;
    let deadline = host.deadline(req, route.deadline_ms)?;
    let query = req.target.split_once('?').map(|(_, query)| format!("?{query}"));
    Ok(PlainJob {
        req,
        caller,
        service: ServiceName::new(service),
        target: format!("{rest}{}", query.unwrap_or_default()),
        repeatable: route.repeatable,
        deadline,
    })
}

fn find_route<'a>(
    routes: &'a [Route],
    req: &CallerRequest,
    path: &str,
) -> Result<&'a Route, Refusal> {
    let mut same_path = routes.iter().filter(|route| route.path == path).peekable();
    if same_path.peek().is_none() {
        let text = format!("path {path:?} does not exist in this service");
        return Err(Refusal::not_run(RefusalReason::NotFound, text));
    }
    same_path.find(|route| route.method.as_str() == req.method.as_str()).ok_or_else(|| {
        let text = format!("path {path:?} does not accept method {}", req.method);
        Refusal::not_run(RefusalReason::MethodNotAllowed, text)
    })
}

/// Runs a call that may be repeated; retries it on other servers after a failure.
fn run_repeatable(host: &Host, job: &PlainJob<'_>) -> Result<StoredAnswer, Refusal> {
    let mut tracker = new_tracker(host, job);
    tracker.refuse_if_quarantined()?;
    host.routing.on_request(host.clock.now());
    let mut attempt = Attempt(1);
    let mut may_have_reached_server = false;
    while let Some((server, address)) = next_server(host, job, &mut tracker, attempt) {
        let e = match call_server(host, job, &server, &address) {
            Ok(reply) => {
                tracker.mark_answer_complete();
                return Ok(reply.into());
            }
            Err(e) => e,
        };
        tracker.on_server_lost(&server);
        if tracker.is_quarantined() {
            return Err(give_up_refusal(
                RefusalReason::Quarantined,
                may_have_reached_server,
                "the call crashed backend servers and was stopped",
            ));
        }
        may_have_reached_server |= !matches!(e, CallError::NotSent);
        let decision = host.routing.on_failed_attempt(
            host.clock.now(),
            FailedAttempt {
                attempt,
                reason: retry_reason(&e),
                may_have_reached_server,
                repeatable: true,
                deadline: job.deadline,
            },
        );
        match decision {
            RetryDecision::Retry { wait } => {
                host.telemetry.count_retry(retry_reason(&e));
                thread::sleep(wait.to_duration());
                attempt = attempt.next();
            }
            RetryDecision::GiveUp(reason) => {
                return Err(give_up_refusal(reason, may_have_reached_server, &e.to_string()))
            }
        }
    }
    if may_have_reached_server {
        let text = "no backend server answered the call";
        return Err(give_up_refusal(RefusalReason::ServerFailed, may_have_reached_server, text));
    }
    Err(no_server_refusal(job))
}

fn retry_reason(e: &CallError) -> RetryReason {
    match e {
        CallError::NotSent => RetryReason::ConnectRefused,
        CallError::Refused(_) => RetryReason::ServerFull,
        CallError::Lost(_) => RetryReason::Truncated,
    }
}

fn give_up_refusal(reason: RefusalReason, may_have_reached_server: bool, text: &str) -> Refusal {
    let refusal = if may_have_reached_server {
        Refusal::unknown(reason, text)
    } else {
        Refusal::not_run(reason, text)
    };
    refusal.retry_after(RETRY_AFTER)
}

/// Claims a call that may not be repeated, and runs it at most once.
fn run_claimed(host: &Host, job: &PlainJob<'_>) -> Result<StoredAnswer, Refusal> {
    let claim = ClaimRequest {
        team: job.caller.name.clone(),
        service: job.service.clone(),
        key: idempotency_key(job.req)?,
        digest: call_digest(job),
        deadline: job.deadline,
    };
    let tracker = new_tracker(host, job);
    let decision = if tracker.is_quarantined() {
        host.claims.refuse_permanently(host, &claim, RefusalReason::Quarantined)
    } else {
        host.claims.claim_call(host, &claim)
    };
    let permit = match decision {
        ClaimDecision::Dispatch(permit) => permit,
        ClaimDecision::Answer(answer) => return Ok(answer),
        ClaimDecision::Refuse(refusal) => return Err(refusal),
    };
    host.routing.on_request(host.clock.now());
    let (result, outcome) = dispatch(host, job, tracker);
    let not_run = matches!(outcome, CallOutcome::NotRun(_));
    let recorded = host.claims.record_outcome(host, permit, outcome);
    if not_run && !recorded {
        return Err(Refusal::unknown(
            RefusalReason::StoreUnavailable,
            "the refusal could not be recorded; retry with the same key",
        )
        .retry_after(RETRY_AFTER));
    }
    result
}

/// Sends a claimed call to one server after the other until a byte was sent; a call of which a byte
/// was sent is not repeated.
fn dispatch(
    host: &Host,
    job: &PlainJob<'_>,
    mut tracker: AttemptTracker<'_>,
) -> (Result<StoredAnswer, Refusal>, CallOutcome) {
    let mut attempt = Attempt(1);
    while let Some((server, address)) = next_server(host, job, &mut tracker, attempt) {
        if host.clock.now() >= job.deadline {
            return not_dispatched(
                RefusalReason::DeadlineExceeded,
                "the deadline passed before the call was sent",
            );
        }
        match call_server(host, job, &server, &address) {
            Ok(reply) => {
                tracker.mark_answer_complete();
                let answer = StoredAnswer::from(reply);
                return (Ok(answer.clone()), CallOutcome::Answer(answer));
            }
            Err(CallError::NotSent) => {
                let failed = FailedAttempt {
                    attempt,
                    reason: RetryReason::ConnectRefused,
                    may_have_reached_server: false,
                    repeatable: false,
                    deadline: job.deadline,
                };
                match host.routing.on_failed_attempt(host.clock.now(), failed) {
                    RetryDecision::Retry { wait } => {
                        host.telemetry.count_retry(RetryReason::ConnectRefused);
                        thread::sleep(wait.to_duration());
                        attempt = attempt.next();
                    }
                    RetryDecision::GiveUp(reason) => {
                        return not_dispatched(reason, "no backend server could be reached");
                    }
                }
            }
            Err(e) => {
                tracker.on_server_lost(&server);
                emit(
                    Event::OutcomeUnknown,
                    format_args!("host={} request={}: {e}", host.settings.host, job.req.id),
                );
                let refusal = Refusal::unknown(RefusalReason::ServerFailed, e.to_string());
                return (Err(refusal), CallOutcome::Unknown);
            }
        }
    }
    (Err(no_server_refusal(job)), CallOutcome::NotRun(RefusalReason::NoServer))
}

fn new_tracker<'a>(host: &'a Host, job: &PlainJob<'_>) -> AttemptTracker<'a> {
    let digest = call_digest(job).0;
    AttemptTracker::new(host, job.req.id, Fingerprint::new(&job.caller.name, &digest))
}

/// Returns the server and its address for the next attempt. Waits until the quarantine permits one;
/// returns `None` when there were as many attempts as servers, or the deadline is near.
fn next_server(
    host: &Host,
    job: &PlainJob<'_>,
    tracker: &mut AttemptTracker<'_>,
    attempt: Attempt,
) -> Option<(ServerName, String)> {
    loop {
        let excluded = tracker.excluded_servers();
        let found = candidate_servers(host, job);
        if attempt.0 as usize > found.len() {
            return None;
        }
        let usable = found.into_iter().find(|(server, _)| !excluded.contains(server));
        if let Some((server, address)) = usable {
            if tracker.try_start([server.clone()]) {
                return Some((server, address));
            }
        }
        if host.clock.now() + SUSPECT_POLL_INTERVAL >= job.deadline {
            return None;
        }
        thread::sleep(SUSPECT_POLL_INTERVAL.to_duration());
    }
}

fn not_dispatched(
    reason: RefusalReason,
    text: &str,
) -> (Result<StoredAnswer, Refusal>, CallOutcome) {
    let refusal = Refusal::not_run(reason, text).retry_after(RETRY_AFTER);
    (Err(refusal), CallOutcome::NotRun(reason))
}

fn no_server_refusal(job: &PlainJob<'_>) -> Refusal {
    let text = format!("no backend server of service {} is available", job.service);
    Refusal::not_run(RefusalReason::NoServer, text).retry_after(RETRY_AFTER)
}

fn idempotency_key(req: &CallerRequest) -> Result<String, Refusal> {
    let Some(value) = req.headers.get(IDEMPOTENCY_KEY_HEADER) else {
        let text = "a call that may not be repeated needs an Idempotency-Key header";
        return Err(Refusal::not_run(RefusalReason::MissingKey, text));
    };
    let key = value.to_str().unwrap_or_default();
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let text = format!("the idempotency key must have 1 to {MAX_KEY_BYTES} ASCII characters");
        return Err(Refusal::not_run(RefusalReason::BadKey, text));
    }
    Ok(key.to_owned())
}

fn call_digest(job: &PlainJob<'_>) -> Digest {
    let mut buf = format!("{} {}\n", job.req.method, job.target).into_bytes();
    buf.extend_from_slice(&job.req.body);
    Digest::of(&buf)
}

/// Returns the servers of the service that may take the call: the unsuspected ones first, within
/// both groups those in this host's failure domain first, in random order otherwise.
fn candidate_servers(host: &Host, job: &PlainJob<'_>) -> Vec<(ServerName, String)> {
    let view = host.fleet.view();
    let mut found: Vec<_> = job
        .caller
        .active
        .declaration
        .servers
        .iter()
        .filter(
            |(_, server)| matches!(&server.used_for, ServerUse::Service(s) if *s == job.service),
        )
        .filter(|(name, server)| {
            !server.drain && !view.servers.get(*name).is_some_and(|server| server.leaving)
        })
        .collect();
    let suspected =
        |name: &ServerName| view.servers.get(name).is_some_and(|server| server.suspected);
    let seed = host.random_u64();
    found.sort_by_key(|(name, server)| {
        let tie_break = yuccanotch_core::digest::rendezvous_weight(seed, name.as_str());
        (suspected(name), server.domain != host.settings.domain, tie_break)
    });
    found.into_iter().map(|(name, server)| (name.clone(), server.address.clone())).collect()
}

fn call_server(
    host: &Host,
    job: &PlainJob<'_>,
    server: &ServerName,
    address: &str,
) -> Result<PlainReply, CallError> {
    let mut headers = HeaderMap::new();
    for name in [header::CONTENT_TYPE.as_str(), header::ACCEPT.as_str(), IDEMPOTENCY_KEY_HEADER] {
        if let Some(value) = job.req.headers.get(name) {
            if let Ok(name) = name.parse::<http::HeaderName>() {
                headers.insert(name, value.clone());
            }
        }
    }
    let result = host.engines.call_plain(PlainCall {
        address,
        method: job.req.method.as_str(),
        target: &job.target,
        headers,
        body: &job.req.body,
        timeout: job.deadline.since(host.clock.now()),
    });
    let health = if result.is_ok() { Health::Answered } else { Health::Failed };
    host.fleet.report_health(server, health);
    result
}

impl From<PlainReply> for StoredAnswer {
    fn from(reply: PlainReply) -> Self {
        Self { status: reply.status, content_type: reply.content_type, body: reply.body }
    }
}

fn respond(host: &Host, req: &CallerRequest, responder: Responder, answer: StoredAnswer) {
    host.telemetry.increment_counter("yuccanotch_answers_total", "plain");
    emit(
        Event::RequestAnswered,
        format_args!("host={} request={} status={}", host.settings.host, req.id, answer.status),
    );
    let mut headers = HeaderMap::new();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static("ran"));
    if let Ok(digest) = HeaderValue::from_str(&Digest::of(&answer.body).to_string()) {
        headers.insert(DIGEST_HEADER, digest);
    }
    responder.respond(answer.status, &answer.content_type, headers, answer.body);
}
