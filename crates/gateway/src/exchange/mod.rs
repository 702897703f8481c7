//! One request of a caller, from its admission to its final answer.

mod at_host;
mod attempt;
mod final_answer;
mod rank;
mod request_log;
mod room_wait;
mod silence;
mod stopping;
mod stream;
mod tokens;

use std::fmt::Display;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http::request;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use tokio::sync::oneshot;
use tokio::time;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::events::EventSplitter;
use yuccanotch_core::forward::outcome::AttemptEnd;
use yuccanotch_core::forward::outcome::NextStep;
use yuccanotch_core::forward::outcome::RequestState;
use yuccanotch_core::forward::outcome::RetryConditions;
use yuccanotch_core::forward::reason::EndReason;
use yuccanotch_core::forward::routes::Route;
use yuccanotch_core::forward::routes::Service;
use yuccanotch_core::forward::routes::Team;
use yuccanotch_core::ids::RequestId;
use yuccanotch_core::quarantine;
use yuccanotch_core::quarantine::Fingerprints;

use crate::adapter::CallerRequest;
use crate::answer::AnswerBody;
use crate::answer::CallerGone;
use crate::answer::ChunkSender;
pub use crate::exchange::final_answer::retry_after;
pub use crate::exchange::final_answer::retry_elsewhere;
use crate::host::Gateway;
use crate::relay::Relayed;
use crate::relay::TriedServers;
use crate::routing::InProgress;
use crate::routing::Target;

/// How long before the caller's deadline the host sends its final answer.
const DEADLINE_MARGIN: Millis = Millis(8);
/// The time that must be left until the deadline for another attempt.
const MIN_TIME_FOR_RETRY: Millis = Millis(15);

/// A request whose body is complete and that is sent to servers until it has a final answer.
pub struct Exchange {
    gateway: Rc<Gateway>,
    head: request::Parts,
    body: Bytes,
    caller: CallerRequest,
    route: Arc<Route>,
    service: Arc<Service>,
    team: Option<Arc<Team>>,
    started: Millis,
    deadline: Millis,
    outcome: RequestState,
    // Servers that have received the request.
    tried: TriedServers,
    head_tx: Option<oneshot::Sender<Response<AnswerBody>>>,
    chunks: Option<ChunkSender>,
    events: EventSplitter,
    // The status and the media type that the answer began with.
    begun_as: Option<(StatusCode, Option<HeaderValue>)>,
    // The weights version that the answer began with.
    version: Option<u64>,
    // The time from the start of the request to its first event.
    first_event_delay: Millis,
    last_event_at: Millis,
    // When the first attempt was sent.
    first_sent_at: Option<Millis>,
    // When the present attempt was sent.
    sent_at: Millis,
    // The longest time between two successive events.
    longest_gap: Millis,
    // The servers of the last target, as the log shows them.
    target_text: String,
    current: Option<CurrentTarget>,
    end_reason: EndReason,
    // Whether the end of the request is in the log.
    has_ended: bool,
    // The id of the request on this host, for the quarantine.
    run: RequestId,
    fingerprints: Fingerprints,
    // The version of the configuration that allowed the request.
    configuration: u64,
    // Whether another host has passed the request on.
    is_relayed: bool,
    // Whether the request is tried although its rank is not admitted.
    is_on_trial: bool,
    // When a refused caller may try again; `None` for a random short time.
    retry_after: Option<Millis>,
}

/// The parts of an admitted request.
pub struct Admitted {
    /// The head that the caller sent.
    pub head: request::Parts,
    /// The complete body.
    pub body: Bytes,
    /// The decoded parameters of the head.
    pub caller: CallerRequest,
    /// The version of the configuration that allowed the request.
    pub configuration: u64,
    /// The route that matched the request.
    pub route: Arc<Route>,
    /// The service that the route selects for the request.
    pub service: Arc<Service>,
    /// The team of the caller; `None` on public routes.
    pub team: Option<Arc<Team>>,
    /// When the head of the request was read.
    pub started: Millis,
    /// The state of the request, if another host has passed it on.
    pub relayed: Option<Relayed>,
}

/// Where a request is sent.
enum Destination {
    /// A server or a chain of servers.
    Servers(Target),
    /// Another host, with the address at which it takes requests.
    Host(SocketAddrV4),
}

