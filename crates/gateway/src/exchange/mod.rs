//! One request from its admission to its final answer.

mod attempt;
mod notes;
mod room;
mod silence;

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http::header;
use http::request;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use smallvec::SmallVec;
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
use yuccanotch_core::name::ServerName;

use crate::answer;
use crate::answer::AnswerBody;
use crate::answer::CallerGone;
use crate::answer::ChunkSender;
use crate::edge::CallerRequest;
use crate::host::Gateway;
use crate::traffic::InProgress;
use crate::traffic::Target;

/// When a caller that was turned away may come back, spread over this span.
const RETURN_MS: (u64, u64) = (400, 1_600);
/// The time before the deadline at which a request gets its final answer.
const MARGIN: Millis = Millis(8);
/// The least time left for which another attempt is made.
const LEAST_LEFT: Millis = Millis(15);
/// The part of an answer that a request in progress holds, in the mean over its life.
const HELD_PART: f64 = 0.55;
/// The part of the longest answer that a request without an estimate is expected to need.
const EXPECTED_PART: f64 = 0.6;
/// Tokens of a request that tells none.
const UNKNOWN_TOKENS: f64 = 1_000.0;

/// A request that was read whole and may be sent to a server.
pub struct Exchange {
    gateway: Rc<Gateway>,
    head: request::Parts,
    body: Bytes,
    caller: CallerRequest,
    route: Arc<Route>,
    service: Arc<Service>,
    team: Option<Arc<Team>>,
    started: Millis,
    due: Millis,
    outcome: RequestState,
    tried: SmallVec<[ServerName; 4]>,
    head_tx: Option<oneshot::Sender<Response<AnswerBody>>>,
    chunks: Option<ChunkSender>,
    events: EventSplitter,
    version: Option<u64>,
    first_event: Millis,
    last_event: Millis,
    longest_gap: Millis,
    chain: String,
    current: Option<Current>,
    why: EndReason,
}

/// The parts of a request that has been let in.
pub struct Admitted {
    /// The head as the caller sent it.
    pub head: request::Parts,
    /// The whole body.
    pub body: Bytes,
    /// What the head says.
    pub caller: CallerRequest,
    /// The route.
    pub route: Arc<Route>,
    /// The service that the route leads to.
    pub service: Arc<Service>,
    /// The team, on routes that need a key.
    pub team: Option<Arc<Team>>,
    /// When the head was read.
    pub started: Millis,
}

/// How an attempt ended.
enum Ended {
    /// The caller has its final answer.
    Done,
    /// There is no usable answer; `kept` is the server's own failure, if it is whole.
    Without { end: AttemptEnd, kept: Option<Response<Bytes>>, why: EndReason },
}

/// What a silent server is found to do.
enum Silence {
    /// It works on the request.
    Working,
    /// The request goes on through other servers, on the same connection.
    Moved,
    /// The request gets no further there.
    Lost,
}

/// The servers that have the request now.
struct Current {
    target: Target,
    sound: bool,
    _in_progress: InProgress,
}

impl Exchange {
    /// Creates the exchange of a request whose answer goes to `head_tx`.
    pub fn new(
        gateway: Rc<Gateway>,
        admitted: Admitted,
        head_tx: oneshot::Sender<Response<AnswerBody>>,
    ) -> Self {
        let Admitted { head, body, caller, route, service, team, started } = admitted;
        let wait = caller.deadline.unwrap_or(route.timeout).min(route.timeout);
        Self {
            due: started + wait.since(MARGIN),
            outcome: RequestState::new(route.repeat, route.max_attempts),
            events: EventSplitter::new(caller.resume_after),
            gateway,
            head,
            body,
            caller,
            route,
            service,
            team,
            started,
            tried: SmallVec::new(),
            head_tx: Some(head_tx),
            chunks: None,
            version: None,
            first_event: Millis::ZERO,
            last_event: started,
            longest_gap: Millis::ZERO,
            chain: String::new(),
            current: None,
            why: EndReason::Deadline,
        }
    }

    /// Carries the request to its final answer, or until the caller is gone.
    pub async fn run(mut self, gone: CallerGone) {
        self.gateway.traffic.on_request(&self.service.name);
        let left = self.due.since(self.gateway.clock.now()).to_duration();
        let ended = tokio::select! {
            biased;
            _ = gone => None,
            ended = time::timeout(left, self.drive()) => Some(ended),
        };
        match ended {
            None => {
                self.why = EndReason::CallerGone;
                self.gateway.counters.request(self.why);
                self.note(Event::CallerLeft);
            }
            Some(Ok(())) => {}
            Some(Err(_)) => {
                self.why = EndReason::Deadline;
                let next = self.outcome.final_step();
                self.finish_without(next, None, StatusCode::GATEWAY_TIMEOUT).await;
            }
        }
    }

