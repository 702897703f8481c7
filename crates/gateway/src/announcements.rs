//! What servers announce about themselves in their answers.

use std::net::SocketAddrV4;

use smallvec::smallvec;
use smallvec::SmallVec;
use yuccanotch_core::forward::reason::LeavingSource;
use yuccanotch_core::name::ServerName;

use crate::adapter::ServerReply;
use crate::host::Gateway;

/// Which server an answer comes from.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Announcer<'a> {
    /// The incarnation to which a caller's request was sent; any other one would have refused it.
    Asked(&'a Incarnation),
    /// Whichever server is listed at the address to which a question of this host itself went: for a
    /// report, with an order or about the server's health.
    At(SocketAddrV4),
}

/// A start of a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Incarnation {
    pub(crate) server: ServerName,
    /// When it started, if its entry says so.
    pub(crate) born: Option<u64>,
}

impl Gateway {
    /// Returns the incarnation of `server` that is listed now.
    pub(crate) fn incarnation(&self, server: &ServerName) -> Incarnation {
        let born = self.views.servers().get(server).and_then(|entry| entry.born);
        Incarnation { server: server.clone(), born }
    }

    /// Records what a server announces about itself in an answer.
    pub(crate) fn record_announcements(&self, announcer: Announcer<'_>, reply: &ServerReply) {
        let is_to_request = matches!(announcer, Announcer::Asked(_));
        let may_end_limit = is_to_request && self.knows_limits();
        let says_something = reply.limit.is_some() || reply.is_leaving || reply.pause.is_some();
        if !says_something && !may_end_limit {
            return;
        }
        for incarnation in self.incarnations(announcer) {
            self.record_limit(&incarnation, reply.limit, is_to_request);
            if reply.is_leaving {
                let Incarnation { server, born } = &incarnation;
                self.record_leaving(server, *born, LeavingSource::Answer);
            }
            if let Some(pause) = reply.pause {
                self.counters.pause_asked(pause.kind);
                self.routing.record_pause(&incarnation.server, pause);
            }
        }
    }

    /// Returns the incarnations that may have sent an answer. An address that was given to another
    /// server may be listed twice; the answer is then of one that has ended or of one that is leaving.
    fn incarnations(&self, announcer: Announcer<'_>) -> SmallVec<[Incarnation; 1]> {
        let address = match announcer {
            Announcer::Asked(incarnation) => return smallvec![incarnation.clone()],
            Announcer::At(address) => address,
        };
        let servers = self.views.servers();
        let at_address = servers.iter().filter(|e| e.address == address);
        at_address.map(|e| Incarnation { server: e.id.clone(), born: e.born }).collect()
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
