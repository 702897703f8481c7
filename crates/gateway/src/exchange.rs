//! One request from its admission to its final answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header;
use http::request;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use smallvec::SmallVec;
use tokio::sync::oneshot;
use tokio::time;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::events::EventSplitter;
use yuccanotch_core::forward::outcome::AttemptEnd;
use yuccanotch_core::forward::outcome::Chances;
use yuccanotch_core::forward::outcome::Next;
use yuccanotch_core::forward::outcome::Outcome;
use yuccanotch_core::forward::reason::EndReason;
use yuccanotch_core::forward::routes::Repeat;
use yuccanotch_core::forward::routes::Route;
use yuccanotch_core::forward::routes::Service;
use yuccanotch_core::forward::routes::Team;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::placement::chain::Chain;

use crate::answer;
use crate::answer::AnswerBody;
use crate::answer::CallerGone;
use crate::answer::ChunkSender;
use crate::edge::CallerRequest;
use crate::edge::Forward;
use crate::edge::Order;
use crate::edge::OrderReply;
use crate::edge::ServerReply;
use crate::host::Gateway;
use crate::pool::Link;
use crate::pool::Reuse;
use crate::pool::SendError;
use crate::traffic::InProgress;
use crate::traffic::Target;

/// The longest body of an answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// The longest wait for room at model servers.
const ROOM_WAIT: Millis = Millis(400);
/// How often a request that waits for room looks again.
const ROOM_LOOK: Duration = Duration::from_millis(20);
/// The silence before the first event after which a model server is asked whether it works.
const FIRST_SILENCE: Duration = Duration::from_millis(250);
/// The silence within a stream after which a model server is asked whether it works; with the time
/// that a change of the chain takes, the pause stays below what streams are allowed.
const SILENCE: Duration = Duration::from_millis(120);
/// The silence after which a server that said that it works is asked again.
const SILENCE_AGAIN: Duration = Duration::from_millis(240);
/// The age of a report that still tells what a silent server waits for.
const STALL_AGE: Millis = Millis(80);
/// The age of a report that still tells whether a server is slow.
const PACE_AGE: Millis = Millis(1_500);
/// The silence of a plain server after which a safe request goes to another one.
const PLAIN_SILENCE: Duration = Duration::from_millis(350);
/// When a caller that was turned away may come back, spread over this span.
const RETURN_MS: (u64, u64) = (400, 1_600);
/// The time before the deadline at which a request gets its final answer.
const MARGIN: Millis = Millis(8);
/// The least time left for which another attempt is made.
const LEAST_LEFT: Millis = Millis(15);
/// The part of an answer that a request in progress holds, in the mean over its life.
const HELD_PART: f64 = 0.55;
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
    outcome: Outcome,
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
            outcome: Outcome::new(route.repeat, route.max_attempts),
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
                let next = self.outcome.refusal();
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
                let next = self.outcome.refusal();
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
            self.gateway.counters.attempt(why, next == Next::Retry);
            if next != Next::Retry {
                self.finish_without(next, kept, StatusCode::BAD_GATEWAY).await;
                return;
            }
        }
    }

    fn chances(&self, end: AttemptEnd) -> Chances {
        let now = self.gateway.clock.now();
        let time = self.due.since(now) > LEAST_LEFT;
        let hosts = self.gateway.hosts();
        let budget = end == AttemptEnd::NotSent
            || self.gateway.traffic.take_repeat(&self.service.name, hosts);
        Chances { budget, time }
    }

    fn id(&self) -> &str {
        self.caller.id.as_deref().unwrap_or("")
    }

    fn tokens(&self) -> f64 {
        let Some(prompt) = self.caller.prompt_tokens else {
            return UNKNOWN_TOKENS;
        };
        let most = f64::from(self.caller.most_tokens.unwrap_or(0));
        let expected = self.caller.expected_tokens.map_or(most * 0.6, f64::from);
        f64::from(prompt) + HELD_PART * expected.min(most)
    }

    async fn wait_for_target(&self) -> Option<Target> {
        let traffic = &self.gateway.traffic;
        let until = self.gateway.clock.now() + ROOM_WAIT;
        loop {
            let found = traffic.choose(&self.service, self.tokens(), &self.tried);
            if found.is_some() || self.gateway.clock.now() >= until {
                return found;
            }
            let _ = time::timeout(ROOM_LOOK, traffic.room.notified()).await;
        }
    }

    async fn attempt(&mut self, target: &Target) -> Ended {
        let gateway = self.gateway.clone();
        self.set_current(target.clone());
        let mut link = match gateway.pool.link(target.address(), Reuse::Allowed).await {
            Ok(link) => link,
            Err(_) => {
                gateway.traffic.suspect(target.server(), "connect");
                self.outcome.on_send();
                return without(AttemptEnd::NotSent, EndReason::Connect);
            }
        };
        self.outcome.on_send();
        self.tried.push(target.server().clone());
        let req = self.request(target);
        self.note_sent(target);
        let sent = self.send(&mut link, req, target).await;
        let response = match sent {
            Ok(response) => response,
            Err(ended) => return ended,
        };
        let (head, body) = response.into_parts();
        let reply = gateway.edge.reply(&head);
        if let Some(ended) = self.check_reply(&head, &reply, target) {
            return ended;
        }
        if self.route.streaming && head.status.is_success() {
            return self.relay(head, reply, body, link).await;
        }
        self.take_whole(head, reply, body, link, target).await
    }

    fn set_current(&mut self, target: Target) {
        self.current = None;
        let in_progress = self.gateway.traffic.begin(&target, self.tokens());
        self.current = Some(Current { target, sound: false, _in_progress: in_progress });
    }

    fn request(&self, target: &Target) -> Request<Full<Bytes>> {
        let now = self.gateway.clock.now();
        let chain = match target {
            Target::Chain(chain) => Some(chain.as_ref()),
            Target::Server { .. } => None,
        };
        let forward = Forward {
            left: self.due.since(now),
            team: self.team.as_ref().map(|t| t.name.as_str()),
            server: target.server(),
            chain,
            resume_after: self.events.last(),
            version: self.version,
            priority: None,
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = self.head.uri.clone();
        *req.headers_mut() = self.gateway.edge.forwarded(&self.head, &forward);
        req
    }

    async fn send(
        &mut self,
        link: &mut Link,
        req: Request<Full<Bytes>>,
        target: &Target,
    ) -> Result<Response<Incoming>, Ended> {
        let sending = link.send(req);
        tokio::pin!(sending);
        let mut silence = FIRST_SILENCE;
        loop {
            let limit = match (target, self.route.repeat) {
                (Target::Chain(_), _) => silence,
                (Target::Server { .. }, Repeat::Safe) => PLAIN_SILENCE,
                (Target::Server { .. }, _) => Duration::MAX,
            };
            match time::timeout(limit, &mut sending).await {
                Ok(Ok(response)) => return Ok(response),
                Ok(Err(SendError::NotSent(_))) => {
                    return Err(without(AttemptEnd::NotSent, EndReason::Closed));
                }
                Ok(Err(SendError::Broken(_))) => {
                    return Err(without(AttemptEnd::Broken, EndReason::Broken));
                }
                Err(_) => {
                    if let Silence::Lost = self.look_at(silence).await {
                        return Err(without(AttemptEnd::Silent, EndReason::Silent));
                    }
                    silence = SILENCE_AGAIN;
                }
            }
        }
    }

    /// Asks a silent model server what it waits for; a plain one counts as lost.
    async fn look_at(&mut self, silence: Duration) -> Silence {
        let chain = match self.current.as_ref().map(|c| c.target.clone()) {
            Some(Target::Chain(chain)) => chain,
            Some(Target::Server { server, .. }) => {
                self.gateway.traffic.suspect(&server, "silent");
                return Silence::Lost;
            }
            None => return Silence::Lost,
        };
        let gateway = self.gateway.clone();
        let first = chain.first();
        let Some(report) = gateway.recent_report(first.address, STALL_AGE).await else {
            gateway.traffic.suspect(&first.server, "no report");
            return Silence::Lost;
        };
        gateway.traffic.slowness(first.address, report.slowness);
        let stalled = report.stalled.iter().find(|(id, _)| **id == *self.id());
        let Some((_, address)) = stalled else {
            if silence == SILENCE_AGAIN {
                self.look_for_slow(&chain);
            }
            return Silence::Working;
        };
        gateway.traffic.suspect_address(*address, "stalled");
        self.change_chain(&chain).await
    }

    /// Moves the request to servers other than the lost ones; those that stay keep their memory.
    async fn change_chain(&mut self, chain: &Chain) -> Silence {
        let gateway = self.gateway.clone();
        let Some(new) = gateway.traffic.rechoose(&self.service, self.tokens(), chain) else {
            return Silence::Lost;
        };
        let first = new.first().clone();
        let order = Order::Repath { id: self.id(), chain: &new };
        let reply = gateway.order(&first.server, first.address, &order).await;
        let outcome = format!("{reply:?}");
        let target = Target::Chain(Rc::new(new));
        self.chain = describe(&target);
        gateway.journal.line(
            Event::RequestMoved,
            &[("id", &self.id()), ("chain", &self.chain), ("reply", &outcome)],
        );
        let taken = matches!(reply, Some(OrderReply::Begun | OrderReply::Done));
        gateway.counters.moved(taken);
        if !taken {
            return Silence::Lost;
        }
        self.set_current(target);
        Silence::Moved
    }

    /// Asks the servers of a chain whose events come late how fast they are, in the background.
    fn look_for_slow(&self, chain: &Chain) {
        for part in chain.parts() {
            let gateway = self.gateway.clone();
            let part = part.clone();
            tokio::task::spawn_local(async move {
                gateway.look_at_pace(&part.server, part.address, PACE_AGE).await;
            });
        }
    }

    fn check_reply(
        &self,
        head: &http::response::Parts,
        reply: &ServerReply,
        target: &Target,
    ) -> Option<Ended> {
        let traffic = &self.gateway.traffic;
        if reply.id.is_some() && reply.id.as_deref() != self.caller.id.as_deref() {
            return Some(without(AttemptEnd::Broken, EndReason::OtherAnswer));
        }
        if reply.not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
            let at_fault = traffic.declined(target.server(), reply.at_fault);
            self.gateway.journal.line(
                Event::RequestDeclined,
                &[
                    ("id", &self.id()),
                    ("status", &head.status.as_u16()),
                    ("asked", target.server()),
                    ("at_fault", &at_fault),
                ],
            );
            return Some(without(AttemptEnd::Declined, EndReason::Declined));
        }
        let unusable = !reply.sealed || reply.encoded || reply.id.is_none();
        if head.status.is_success() && unusable {
            return Some(without(AttemptEnd::Broken, EndReason::Unsealed));
        }
        if head.status.is_server_error() && !reply.sealed {
            return Some(without(AttemptEnd::Broken, EndReason::UnsealedFailure));
        }
        None
    }

    async fn take_whole(
        &mut self,
        head: http::response::Parts,
        reply: ServerReply,
        body: Incoming,
        link: Link,
        target: &Target,
    ) -> Ended {
        let Ok(body) = Limited::new(body, MAX_ANSWER_BYTES).collect().await else {
            return without(AttemptEnd::Broken, EndReason::BodyBroken);
        };
        if !reply.closes {
            self.gateway.pool.give_back(link, reply.keep);
        }
        let fields = self.gateway.edge.returned(&head.headers);
        let mut response = Response::new(body.to_bytes());
        *response.status_mut() = head.status;
        *response.headers_mut() = fields;
        if head.status.is_server_error() {
            return Ended::Without {
                end: AttemptEnd::Failed,
                kept: Some(response),
                why: EndReason::ServerError,
            };
        }
        self.gateway.traffic.sound_target(target);
        self.why = EndReason::Answered;
        self.answer_whole(response);
        Ended::Done
    }

    async fn relay(
        &mut self,
        head: http::response::Parts,
        reply: ServerReply,
        mut body: Incoming,
        link: Link,
    ) -> Ended {
        self.version = self.version.or(reply.version);
        self.events.restart();
        let mut silence = if self.events.last().is_some() { SILENCE } else { FIRST_SILENCE };
        loop {
            let frame = match time::timeout(silence, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => {
                    if let Silence::Lost = self.look_at(silence).await {
                        return without(AttemptEnd::Silent, EndReason::StreamSilent);
                    }
                    silence = SILENCE_AGAIN;
                    continue;
                }
            };
            silence = SILENCE;
            let data = match frame {
                None => break,
                Some(Err(_)) => return without(AttemptEnd::Broken, EndReason::StreamBroken),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            let Ok(whole) = self.events.push(&data) else {
                return without(AttemptEnd::Broken, EndReason::StreamOrder);
            };
            if whole.count > 0 {
                self.note_sound();
                self.note_event();
                self.begin(&head);
                if let Some(chunks) = &self.chunks {
                    chunks.send(whole.bytes).await;
                }
            }
        }
        if self.events.has_part() {
            return without(AttemptEnd::Broken, EndReason::StreamPart);
        }
        if !reply.closes {
            self.gateway.pool.give_back(link, reply.keep);
        }
        self.begin(&head);
        self.why = EndReason::Streamed;
        self.gateway.counters.stream(self.first_event, self.longest_gap);
        self.note_done(head.status);
        if let Some(chunks) = self.chunks.take() {
            chunks.finish();
        }
        Ended::Done
    }

    /// Gives the caller the head of a stream, once.
    fn begin(&mut self, head: &http::response::Parts) {
        let Some(head_tx) = self.head_tx.take() else {
            return;
        };
        self.outcome.on_begun();
        let mut fields = self.gateway.edge.returned(&head.headers);
        fields.remove(header::CONTENT_LENGTH);
        let (chunks, body) = answer::chunked();
        self.chunks = Some(chunks);
        // A caller that is gone ends this task by its guard.
        let _ = head_tx.send(answer::respond(head.status, fields, body));
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
        next: Next,
        kept: Option<Response<Bytes>>,
        unknown: StatusCode,
    ) {
        match next {
            Next::PassOn if kept.is_some() => {
                if let Some(kept) = kept {
                    self.answer_whole(kept);
                }
            }
            Next::BreakOff => {
                self.gateway.counters.request(self.why);
                self.note(Event::AnswerBrokenOff);
                if let Some(chunks) = self.chunks.take() {
                    chunks.break_off().await;
                }
            }
            Next::Refuse => self.answer_own(StatusCode::SERVICE_UNAVAILABLE),
            Next::PassOn | Next::Unknown | Next::Retry => self.answer_own(unknown),
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

    fn note_sent(&mut self, target: &Target) {
        let left = self.due.since(self.gateway.clock.now());
        self.chain = describe(target);
        self.gateway.counters.sent();
        self.gateway.journal.line(
            Event::RequestSent,
            &[("id", &self.id()), ("chain", &self.chain), ("left_ms", &left.0)],
        );
    }

    /// Notes with the first event of an attempt that all servers of its chain do their work.
    fn note_sound(&mut self) {
        if let Some(Current { target, sound, .. }) = &mut self.current {
            if !std::mem::replace(sound, true) {
                self.gateway.traffic.sound_target(target);
            }
        }
    }

    /// Takes the time of events that go to the caller; the first gap is the time to the first one.
    fn note_event(&mut self) {
        let now = self.gateway.clock.now();
        if self.outcome.has_begun() {
            self.longest_gap = self.longest_gap.max(now.since(self.last_event));
        } else {
            self.first_event = now.since(self.started);
        }
        self.last_event = now;
    }

    fn note_done(&self, status: StatusCode) {
        let ms = self.gateway.clock.now().since(self.started);
        self.gateway.counters.request(self.why);
        self.gateway.journal.line(
            Event::RequestDone,
            &[
                ("id", &self.id()),
                ("route", &self.route.name),
                ("status", &status.as_u16()),
                ("why", &self.why),
                ("ms", &ms.0),
                ("gap_ms", &self.longest_gap.0),
                ("chain", &self.chain),
            ],
        );
    }

    fn note(&self, event: Event) {
        let ms = self.gateway.clock.now().since(self.started);
        self.gateway.journal.line(event, &[("id", &self.id()), ("why", &self.why), ("ms", &ms.0)]);
    }
}

fn describe(target: &Target) -> String {
    match target {
        Target::Server { server, .. } => server.to_string(),
        Target::Chain(chain) => {
            let parts: Vec<String> = chain
                .parts()
                .iter()
                .map(|p| format!("{}={}-{}", p.server, p.layers.from, p.layers.to))
                .collect();
            parts.join(",")
        }
    }
}

fn without(end: AttemptEnd, why: EndReason) -> Ended {
    Ended::Without { end, kept: None, why }
}

/// Returns a time to come back, in seconds, spread over hosts and requests.
pub fn retry_after() -> HeaderValue {
    let (least, most) = RETURN_MS;
    let ms = rand::random_range(least..most);
    let text = format!("{}.{:03}", ms / 1_000, ms % 1_000);
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
}
