//! Which message of this host an answer belongs to.

use http::response;
use http::StatusCode;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::attribution::AnswerIdentity;

use crate::adapter::ServerReply;
use crate::host::Gateway;
use crate::pool::PooledConnection;

impl Gateway {
    /// Returns whether an answer on `conn` belongs to the message with the id `asked`, which is `None` for
    /// a message without one; logs an answer that does not name its request.
    pub(crate) fn is_own_answer(
        &self,
        asked: Option<&str>,
        head: &response::Parts,
        reply: &ServerReply,
        conn: &PooledConnection,
    ) -> bool {
        let named = reply.id.as_deref();
        let identity = AnswerIdentity {
            asked,
            named,
            is_refusal: reply.not_run || head.status == StatusCode::MISDIRECTED_REQUEST,
            is_first: conn.is_new(),
        };
        let is_own = identity.is_own();
        if asked != named {
            self.event_log.line(
                Event::AnswerUnnamed,
                &[
                    ("id", &asked.unwrap_or("")),
                    ("named", &named.unwrap_or("")),
                    ("status", &head.status.as_u16()),
                    ("sealed", &reply.sealed),
                    ("purpose", &conn.purpose()),
                    ("is_new", &conn.is_new()),
                    ("is_own", &is_own),
                ],
            );
        }
        is_own
    }
}