    async fn drive(&mut self) {
        loop {
            let Some(target) = self.wait_for_target().await else {
                let lacks = self.gateway.traffic.lacking(&self.service, self.tokens());
                self.gateway
                    .journal
                    .line(Event::AttemptEnded, &[("id", &self.id()), ("lacks", &lacks)]);
                self.why = EndReason::NoRoom;
                let next = self.outcome.final_step();
                self.finish_without(next, None, StatusCode::BAD_GATEWAY).await;
                return;
            };
            let ended = self.attempt(&target).await;
            self.current = None;
            let Ended::Without { end, kept, why } = ended else {
                return;
            };
            self.why = why;
            if matches!(end, AttemptEnd::Broken | AttemptEnd::Failed) {
                self.gateway.traffic.fault(target.server());
            }
            self.gateway.journal.line(
                Event::AttemptEnded,
                &[("id", &self.id()), ("server", target.server()), ("why", &why)],
            );
            let chances = self.chances(end);
            let next = self.outcome.on_end(end, chances);
            self.gateway.counters.attempt(why, next == NextStep::Retry);
            if next != NextStep::Retry {
                self.finish_without(next, kept, StatusCode::BAD_GATEWAY).await;
                return;
            }
        }
    }

    fn chances(&self, end: AttemptEnd) -> RetryConditions {
        let now = self.gateway.clock.now();
        let within_deadline = self.due.since(now) > LEAST_LEFT;
        let hosts = self.gateway.sharing_hosts();
        let within_budget = end == AttemptEnd::NotSent
            || self.gateway.traffic.take_repeat(&self.service.name, hosts);
        RetryConditions { within_budget, within_deadline }
    }

    fn id(&self) -> &str {
        self.caller.id.as_deref().unwrap_or("")
    }

    fn tokens(&self) -> f64 {
        let Some(prompt) = self.caller.prompt_tokens else {
            return UNKNOWN_TOKENS;
        };
        let most = f64::from(self.caller.most_tokens.unwrap_or(0));
        let expected = self.caller.expected_tokens.map_or(most * EXPECTED_PART, f64::from);
        f64::from(prompt) + HELD_PART * expected.min(most)
    }

    fn answer_whole(&mut self, response: Response<Bytes>) {
        let (head, body) = response.into_parts();
        self.note_done(head.status);
        if let Some(head_tx) = self.head_tx.take() {
            let body = AnswerBody::whole(body);
            let _ = head_tx.send(answer::respond(head.status, head.headers, body));
        }
    }

    async fn finish_without(
        &mut self,
        next: NextStep,
        kept: Option<Response<Bytes>>,
        unknown: StatusCode,
    ) {
        match next {
            NextStep::PassOn if kept.is_some() => {
                if let Some(kept) = kept {
                    self.answer_whole(kept);
                }
            }
            NextStep::BreakOff => {
                self.gateway.counters.request(self.why);
                self.note(Event::AnswerBrokenOff);
                if let Some(chunks) = self.chunks.take() {
                    chunks.break_off().await;
                }
            }
            NextStep::Refuse => self.answer_own(StatusCode::SERVICE_UNAVAILABLE),
            NextStep::PassOn | NextStep::Unknown | NextStep::Retry => self.answer_own(unknown),
        }
    }

    fn answer_own(&mut self, status: StatusCode) {
        let mut fields: HeaderMap = self.gateway.edge.own_fields(self.caller.id.as_deref());
        if status == StatusCode::SERVICE_UNAVAILABLE {
            fields.insert(header::RETRY_AFTER, retry_after());
        }
        self.note_done(status);
        if let Some(head_tx) = self.head_tx.take() {
            let body = AnswerBody::whole(Bytes::new());
            let _ = head_tx.send(answer::respond(status, fields, body));
        }
    }
}

/// Returns a time to come back, in seconds, spread over hosts and requests.
pub fn retry_after() -> HeaderValue {
    let (least, most) = RETURN_MS;
    let ms = rand::random_range(least..most);
    let text = format!("{}.{:03}", ms / 1_000, ms % 1_000);
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
}
