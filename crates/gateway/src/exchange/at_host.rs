//! An attempt at another host, which sends the request to servers that this host does not reach.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use rand::seq::IndexedRandom;
use tokio::time;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::outcome::AttemptEnd;
use yuccanotch_core::forward::outcome::AttemptTarget;
use yuccanotch_core::forward::reason::EndReason;
use yuccanotch_core::peering::observations::short_hash;

use crate::body;
use crate::exchange::attempt::unanswered;
use crate::exchange::attempt::MAX_ANSWER_BYTES;
use crate::exchange::AttemptResult;
use crate::exchange::Exchange;
use crate::exchange::ServerProgress;
use crate::pool::PooledConnection;
use crate::pool::Purpose;
use crate::pool::Reuse;
use crate::pool::SendError;
use crate::relay;
use crate::relay::Relayed;
use crate::relay::ServedBy;

/// The silence of another host after which a request that may run again is sent elsewhere. It is
/// longer than the time in which that host itself gives up silent servers.
const HOST_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Exchange {
    /// Chooses a host for the request if this one reaches no server that it could begin at, or may
    /// send nothing to any, by the rates that they name. A
    /// request that another host has passed on goes no further.
    pub(super) fn choose_host(&self) -> Option<SocketAddrV4> {
        let gateway = &self.gateway;
        let may_run = self.outcome.may_try_new_server() || self.outcome.has_begun();
        let routing = &gateway.routing;
        let has_server =
            !routing.reaches_none(&self.service) && !routing.lacks_share(&self.service);
        if self.is_relayed || !may_run || has_server {
            return None;
        }
        let domain = short_hash(gateway.settings.domain.as_str());
        let takers = gateway.links.state().takers(gateway.clock.now(), domain);
        takers.choose(&mut rand::rng()).copied()
    }

    /// Sends the request to the host at `relay` and passes its answer to the caller.
    pub(super) async fn attempt_at_host(&mut self, relay: SocketAddrV4) -> AttemptResult {
        let gateway = self.gateway.clone();
        self.current = None;
        let attempts_left = self.outcome.attempts_left();
        self.outcome.on_send(AttemptTarget::Untried);
        let Ok(mut conn) = gateway.pool.acquire(relay, Purpose::Requests, Reuse::Allowed).await
        else {
            gateway.avoid_host(relay);
            return unanswered(AttemptEnd::NotSent, EndReason::Connect);
        };
        self.set_sent();
        let req = self.build_relayed_request(attempts_left);
        self.log_passed_on(relay);
        let response = match self.send_to_host(&mut conn, req).await {
            Ok(response) => response,
            Err(ended) => {
                gateway.avoid_host(relay);
                return ended;
            }
        };
        let (mut head, body) = response.into_parts();
        self.add_tried(relay::take_tried(&mut head.headers));
        let served_by = ServedBy::take(&mut head.headers, relay);
        let reply = gateway.adapter.decode_reply(&head);
        let is_own = gateway.is_own_answer(self.caller.id.as_deref(), &head, &reply, &conn);
        if !is_own || (head.status.is_success() && !reply.sealed) {
            return unanswered(AttemptEnd::Broken, EndReason::OtherAnswer);
        }
        if head.status.is_informational() {
            return unanswered(AttemptEnd::Broken, EndReason::ProtocolChange);
        }
        if !reply.sealed && is_refusal(head.status) {
            gateway.avoid_host(relay);
            return unanswered(AttemptEnd::NotSent, EndReason::HostDeclined);
        }
        if !reply.sealed {
            return unanswered(AttemptEnd::Broken, EndReason::UnsealedFailure);
        }
        if let Some(ended) = self.check_rest(&head) {
            return ended;
        }
        if let Some(served_by) = served_by {
            gateway.on_version_used(served_by);
        }
        if self.route.streaming && head.status.is_success() {
            return self.relay_stream(head, reply, body, conn).await;
        }
        let waits = Cell::default();
        let Ok(body) = body::read_answer(&gateway, body, MAX_ANSWER_BYTES, &waits).await else {
            return unanswered(AttemptEnd::Broken, EndReason::BodyBroken);
        };
        if !reply.closes {
            gateway.pool.release(conn, reply.keep_alive);
        }
        // The other host has tried what the route allows before it passed on a server's failure.
        let is_failure = head.status.is_server_error();
        if !is_failure {
            self.record_duration();
        }
        self.end_reason = if is_failure { EndReason::ServerError } else { EndReason::Answered };
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = gateway.adapter.returned_headers(&head.headers);
        self.send_whole_answer(response);
        AttemptResult::Done
    }

    /// Builds the request for another host, with the time that is left until the deadline.
    fn build_relayed_request(&self, attempts_left: u8) -> Request<Full<Bytes>> {
        let time_left = self.deadline.since(self.gateway.clock.now());
        let resume_after = self.events.last_event_id();
        let mut fields = self.gateway.adapter.relayed_headers(&self.head, time_left, resume_after);
        let relayed = Relayed {
            attempts_left,
            version: self.version,
            tried: self.tried.clone(),
            configuration: self.gateway.views.newest_version(),
        };
        relayed.write(&mut fields);
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = self.head.uri.clone();
        *req.headers_mut() = fields;
        req
    }

    /// Sends the request and waits for the head of an answer.
    async fn send_to_host(
        &mut self,
        conn: &mut PooledConnection,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, AttemptResult> {
        let may_rerun = self.route.repeat.allows_rerun();
        let limit = if may_rerun { HOST_TIMEOUT } else { Duration::MAX };
        let sending = conn.send(req);
        tokio::pin!(sending);
        loop {
            match time::timeout(limit, &mut sending).await {
                Ok(Ok(response)) => return Ok(response),
                Ok(Err(SendError::NotSent(_))) => {
                    return Err(unanswered(AttemptEnd::NotSent, EndReason::Closed));
                }
                Ok(Err(SendError::Broken(_))) => {
                    return Err(unanswered(AttemptEnd::Broken, EndReason::Broken));
                }
                Err(_) => {
                    if let ServerProgress::Lost = self.lost_unless_alone() {
                        return Err(unanswered(AttemptEnd::Silent, EndReason::Silent));
                    }
                }
            }
        }
    }

    /// Returns the state of another host that has sent nothing for some time.
    pub(super) fn check_silent_host(&self) -> ServerProgress {
        let silence = self.gateway.clock.now().since(self.silent_since());
        if silence.to_duration() < HOST_TIMEOUT {
            ServerProgress::Working
        } else {
            self.lost_unless_alone()
        }
    }

    /// Adds servers that have had the request at another host.
    fn add_tried(&mut self, tried: relay::TriedServers) {
        let before = self.tried.len();
        for server in tried {
            if !self.tried.contains(&server) {
                self.tried.push(server);
            }
        }
        let more = self.tried.len() - before;
        self.outcome.on_more_servers(u8::try_from(more.saturating_sub(1)).unwrap_or(u8::MAX));
    }

    fn log_passed_on(&mut self, relay: SocketAddrV4) {
        let left = self.deadline.since(self.gateway.clock.now());
        self.target_text = relay.to_string();
        self.gateway.counters.request_passed_on();
        self.gateway.event_log.line(
            Event::RequestPassedOn,
            &[("id", &self.id()), ("host", &relay), ("left_ms", &left.0)],
        );
    }
}

/// Returns whether an answer of a host's own says that the request has not run and never will.
fn is_refusal(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}