/// The result of an attempt.
enum AttemptResult {
    /// The caller has received its final answer.
    Done,
    /// The attempt gave no usable answer. `server_answer` is a complete failure that the server
    /// answered with.
    Unanswered { end: AttemptEnd, server_answer: Option<Response<Bytes>>, why: EndReason },
}

/// The state of a server that has sent nothing for too long.
enum ServerProgress {
    /// The server still works on the request.
    Working,
    /// The request continues on another chain, over the same connection to the first server.
    Moved,
    /// The request will get no answer from this target.
    Lost,
}

/// The target that the request was last sent or moved to.
struct CurrentTarget {
    target: Target,
    // Whether an event has shown that all servers of the target work.
    seen_working: bool,
    in_progress: InProgress,
}

impl Exchange {
    /// Creates the exchange of a request whose answer goes to `head_tx`.
    pub fn new(
        gateway: Rc<Gateway>,
        admitted: Admitted,
        head_tx: oneshot::Sender<Response<AnswerBody>>,
    ) -> Self {
        let Admitted { head, body, caller, configuration, route, service, team, started, relayed } =
            admitted;
        let is_relayed = relayed.is_some();
        let outcome = match &relayed {
            Some(relayed) => RequestState::passed_on(route.repeat, relayed.attempts_left),
            None => RequestState::new(route.repeat, route.max_attempts),
        };
        let Relayed { version, tried, .. } = relayed.unwrap_or_default();
        let wait = caller.deadline.unwrap_or(route.timeout).min(route.timeout);
        let fingerprints = quarantine::fingerprints(
            team.as_ref().map_or("", |t| t.name.as_str()),
            head.uri.path_and_query().map_or("", |p| p.as_str()),
            &body,
            &service.name,
            &caller.prompt_parts,
        );
        Self {
            run: gateway.crashes.next_request(),
            fingerprints,
            is_on_trial: false,
            retry_after: None,
            deadline: started + wait.since(DEADLINE_MARGIN),
            outcome,
            configuration,
            is_relayed,
            events: EventSplitter::new(caller.resume_after),
            gateway,
            head,
            body,
            caller,
            route,
            service,
            team,
            started,
            tried,
            head_tx: Some(head_tx),
            chunks: None,
            begun_as: None,
            version,
            first_event_delay: Millis::ZERO,
            last_event_at: started,
            first_sent_at: None,
            sent_at: started,
            longest_gap: Millis::ZERO,
            target_text: String::new(),
            current: None,
            end_reason: EndReason::Deadline,
            has_ended: false,
        }
    }

    /// Sends the request to servers until it has a final answer, its deadline has passed, the caller
    /// has disconnected or the host is about to exit.
    pub async fn run(mut self, gone: CallerGone) {
        // The host that passed the request on has counted it.
        if !self.is_relayed {
            self.gateway.routing.on_request(&self.service.name);
        }
        let left = self.deadline.since(self.gateway.clock.now()).to_duration();
        let gateway = self.gateway.clone();
        let cut = tokio::select! {
            biased;
            _ = gone => Some(EndReason::CallerGone),
            ended = time::timeout(left, self.run_attempts()) => ended.err().map(|_| EndReason::Deadline),
            () = gateway.shutdown.answering() => Some(EndReason::HostStopping),
        };
        let is_complete = matches!(self.end_reason, EndReason::Answered | EndReason::Streamed);
        if is_complete {
            self.gateway.crashes.on_end(self.run, true);
        } else {
            // Its server may still crash because of it.
            self.gateway.crashes.on_break(self.run);
        }
        if let Some(reason) = cut {
            self.end_early(reason);
        }
    }

    /// Ends a request whose attempts were cut short for `reason`.
    fn end_early(&mut self, reason: EndReason) {
        self.end_reason = reason;
        let next = self.outcome.final_step();
        match reason {
            EndReason::CallerGone => {
                self.gateway.counters.request_ended(reason);
                self.log_end(Event::CallerLeft);
            }
            EndReason::Deadline => {
                self.finish_unanswered(next, None, StatusCode::GATEWAY_TIMEOUT);
            }
            _ => self.finish_unanswered(next, None, StatusCode::BAD_GATEWAY),
        }
    }

