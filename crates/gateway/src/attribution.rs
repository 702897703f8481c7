//! Which message of this host an answer belongs to.

use http::response;
use yuccanotch_core::event::Event;

use crate::adapter::ServerReply;
use crate::host::Gateway;
use crate::pool::PooledConnection;

impl Gateway {
    /// Logs an answer on `conn` that does not name the request `asked`, or that names a request though
    /// `asked` is `None`, with what the connection was used for before.
    pub(crate) fn log_unnamed_answer(
        &self,
        asked: Option<&str>,
        head: &response::Parts,
        reply: &ServerReply,
        conn: &PooledConnection,
    ) {
        self.event_log.line(
            Event::AnswerUnnamed,
            &[
                ("id", &asked.unwrap_or("")),
                ("named", &reply.id.as_deref().unwrap_or("")),
                ("status", &head.status.as_u16()),
                ("sealed", &reply.sealed),
                ("purpose", &conn.purpose()),
                ("carried", &conn.carried_text()),
            ],
        );
    }
}
