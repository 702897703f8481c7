//! What a host records of servers: failures, declines, pauses and successes.

use std::net::SocketAddrV4;

use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::pauses;
use yuccanotch_core::forward::pauses::PausedHolder;
use yuccanotch_core::forward::pauses::RequestedPause;
use yuccanotch_core::forward::reason::PauseKind;
use yuccanotch_core::forward::routes::Service;
use yuccanotch_core::forward::servers::ServerState;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::peering::observations::short_hash;
use yuccanotch_core::placement::engine::LayerRange;

use crate::routing::RoutingState;
use crate::routing::Target;

/// The step in which the clock advances.
const CLOCK_STEP: Millis = Millis(1);

impl RoutingState {
    /// Records a failure of a server, which is then avoided for some time.
    pub fn suspect(&self, server: &ServerName, why: &str) {
        let now = self.clock.now();
        let was_suspect = !self.health.borrow().is_usable(now, server);
        let span = self.health.borrow_mut().on_failure(now, server);
        if !was_suspect {
            self.event_log.line(
                Event::ServerSuspected,
                &[("server", server), ("why", &why), ("for_ms", &span.0)],
            );
        }
    }

    /// Returns whether `server` may get requests: it is neither suspected nor in a backoff.
    pub fn is_usable(&self, server: &ServerName) -> bool {
        self.health.borrow().is_usable(self.clock.now(), server)
    }

    /// Records a failure of the server at `address`, if one is listed there.
    pub fn suspect_address(&self, address: SocketAddrV4, why: &str) {
        if let Some(id) = self.server_at(address) {
            self.suspect(&id, why);
        }
    }

    /// Records that `server` asked for a pause.
    pub fn record_pause(&self, server: &ServerName, pause: RequestedPause) {
        // The clock reads whole milliseconds, so the answer may have come up to one later.
        let now = self.clock.now() + CLOCK_STEP;
        let is_first = self.pauses.borrow_mut().begin(now, server, pause.span);
        let event = match pause.kind {
            PauseKind::AsAsked if !is_first => return,
            PauseKind::AsAsked => Event::ServerPaused,
            PauseKind::Shortened | PauseKind::Unusable => Event::PauseNotFollowed,
        };
        self.event_log
            .line(event, &[("server", server), ("for_ms", &pause.span.0), ("kind", &pause.kind)]);
    }

    /// Records that this host sends a request to `server`, which counts against the rate that it
    /// names, whether the request was sent before or not.
    pub fn on_send(&self, server: &ServerName) {
        self.limits.borrow_mut().on_send(self.clock.now(), short_hash(server.as_str()));
    }

    /// Returns whether the server `id` is in a pause.
    pub fn is_paused(&self, id: &ServerName) -> bool {
        self.pauses.borrow().includes(self.clock.now(), id)
    }

    /// Returns how long no request of `service` can be served because all its servers, or all
    /// holders of a layer, are in a pause; `None` if that is not so.
    pub fn time_all_paused(&self, service: &Service) -> Option<Millis> {
        let now = self.clock.now();
        let pauses = self.pauses.borrow();
        if pauses.count(now) == 0 {
            return None;
        }
        let layers = service.engine.as_ref().map_or(1, |profile| profile.layers);
        let servers = self.views.servers();
        let holders: Vec<PausedHolder> = servers
            .iter()
            .filter(|e| e.service == service.name && e.state == ServerState::Ready)
            .filter_map(|e| {
                let layers = match &service.engine {
                    Some(_) => e.engine.as_ref()?.layers?,
                    None => LayerRange::new(0, layers),
                };
                Some(PausedHolder { layers, left: pauses.left(now, &e.id) })
            })
            .collect();
        pauses::time_without_holder(layers, &holders)
    }

    /// Records that a server declined a request: the one at the address `at_fault`, or else the one
    /// asked. Returns the name of that server. One that asked for a pause instead is left in peace
    /// for as long as it asked.
    pub fn record_decline(&self, asked: &ServerName, at_fault: Option<SocketAddrV4>) -> ServerName {
        let id = at_fault.and_then(|a| self.server_at(a)).unwrap_or_else(|| asked.clone());
        if !self.is_paused(&id) {
            self.health.borrow_mut().on_declined(self.clock.now(), &id);
        }
        id
    }

    /// Records how many times slower than its accelerator kind the server at `address` reports to
    /// be.
    pub fn record_slowness(&self, address: SocketAddrV4, slowness: f64) {
        if let Some(id) = self.server_at(address) {
            let now = self.clock.now();
            self.health.borrow_mut().on_slowness(now, &id, slowness);
        }
    }

    /// Returns the server that is listed at `address`.
    pub fn server_at(&self, address: SocketAddrV4) -> Option<ServerName> {
        self.views.servers().iter().find(|e| e.address == address).map(|e| e.id.clone())
    }

    /// Records that a server lost an answer or sent an unusable one.
    pub fn record_fault(&self, server: &ServerName) {
        self.health.borrow_mut().on_fault(self.clock.now(), server);
    }

    /// Records that all servers of a target answered, which ends their suspicion.
    pub fn record_success(&self, target: &Target) {
        match target {
            Target::Server { server, .. } => self.record_server_success(server),
            Target::Chain(chain) => {
                chain.stages().iter().for_each(|p| self.record_server_success(&p.server))
            }
        }
    }

    fn record_server_success(&self, server: &ServerName) {
        if self.health.borrow_mut().on_success(self.clock.now(), server) {
            self.event_log.line(Event::ServerCleared, &[("server", server)]);
        }
    }
}
