//! The rates that servers name, as this host learns and shares them. The decisions are those of
//! `core::limits`.

use std::collections::HashMap;

use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::servers::ServerEntry;
use yuccanotch_core::forward::servers::ServerState;
use yuccanotch_core::limits;
use yuccanotch_core::limits::LimitChange;
use yuccanotch_core::limits::LimitRows;
use yuccanotch_core::limits::RequestedLimit;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::peering::observations::short_hash;

use crate::announcements::Incarnation;
use crate::host::Gateway;

/// How long a host that is not heard any more keeps its share, which no other one uses: it may be cut
/// off and still send requests.
const MEMBER_WINDOW: Millis = Millis(10_000);

fn boot_of(entry: &ServerEntry) -> u64 {
    entry.born.unwrap_or_default()
}

impl Gateway {
    /// Returns whether some server names a rate, as far as this host knows.
    pub(crate) fn knows_limits(&self) -> bool {
        self.routing.limits.borrow().count() > 0
    }

    /// Records the rate that a server names, or that it names none, in an answer; `is_to_request` tells
    /// whether it answers a caller's request.
    pub(crate) fn record_limit(
        &self,
        incarnation: &Incarnation,
        limit: Option<RequestedLimit>,
        is_to_request: bool,
    ) {
        let Incarnation { server, born } = incarnation;
        if limit == Some(RequestedLimit::Unusable) {
            self.event_log.line(Event::LimitNotFollowed, &[("server", server)]);
        }
        let change = self.routing.limits.borrow_mut().on_answer(
            self.clock.now(),
            short_hash(server.as_str()),
            born.unwrap_or_default(),
            limit,
            is_to_request,
        );
        if let Some(change) = change {
            self.log_limit_change(server, change, "answer");
            self.update_limit_shares();
        }
    }

    /// Applies what another host tells of the rates of servers.
    pub(crate) fn on_limit_rows(&self, rows: &LimitRows) {
        if rows.servers.is_empty() {
            return;
        }
        let listed: HashMap<u32, (ServerName, u64)> = {
            let servers = self.views.servers();
            let by_hash = |e: &ServerEntry| (short_hash(e.id.as_str()), (e.id.clone(), boot_of(e)));
            servers.iter().map(by_hash).collect()
        };
        let boot = |server| listed.get(&server).map(|(_, boot)| *boot);
        let changes = self.routing.limits.borrow_mut().on_rows(self.clock.now(), rows, boot);
        for (server, change) in &changes {
            if let Some((name, _)) = listed.get(server) {
                self.log_limit_change(name, *change, "host");
            }
        }
        if !changes.is_empty() {
            self.update_limit_shares();
        }
    }

    /// Finds anew how much of each rate this host may use.
    pub(crate) fn update_limit_shares(&self) {
        if self.routing.limits.borrow().is_empty() {
            return;
        }
        let now = self.clock.now();
        let own = short_hash(self.settings.host.as_str());
        let members = self.peers.node().domain_members(now, MEMBER_WINDOW);
        let live = self.peers.node().live_domains(now);
        let servers = self.views.servers();
        let by_hash: HashMap<u32, &ServerEntry> =
            servers.iter().map(|e| (short_hash(e.id.as_str()), e)).collect();
        let share_of = |server: u32, boot: u64, limit| {
            let entry = by_hash.get(&server).filter(|e| boot_of(e) == boot)?;
            let serving = serving_domains(entry, servers.iter());
            let domains = limits::sharing_domains(&entry.domain, &live, &serving);
            if !domains.contains(&&self.settings.domain) {
                return Some(0.0);
            }
            Some(limits::own_share(server, limit, own, &members, domains.len()))
        };
        self.routing.limits.borrow_mut().update_shares(now, share_of);
    }

    fn log_limit_change(&self, server: &ServerName, change: LimitChange, source: &str) {
        match change {
            LimitChange::Began(rate) => {
                let per_s = rate.0 as f64 / 1_000.0;
                let details: [(&'static str, &dyn std::fmt::Display); 3] =
                    [("server", server), ("per_s", &per_s), ("source", &source)];
                self.event_log.line(Event::ServerLimited, &details);
            }
            LimitChange::Ended => {
                self.event_log
                    .line(Event::ServerLimitEnded, &[("server", server), ("source", &source)]);
            }
        }
    }
}

/// Returns the failure domains with a ready server at which requests for the service of `entry` may
/// begin.
fn serving_domains<'a>(
    entry: &ServerEntry,
    servers: impl Iterator<Item = &'a ServerEntry>,
) -> Vec<DomainName> {
    let of_service = servers.filter(|e| e.service == entry.service);
    let ready = of_service.filter(|e| e.state == ServerState::Ready && e.begins_requests());
    let mut domains: Vec<DomainName> = ready.map(|e| e.domain.clone()).collect();
    domains.sort_unstable();
    domains.dedup();
    domains
}