    /// Makes attempts until one succeeds or no further one is allowed, and sends the final answer.
    async fn run_attempts(&mut self) {
        if self.refuse_if_quarantined() || self.refuse_by_rank() {
            return;
        }
        loop {
            if self.refuse_if_quarantined() || self.refuse_if_stopping() {
                return;
            }
            let Some(destination) = self.wait_for_destination().await else {
                let lacks =
                    self.gateway.routing.describe_shortage(&self.service, self.expected_tokens());
                self.gateway
                    .event_log
                    .line(Event::AttemptEnded, &[("id", &self.id()), ("lacks", &lacks)]);
                let all_paused = self.gateway.routing.time_all_paused(&self.service).is_some();
                self.end_reason = if all_paused { EndReason::AllPaused } else { EndReason::NoRoom };
                let next = self.outcome.final_step();
                if self.end_reason == EndReason::NoRoom && next == NextStep::Refuse {
                    self.retry_after = self.delay_by_utilization();
                }
                self.finish_unanswered(next, None, StatusCode::BAD_GATEWAY);
                return;
            };
            self.is_on_trial = false;
            // Another host may have found a cause of crashes during the wait, or this one was told to stop.
            if self.refuse_if_quarantined() || self.refuse_if_stopping() {
                return;
            }
            let ended = match &destination {
                Destination::Servers(target) => self.attempt(target).await,
                Destination::Host(relay) => self.attempt_at_host(*relay).await,
            };
            self.current = None;
            let AttemptResult::Unanswered { end, server_answer, why } = ended else {
                return;
            };
            self.end_reason = why;
            self.record_end(end, &destination, why);
            let conditions = self.retry_conditions(end);
            let mut next = self.outcome.on_end(end, conditions);
            if next == NextStep::AwaitBudget {
                self.wait_for_retry().await;
                next = NextStep::Retry;
            }
            self.gateway.counters.attempt_ended(why, next == NextStep::Retry);
            if next != NextStep::Retry {
                self.finish_unanswered(next, server_answer, StatusCode::BAD_GATEWAY);
                return;
            }
        }
    }

    /// Ends the request without another attempt if one of its fingerprints is quarantined; returns
    /// whether it did.
    fn refuse_if_quarantined(&mut self) -> bool {
        let Some((fingerprint, left)) = self.gateway.crashes.find_quarantined(&self.fingerprints)
        else {
            return false;
        };
        self.gateway.event_log.line(
            Event::RequestQuarantined,
            &[("id", &self.id()), ("fingerprint", &fingerprint), ("for_ms", &left.0)],
        );
        self.end_reason = EndReason::Quarantined;
        self.retry_after = Some(left);
        let next = self.outcome.final_step();
        self.finish_unanswered(next, None, StatusCode::BAD_GATEWAY);
        true
    }

    /// Records how an attempt ended.
    fn record_end(&self, end: AttemptEnd, destination: &Destination, why: EndReason) {
        let log = |key: &'static str, to: &dyn Display| {
            let id = self.id();
            self.gateway
                .event_log
                .line(Event::AttemptEnded, &[("id", &id), (key, to), ("why", &why)]);
        };
        match destination {
            Destination::Servers(target) => {
                self.record_end_of_run(end, target);
                if matches!(end, AttemptEnd::Broken | AttemptEnd::Failed) {
                    self.gateway.routing.record_fault(target.server());
                }
                log("server", target.server());
            }
            Destination::Host(relay) => log("host", relay),
        }
    }

    /// Records for the quarantine how an attempt on `target` ended.
    fn record_end_of_run(&self, end: AttemptEnd, target: &Target) {
        match end {
            AttemptEnd::Broken => {
                crate::quarantine::on_connection_broken(&self.gateway, self.run, target)
            }
            AttemptEnd::Silent | AttemptEnd::StageDeclined => {
                self.gateway.crashes.on_break(self.run)
            }
            AttemptEnd::NotSent | AttemptEnd::Declined | AttemptEnd::Failed => {
                self.gateway.crashes.on_end(self.run, false)
            }
        }
    }

    /// Returns whether the retry budget and the time left allow another attempt. A request that was
    /// never sent takes nothing from the budget.
    fn retry_conditions(&self, end: AttemptEnd) -> RetryConditions {
        let now = self.gateway.clock.now();
        let within_deadline = self.deadline.since(now) > MIN_TIME_FOR_RETRY;
        let hosts = self.gateway.hosts_sharing_retries();
        let within_budget = end == AttemptEnd::NotSent
            || self.gateway.routing.take_retry(&self.service.name, hosts);
        RetryConditions { within_budget, within_deadline }
    }

    fn id(&self) -> &str {
        self.caller.id.as_deref().unwrap_or("")
    }
}
