//! What servers announce about themselves in their answers.

use std::net::SocketAddrV4;

use yuccanotch_core::forward::reason::LeavingSource;
use yuccanotch_core::name::ServerName;

use crate::adapter::ServerReply;
use crate::host::Gateway;

/// What a server answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Question {
    /// The request of a caller.
    Request,
    /// A question of the host itself: for a report, with an order or about the server's health.
    Own,
}

impl Gateway {
    /// Records what the server at `address` announces about itself in an answer to `question`.
    pub(crate) fn record_announcements(
        &self,
        address: SocketAddrV4,
        reply: &ServerReply,
        question: Question,
    ) {
        self.record_limit(address, reply.limit, question);
        if reply.is_leaving {
            self.record_leaving_at(address);
        }
        if let Some(pause) = reply.pause {
            self.counters.pause_asked(pause.kind);
            self.routing.record_pause(address, pause);
        }
    }

    /// Records that the server at `address` is leaving. An address that was given to another server
    /// may be listed twice; the answer is then of one that has ended or of one that is leaving.
    fn record_leaving_at(&self, address: SocketAddrV4) {
        let listed: Vec<(ServerName, Option<u64>)> = {
            let servers = self.views.servers();
            let at_address = servers.iter().filter(|e| e.address == address);
            at_address.map(|e| (e.id.clone(), e.born)).collect()
        };
        for (server, born) in listed {
            self.record_leaving(&server, born, LeavingSource::Answer);
        }
    }

    /// Records that the incarnation of `server` that started at `born` is leaving.
    pub(crate) fn record_leaving(
        &self,
        server: &ServerName,
        born: Option<u64>,
        source: LeavingSource,
    ) {
        if self.views.on_server_leaving(server, born, source) {
            self.counters.server_leaving(source);
        }
    }
}
