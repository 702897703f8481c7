//! One attempt: sends the request to a target, checks the answer and passes it to the caller.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::outcome::AttemptEnd;
use yuccanotch_core::forward::outcome::AttemptTarget;
use yuccanotch_core::forward::reason::EndReason;
use yuccanotch_core::forward::routes::RepeatPolicy;
use yuccanotch_core::placement::chain::Chain;
use yuccanotch_core::placement::load::PendingPrefill;
use yuccanotch_core::reachability::LinkFailure;

use crate::adapter::Forward;
use crate::adapter::ServerReply;
use crate::announcements::Announcer;
use crate::body;
use crate::exchange::silence::FIRST_EVENT_TIMEOUT;
use crate::exchange::silence::RECHECK_TIMEOUT;
use crate::exchange::AttemptResult;
use crate::exchange::CurrentTarget;
use crate::exchange::Exchange;
use crate::exchange::ServerProgress;
use crate::pool::PooledConnection;
use crate::pool::Purpose;
use crate::pool::Reuse;
use crate::pool::SendError;
use crate::quarantine;
use crate::routing::Target;

/// The largest accepted body of an answer that is not a stream, in bytes.
pub(super) const MAX_ANSWER_BYTES: usize = 4 << 20;
/// The shortest time after which a decline because of a later server shows that the request has
/// waited for it.
const MIN_STALL: Millis = Millis(150);

impl Exchange {
    /// Sends the request to `target` and passes its answer to the caller, as far as it is usable.
    pub(super) async fn attempt(&mut self, target: &Target) -> AttemptResult {
        let gateway = self.gateway.clone();
        self.set_current(target.clone());
        if let Target::Chain(chain) = target {
            gateway.routing.on_sending_over(&self.service, chain, self.expected_tokens());
        }
        gateway.routing.on_send(target.server());
        let asked = gateway.incarnation(target.server());
        let known = self.tried.contains(target.server());
        let receiver = if known { AttemptTarget::Tried } else { AttemptTarget::Untried };
        let address = target.address();
        let acquired = gateway.pool.acquire(address, Purpose::Requests, Reuse::Allowed).await;
        let mut conn = match acquired {
            Ok(conn) => conn,
            Err(_) => {
                gateway.links.on_failure(target.server(), LinkFailure::NoConnection);
                gateway.routing.suspect(target.server(), "connect");
                self.outcome.on_send(receiver);
                return unanswered(AttemptEnd::NotSent, EndReason::Connect);
            }
        };
        self.outcome.on_send(receiver);
        if receiver == AttemptTarget::Untried {
            self.tried.push(target.server().clone());
        }
        let req = self.build_request(target);
        self.log_sent(target);
        self.set_sent();
        let servers = quarantine::crash_ids(&gateway, target);
        gateway.crashes.on_start(self.run, &self.fingerprints, servers);
        let sent = self.send_request(&mut conn, req, target).await;
        let response = match sent {
            Ok(response) => response,
            Err(ended) => return ended,
        };
        let (head, body) = response.into_parts();
        gateway.links.on_heard(target.server(), conn.is_new());
        let reply = gateway.adapter.decode_reply(&head);
        let announcer = match head.status {
            // Whoever has the address now is not the one that was asked.
            StatusCode::MISDIRECTED_REQUEST => Announcer::At(address),
            _ => Announcer::Asked(&asked),
        };
        if !gateway.is_own_answer(self.caller.id.as_deref(), &head, &reply, &conn) {
            return unanswered(AttemptEnd::Broken, EndReason::OtherAnswer);
        }
        gateway.record_announcements(announcer, &reply);
        if let Some(ended) = self.check_reply(&head, &reply, target) {
            if let Some(address) = reply.at_fault {
                self.check_declining_stage(address).await;
            }
            return ended;
        }
        if let Some(ended) = self.check_rest(&head) {
            return ended;
        }
        if self.route.streaming && head.status.is_success() {
            return self.relay_stream(head, reply, body, conn).await;
        }
        self.receive_whole_answer(head, reply, body, conn, target).await
    }

    /// Records that an attempt is sent now.
    pub(super) fn set_sent(&mut self) {
        self.sent_at = self.gateway.clock.now();
        self.first_sent_at.get_or_insert(self.sent_at);
    }

    /// Finds out whether the server at `address` has crashed because of the request. A request that
    /// is declined at once met a server that was down before.
    async fn check_declining_stage(&self, address: SocketAddrV4) {
        if self.gateway.clock.now().since(self.sent_at) >= MIN_STALL {
            quarantine::check_later_server(&self.gateway, address, self.silent_since()).await;
        }
    }

    /// Records `target` as the one that has the request, and moves its load there.
    fn set_current(&mut self, target: Target) {
        let pending = match &target {
            Target::Chain(chain) => PendingPrefill::of_request(chain, self.tokens_to_prefill()),
            Target::Server { .. } => PendingPrefill::default(),
        };
        self.replace_current(target, pending);
    }

    /// Records that the request has moved to the chain `new`, and moves its load there.
    pub(super) fn move_current(&mut self, new: Rc<Chain>) {
        let tokens = self.tokens_to_prefill();
        let current = self.current.as_ref();
        let pending = current.map(|c| c.in_progress.pending_after_move(&new, tokens));
        self.replace_current(Target::Chain(new), pending.unwrap_or_default());
    }

    fn replace_current(&mut self, target: Target, pending: PendingPrefill) {
        self.current = None;
        let in_progress = self.gateway.routing.begin(&target, self.expected_load(), pending);
        self.current = Some(CurrentTarget { target, seen_working: false, in_progress });
    }

