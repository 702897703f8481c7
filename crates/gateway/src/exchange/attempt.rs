//! One attempt at a server: what is sent, what comes back and what of it the caller gets.

use std::time::Duration;

use bytes::Bytes;
use http::header;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::time;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::outcome::AttemptEnd;
use yuccanotch_core::forward::outcome::AttemptTarget;
use yuccanotch_core::forward::reason::EndReason;
use yuccanotch_core::forward::routes::RepeatPolicy;

use crate::answer;
use crate::edge::Forward;
use crate::edge::ServerReply;
use crate::exchange::silence::FIRST_SILENCE;
use crate::exchange::silence::SILENCE;
use crate::exchange::silence::SILENCE_AGAIN;
use crate::exchange::Current;
use crate::exchange::Ended;
use crate::exchange::Exchange;
use crate::exchange::Silence;
use crate::pool::Link;
use crate::pool::Reuse;
use crate::pool::SendError;
use crate::traffic::Target;

/// The longest body of an answer that is not a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

impl Exchange {
    /// Sends the request to `target` and carries the answer to the caller, as far as it is usable.
    pub(super) async fn attempt(&mut self, target: &Target) -> Ended {
        let gateway = self.gateway.clone();
        self.set_current(target.clone());
        let known = self.tried.contains(target.server());
        let receiver = if known { AttemptTarget::Tried } else { AttemptTarget::Untried };
        let mut link = match gateway.pool.link(target.address(), Reuse::Allowed).await {
            Ok(link) => link,
            Err(_) => {
                gateway.traffic.suspect(target.server(), "connect");
                self.outcome.on_send(receiver);
                return without(AttemptEnd::NotSent, EndReason::Connect);
            }
        };
        self.outcome.on_send(receiver);
        if receiver == AttemptTarget::Untried {
            self.tried.push(target.server().clone());
        }
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

    /// Notes which servers have the request now.
    pub(super) fn set_current(&mut self, target: Target) {
        self.current = None;
        let in_progress = self.gateway.traffic.begin(&target, self.tokens());
        self.current = Some(Current { target, sound: false, _in_progress: in_progress });
    }

    /// Writes the request for `target`, with the time that is left.
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
            resume_after: self.events.last_event_id(),
            version: self.version,
            priority: None,
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = self.head.uri.clone();
        *req.headers_mut() = self.gateway.edge.forwarded(&self.head, &forward);
        req
    }

    /// Sends the request and waits for the head of an answer.
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
                (Target::Server { .. }, RepeatPolicy::Safe) => self.plain_silence(),
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

    /// Checks the head of an answer; returns how the attempt ended if it is unusable.
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

    /// Takes an answer that is not a stream, whole.
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

    /// Passes whole events on as they arrive.
    async fn relay(
        &mut self,
        head: http::response::Parts,
        reply: ServerReply,
        mut body: Incoming,
        link: Link,
    ) -> Ended {
        self.version = self.version.or(reply.version);
        self.events.discard_partial_event();
        let mut silence =
            if self.events.last_event_id().is_some() { SILENCE } else { FIRST_SILENCE };
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
        if self.events.has_partial_event() {
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
        self.outcome.on_answer_begun();
        let mut fields = self.gateway.edge.returned(&head.headers);
        fields.remove(header::CONTENT_LENGTH);
        let (chunks, body) = answer::chunked();
        self.chunks = Some(chunks);
        // A caller that is gone ends this task by its guard.
        let _ = head_tx.send(answer::respond(head.status, fields, body));
    }
}

fn without(end: AttemptEnd, why: EndReason) -> Ended {
    Ended::Without { end, kept: None, why }
}
