//! The final answer of a request: a server's, or one of the host's own with what is known of the request.

use bytes::Bytes;
use http::header;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::outcome::NextStep;
use yuccanotch_core::forward::reason::EndReason;

use crate::answer;
use crate::answer::AnswerBody;
use crate::exchange::Exchange;
use crate::relay;
use crate::relay::ServedBy;

/// The shortest and longest time that a refused caller is told to wait before it tries again, in
/// ms.
const RETRY_AFTER_MS: (u64, u64) = (400, 1_600);
/// The longest time that a caller is told to wait that other hosts can serve at once, in ms; it spreads
/// the returns of those that one host refuses in the same moment.
const MAX_ELSEWHERE_MS: u64 = 100;
/// The longest time that is added to the end of a pause for callers that are refused because of it,
/// in ms.
const MAX_PAUSE_SPREAD_MS: u64 = 100;

impl Exchange {
    /// Adds what a host that passed the request on needs to know to the head of an answer.
    pub(super) fn add_relay_fields(&self, fields: &mut HeaderMap) {
        if self.is_relayed {
            relay::write_tried(fields, &self.tried);
            let control = self.gateway.settings.control;
            ServedBy { version: self.configuration, control }.write(fields);
        }
    }

    /// Sends a server's complete answer to the caller as the final one.
    pub(super) fn send_whole_answer(&mut self, response: Response<Bytes>) {
        let (mut head, body) = response.into_parts();
        self.add_relay_fields(&mut head.headers);
        self.log_done(head.status);
        if let Some(head_tx) = self.head_tx.take() {
            let body = AnswerBody::whole(body);
            let _ = head_tx.send(answer::respond(head.status, head.headers, body));
        }
    }

    /// Ends a request that got no usable answer, in the way that `next` says. `server_answer` is
    /// the failure to pass on, and `unknown_status` the status if it is not known whether the
    /// request ran.
    pub(super) fn finish_unanswered(
        &mut self,
        next: NextStep,
        server_answer: Option<Response<Bytes>>,
        unknown_status: StatusCode,
    ) {
        match next {
            NextStep::PassOn if server_answer.is_some() => {
                if let Some(server_answer) = server_answer {
                    self.send_whole_answer(server_answer);
                }
            }
            NextStep::BreakOff => {
                self.gateway.counters.request_ended(self.end_reason);
                self.log_end(Event::AnswerBrokenOff);
                self.chunks = None;
            }
            NextStep::Refuse => self.answer_with_status(StatusCode::SERVICE_UNAVAILABLE),
            NextStep::PassOn | NextStep::Unknown | NextStep::Retry | NextStep::AwaitBudget => {
                self.answer_with_status(unknown_status)
            }
        }
    }

    /// Sends a final answer of the host's own, with an empty body.
    pub(super) fn answer_with_status(&mut self, status: StatusCode) {
        let mut fields: HeaderMap = self.gateway.adapter.own_headers(self.caller.id.as_deref());
        if status == StatusCode::SERVICE_UNAVAILABLE {
            let pause = || self.gateway.routing.time_all_paused(&self.service);
            let value = match self.retry_after {
                _ if self.end_reason == EndReason::HostStopping => retry_elsewhere(),
                Some(span) => retry_after_value(span),
                None => pause().map_or_else(retry_after, retry_after_pause),
            };
            fields.insert(header::RETRY_AFTER, value);
        }
        self.add_relay_fields(&mut fields);
        self.log_done(status);
        if let Some(head_tx) = self.head_tx.take() {
            let body = AnswerBody::whole(Bytes::new());
            let _ = head_tx.send(answer::respond(status, fields, body));
        }
    }
}

/// Returns a random `Retry-After` value in seconds, so that refused callers do not all return at
/// once.
pub fn retry_after() -> HeaderValue {
    let (least, most) = RETRY_AFTER_MS;
    retry_after_value(Millis(rand::random_range(least..most)))
}

/// Returns the `Retry-After` value of a refusal because this host stops: any other one may take the
/// request.
pub fn retry_elsewhere() -> HeaderValue {
    retry_after_value(Millis(rand::random_range(0..MAX_ELSEWHERE_MS)))
}

/// Returns the `Retry-After` value of a refusal because servers are in a pause for `left` more; a
/// little longer, so that refused callers do not all return at once.
fn retry_after_pause(left: Millis) -> HeaderValue {
    retry_after_value(left + Millis(rand::random_range(0..MAX_PAUSE_SPREAD_MS)))
}

/// Encodes a `Retry-After` value, in seconds.
fn retry_after_value(span: Millis) -> HeaderValue {
    let text = format!("{}.{:03}", span.0 / 1_000, span.0 % 1_000);
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
}