    /// Builds the request for `target`, with the time that is left until the deadline.
    fn build_request(&self, target: &Target) -> Request<Full<Bytes>> {
        let now = self.gateway.clock.now();
        let chain = match target {
            Target::Chain(chain) => Some(chain.as_ref()),
            Target::Server { .. } => None,
        };
        let forward = Forward {
            time_left: self.deadline.since(now),
            team: self.team.as_ref().map(|t| t.name.as_str()),
            server: target.server(),
            chain,
            resume_after: self.events.last_event_id(),
            version: self.version,
            priority: self.rank().map(|rank| rank.0),
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = self.head.uri.clone();
        *req.headers_mut() = self.gateway.adapter.forwarded_headers(&self.head, &forward);
        req
    }

    /// Sends the request and waits for the head of an answer, checking a server that stays silent
    /// for too long.
    async fn send_request(
        &mut self,
        conn: &mut PooledConnection,
        req: Request<Full<Bytes>>,
        target: &Target,
    ) -> Result<Response<Incoming>, AttemptResult> {
        let is_new = conn.is_new();
        let sending = conn.send(req);
        tokio::pin!(sending);
        let mut timeout = FIRST_EVENT_TIMEOUT;
        loop {
            let limit = match (target, self.route.repeat) {
                (Target::Chain(_), _) => timeout,
                (Target::Server { .. }, RepeatPolicy::Safe) => self.plain_server_timeout(),
                (Target::Server { .. }, _) => Duration::MAX,
            };
            match time::timeout(limit, &mut sending).await {
                Ok(Ok(response)) => return Ok(response),
                Ok(Err(SendError::NotSent(_))) => {
                    return Err(unanswered(AttemptEnd::NotSent, EndReason::Closed));
                }
                Ok(Err(SendError::Broken(_))) => {
                    // A new connection that breaks before an answer was none.
                    let failure =
                        if is_new { LinkFailure::NoConnection } else { LinkFailure::Break };
                    self.gateway.links.on_failure(target.server(), failure);
                    return Err(unanswered(AttemptEnd::Broken, EndReason::Broken));
                }
                Err(_) => {
                    if let ServerProgress::Lost = self.check_silent_server(timeout).await {
                        return Err(unanswered(AttemptEnd::Silent, EndReason::Silent));
                    }
                    timeout = RECHECK_TIMEOUT;
                }
            }
        }
    }

    /// Checks the head of an answer to this request; returns the result of the attempt if the answer is
    /// unusable.
    fn check_reply(
        &self,
        head: &http::response::Parts,
        reply: &ServerReply,
        target: &Target,
    ) -> Option<AttemptResult> {
        let routing = &self.gateway.routing;
        if head.status.is_informational() {
            return Some(unanswered(AttemptEnd::Broken, EndReason::ProtocolChange));
        }
        if reply.not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
            let at_fault = routing.record_decline(target.server(), reply.at_fault);
            self.gateway.event_log.line(
                Event::RequestDeclined,
                &[
                    ("id", &self.id()),
                    ("status", &head.status.as_u16()),
                    ("asked", target.server()),
                    ("at_fault", &at_fault),
                ],
            );
            let end = if at_fault == *target.server() {
                AttemptEnd::Declined
            } else {
                AttemptEnd::StageDeclined
            };
            return Some(unanswered(end, EndReason::Declined));
        }
        if head.status.is_success() && (!reply.sealed || reply.encoded) {
            return Some(unanswered(AttemptEnd::Broken, EndReason::Unsealed));
        }
        if head.status.is_server_error() && !reply.sealed {
            return Some(unanswered(AttemptEnd::Broken, EndReason::UnsealedFailure));
        }
        None
    }

    /// Receives a complete answer that is not a stream and sends it to the caller.
    async fn receive_whole_answer(
        &mut self,
        head: http::response::Parts,
        reply: ServerReply,
        body: Incoming,
        conn: PooledConnection,
        target: &Target,
    ) -> AttemptResult {
        let body = match self.receive_body(body).await {
            Ok(body) => body,
            Err(ended) => return ended,
        };
        if !reply.closes {
            self.gateway.pool.release(conn, reply.keep_alive);
        }
        let fields = self.gateway.adapter.returned_headers(&head.headers);
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = fields;
        if head.status.is_server_error() {
            return AttemptResult::Unanswered {
                end: AttemptEnd::Failed,
                server_answer: Some(response),
                why: EndReason::ServerError,
            };
        }
        self.gateway.routing.record_success(target);
        self.record_duration();
        self.end_reason = EndReason::Answered;
        self.send_whole_answer(response);
        AttemptResult::Done
    }

    /// Receives a body. A safe request goes elsewhere, if it can, when a body that has begun does not
    /// end.
    async fn receive_body(&self, body: Incoming) -> Result<Bytes, AttemptResult> {
        let is_safe = self.route.repeat == RepeatPolicy::Safe;
        let limit = if is_safe { self.plain_server_timeout() } else { Duration::MAX };
        let waits_for_memory = Cell::new(false);
        let receiving = body::read_answer(&self.gateway, body, MAX_ANSWER_BYTES, &waits_for_memory);
        tokio::pin!(receiving);
        loop {
            match time::timeout(limit, &mut receiving).await {
                Ok(Ok(body)) => return Ok(body),
                // The server is not at fault while this host does not read.
                Err(_) if waits_for_memory.get() => {}
                Ok(Err(_)) => return Err(unanswered(AttemptEnd::Broken, EndReason::BodyBroken)),
                Err(_) => {
                    if let ServerProgress::Lost = self.lost_unless_alone() {
                        return Err(unanswered(AttemptEnd::Silent, EndReason::BodyBroken));
                    }
                }
            }
        }
    }
}

pub(super) fn unanswered(end: AttemptEnd, why: EndReason) -> AttemptResult {
    AttemptResult::Unanswered { end, server_answer: None, why }
}
