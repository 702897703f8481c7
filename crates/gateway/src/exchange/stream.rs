//! The relay of a stream to the caller, event by event.

use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time;
use yuccanotch_core::bytes::NoRoom;
use yuccanotch_core::bytes::Reservation;
use yuccanotch_core::bytes::UseKind;
use yuccanotch_core::forward::events::EventError;
use yuccanotch_core::forward::outcome::AttemptEnd;
use yuccanotch_core::forward::reason::EndReason;

use crate::adapter::ServerReply;
use crate::answer;
use crate::exchange::attempt::unanswered;
use crate::exchange::silence::FIRST_EVENT_TIMEOUT;
use crate::exchange::silence::RECHECK_TIMEOUT;
use crate::exchange::AttemptResult;
use crate::exchange::Exchange;
use crate::exchange::ServerProgress;
use crate::pool::PooledConnection;

/// The bytes of an incomplete event that are not reserved.
const FREE_EVENT_BYTES: usize = 8 << 10;
/// The most by which the buffer of an event is larger than its bytes, as a factor.
const BUFFER_GROWTH: usize = 2;

impl Exchange {
    /// Checks the head of an answer that comes after a stream has begun; returns the result of the
    /// attempt unless it is the rest of that stream, which has the same status and media type. Whatever
    /// else a server answers has no place behind what the caller has received.
    pub(super) fn check_rest(&self, head: &http::response::Parts) -> Option<AttemptResult> {
        let (status, media_type) = self.begun_as.as_ref()?;
        let is_rest =
            head.status == *status && head.headers.get(header::CONTENT_TYPE) == media_type.as_ref();
        (!is_rest).then(|| unanswered(AttemptEnd::Failed, EndReason::NotTheRest))
    }

    /// Passes the events of a stream to the caller, each as soon as it is complete.
    pub(super) async fn relay_stream(
        &mut self,
        head: http::response::Parts,
        reply: ServerReply,
        mut body: Incoming,
        conn: PooledConnection,
    ) -> AttemptResult {
        self.version = self.version.or(reply.version);
        self.events.begin_attempt();
        let mut partial_event = self.gateway.byte_budget.reservation(UseKind::Chunks);
        let mut timeout = if self.events.last_event_id().is_some() {
            self.event_timeout()
        } else {
            FIRST_EVENT_TIMEOUT
        };
        loop {
            let frame = match time::timeout(timeout, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => {
                    if let ServerProgress::Lost = self.check_silent_server(timeout).await {
                        return unanswered(AttemptEnd::Silent, EndReason::StreamSilent);
                    }
                    timeout = RECHECK_TIMEOUT;
                    continue;
                }
            };
            timeout = self.event_timeout();
            let data = match frame {
                None => break,
                Some(Err(_)) => return unanswered(AttemptEnd::Broken, EndReason::StreamBroken),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            let whole = match self.events.push(&data) {
                Ok(whole) => whole,
                Err(EventError::TooLong) => {
                    return unanswered(AttemptEnd::Broken, EndReason::EventTooLong);
                }
                Err(EventError::NoId | EventError::Gap | EventError::Repeated) => {
                    return unanswered(AttemptEnd::Broken, EndReason::StreamOrder);
                }
            };
            if whole.count > 0 {
                self.gateway.crashes.on_progress(self.run);
                self.record_working();
                self.record_heard();
                self.record_event_time();
                self.begin_answer(&head);
                if let Some(chunks) = &self.chunks {
                    chunks.send(whole.bytes).await;
                }
            }
            // The attempt may end here, so the complete events come first.
            if self.reserve_partial_event(&mut partial_event).is_err() {
                return unanswered(AttemptEnd::Broken, EndReason::EventTooLong);
            }
        }
        if self.events.has_partial_event() {
            return unanswered(AttemptEnd::Broken, EndReason::StreamPart);
        }
        if !reply.closes {
            self.gateway.pool.release(conn, reply.keep_alive);
        }
        self.begin_answer(&head);
        self.end_reason = EndReason::Streamed;
        self.record_duration();
        self.gateway.counters.stream_ended(self.first_event_delay, self.longest_gap);
        let held = self.gateway.clock.now().since(self.sent_at);
        self.gateway.routing.on_answered(&self.service.name, held);
        self.log_done(head.status);
        if let Some(chunks) = self.chunks.take() {
            chunks.finish();
        }
        AttemptResult::Done
    }

    /// Makes `reservation` that of the event whose end has not come. The first bytes are free, so that
    /// ordinary events need no room that others have taken.
    fn reserve_partial_event(&self, reservation: &mut Reservation) -> Result<(), NoRoom> {
        let bytes = self.events.partial_bytes().saturating_sub(FREE_EVENT_BYTES);
        let needed = bytes * BUFFER_GROWTH;
        if needed <= reservation.bytes() {
            reservation.shrink_to(needed);
            return Ok(());
        }
        let grown = reservation.grow(needed - reservation.bytes());
        if grown.is_err() {
            self.gateway.note_exhausted(UseKind::Chunks);
        }
        grown
    }

    /// Sends the head of a stream to the caller, unless it already has one.
    fn begin_answer(&mut self, head: &http::response::Parts) {
        let Some(head_tx) = self.head_tx.take() else {
            return;
        };
        self.outcome.on_answer_begun();
        self.begun_as = Some((head.status, head.headers.get(header::CONTENT_TYPE).cloned()));
        let mut fields = self.gateway.adapter.returned_headers(&head.headers);
        fields.remove(header::CONTENT_LENGTH);
        self.add_relay_fields(&mut fields);
        let (chunks, body) = answer::chunked(&self.gateway.byte_budget);
        self.chunks = Some(chunks);
        // If the caller has disconnected, its guard ends this task.
        let _ = head_tx.send(answer::respond(head.status, fields, body));
    }
}
