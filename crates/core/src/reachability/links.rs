//! The links of this host to the servers.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use super::hosts::to_age;
use super::hosts::Hosts;
use super::messages::HeardRow;
use super::messages::HostRow;
use super::messages::ReachRows;
use crate::clock::Millis;
use crate::defect::planted;
use crate::name::ServerName;
use crate::peering::observations::short_hash;

/// How long after a failure a server must be heard elsewhere to show that the links are at fault:
/// what is heard travels, and its age is known only so exactly.
const HEARD_MARGIN: Millis = Millis(50);
/// How long what was heard of a server is told to others, and speaks against a suspicion.
const HEARD_TTL: Millis = Millis(1_000);
/// How long a link that brings nothing new is remembered.
const FORGET_AFTER: Millis = Millis(30_000);
/// The time without a repeat after which another host's suspicion is a new one.
const SUSPICION_GAP: Millis = Millis(1_500);
/// The time without an answer of any server after which a host with failing links counts as cut
/// off.
const CUT_OFF_SILENCE: Millis = Millis(300);
/// The number of failing links from which on a host that hears no server counts as cut off.
const MIN_FAILING_LINKS: usize = 2;
/// A connection that breaks sooner than this after the server was heard is no failure of the link.
const BREAK_TOLERANCE: Millis = Millis(500);
/// The most rows of servers in a message.
const MAX_HEARD_ROWS: usize = 48;

/// How a link failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFailure {
    /// No connection was established.
    NoConnection,
    /// The server sent nothing on a connection for longer than it takes.
    Silence,
    /// A connection broke before an answer.
    Break,
}

/// A change of what this host believes about a link.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LinkChange {
    /// The links to a server that others hear are cut.
    Cut(ServerName),
    /// The server is reached again.
    Restored(ServerName),
}

/// The link to one server.
#[derive(Debug)]
struct Link {
    server: ServerName,
    heard_at: Option<Millis>,
    /// Since when new connections fail.
    no_connection_since: Option<Millis>,
    /// Since when the server sends nothing.
    silent_since: Option<Millis>,
    is_cut: bool,
    failed_at: Option<Millis>,
}

impl Link {
    fn failing_since(&self) -> Option<Millis> {
        match (self.no_connection_since, self.silent_since) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (since, None) | (None, since) => since,
        }
    }
}

/// Another host's suspicion of a server.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    since: Millis,
    repeated_at: Millis,
}

/// What one host knows of its own links and of those of others.
#[derive(Debug, Default)]
pub struct Reachability {
    links: HashMap<u32, Link>,
    /// When another host last heard a server.
    heard_elsewhere: HashMap<u32, Millis>,
    suspicions: HashMap<u32, Suspicion>,
    hosts: Hosts,
    heard_any_at: Option<Millis>,
    changes: Vec<LinkChange>,
}

impl Reachability {
    /// Records an answer, or a part of one, of `server` to this host.
    pub fn on_heard(&mut self, now: Millis, server: &ServerName) {
        self.heard_any_at = Some(now);
        let link = self.link(server);
        link.heard_at = Some(now);
        link.silent_since = None;
        self.settle(short_hash(server.as_str()));
    }

    /// Records an answer of `server` on a new connection.
    pub fn on_reached(&mut self, now: Millis, server: &ServerName) {
        self.link(server).no_connection_since = None;
        self.on_heard(now, server);
    }

    /// Records a failure of the link to `server`.
    pub fn on_failure(&mut self, now: Millis, server: &ServerName, failure: LinkFailure) {
        let link = self.link(server);
        match failure {
            LinkFailure::NoConnection => {
                link.no_connection_since.get_or_insert(now);
            }
            LinkFailure::Break
                if link.heard_at.is_some_and(|at| now.since(at) < BREAK_TOLERANCE) =>
            {
                return;
            }
            LinkFailure::Silence | LinkFailure::Break => {
                link.silent_since.get_or_insert(now);
            }
        }
        link.failed_at = Some(now);
        self.settle(short_hash(server.as_str()));
    }

    /// Forgets the link to a server that is no longer listed.
    pub fn forget(&mut self, server: &ServerName) {
        self.links.remove(&short_hash(server.as_str()));
    }

    fn link(&mut self, server: &ServerName) -> &mut Link {
        self.links.entry(short_hash(server.as_str())).or_insert_with(|| Link {
            server: server.clone(),
            heard_at: None,
            no_connection_since: None,
            silent_since: None,
            is_cut: false,
            failed_at: None,
        })
    }

    /// Finds anew whether the link to a server is cut: it fails, and the server was heard since, by
    /// another host or, where only new connections fail, by this one. A cut ends when the link works.
    fn settle(&mut self, server: u32) {
        let elsewhere = self.heard_elsewhere.get(&server).copied();
        let Some(link) = self.links.get_mut(&server) else {
            return;
        };
        let is_later = |heard: Option<Millis>, since: Millis| {
            heard.is_some_and(|at| at > since + HEARD_MARGIN)
                && !planted!(ReachabilityIgnoresOthers)
        };
        let no_answer = link.silent_since.is_some_and(|since| is_later(elsewhere, since));
        let no_connection = link
            .no_connection_since
            .is_some_and(|since| is_later(elsewhere.max(link.heard_at), since));
        if !link.is_cut && (no_answer || no_connection) {
            link.is_cut = true;
            self.changes.push(LinkChange::Cut(link.server.clone()));
        } else if link.is_cut && link.failing_since().is_none() {
            link.is_cut = false;
            self.changes.push(LinkChange::Restored(link.server.clone()));
        }
    }

    /// Applies what another host tells.
    pub fn on_rows(&mut self, now: Millis, rows: &ReachRows) {
        for row in &rows.heard {
            let at = now.since(Millis(u64::from(row.age_ms)));
            let known = self.heard_elsewhere.entry(row.server).or_insert(at);
            *known = at.max(*known);
            self.settle(row.server);
        }
        rows.hosts.iter().for_each(|row| self.hosts.on_row(now, *row));
    }

    /// Returns what to tell another host: what is known of servers and of some hosts, others in each
    /// `turn`. `own` is the row of this host.
    pub fn rows(&self, now: Millis, own: HostRow, turn: u64) -> ReachRows {
        let mut ages: HashMap<u32, Millis> = HashMap::new();
        let own_heard = self.links.iter().filter_map(|(server, l)| Some((*server, l.heard_at?)));
        let elsewhere = self.heard_elsewhere.iter().map(|(server, at)| (*server, *at));
        for (server, at) in own_heard.chain(elsewhere) {
            let age = now.since(at);
            if age < HEARD_TTL {
                let known = ages.entry(server).or_insert(age);
                *known = age.min(*known);
            }
        }
        let heard = ages.into_iter().map(|(server, age)| HeardRow { server, age_ms: to_age(age) });
        let mut heard: Vec<HeardRow> = heard.collect();
        heard.sort_unstable_by_key(|row| (row.age_ms, row.server));
        heard.truncate(MAX_HEARD_ROWS);
        let others = self.hosts.rows(now, turn).filter(|row| row.relay != own.relay);
        let hosts = std::iter::once(own).chain(others).collect();
        ReachRows { heard, hosts }
    }

    /// Returns whether every message should carry rows, since some host's links fail.
    pub fn is_urgent(&self, now: Millis) -> bool {
        let fails = |link: &Link| {
            let is_recent = link.failed_at.is_some_and(|at| now.since(at) < FORGET_AFTER);
            link.failing_since().is_some() && is_recent
        };
        self.hosts.any_cut(now) || self.links.values().any(fails)
    }

    /// Returns whether the links to `server` are cut, although the server works.
    pub fn is_cut(&self, server: &ServerName) -> bool {
        self.links.get(&short_hash(server.as_str())).is_some_and(|link| link.is_cut)
    }

    /// Returns whether a request may begin at `server` as far as the links tell. Where only new
    /// connections fail, it may if it `has_connection`.
    pub fn may_begin(&self, server: &ServerName, has_connection: bool) -> bool {
        let link = self.links.get(&short_hash(server.as_str()));
        link.is_none_or(|l| !l.is_cut || (l.silent_since.is_none() && has_connection))
    }

    /// Returns whether the link to `server` fails, whoever is at fault.
    pub fn is_failing(&self, server: &ServerName) -> bool {
        let link = self.links.get(&short_hash(server.as_str()));
        link.is_some_and(|link| link.failing_since().is_some())
    }

    /// Returns whether any host has heard `server` within the last `span`.
    pub fn is_heard_within(&self, now: Millis, server: &ServerName, span: Millis) -> bool {
        let hash = short_hash(server.as_str());
        let own = self.links.get(&hash).and_then(|link| link.heard_at);
        let heard = own.max(self.heard_elsewhere.get(&hash).copied());
        heard.is_some_and(|at| now.since(at) < span)
    }

    /// Returns the servers to which the links are cut.
    pub fn cut_servers(&self) -> Vec<ServerName> {
        let cut = self.links.values().filter(|link| link.is_cut);
        let mut cut: Vec<ServerName> = cut.map(|link| link.server.clone()).collect();
        cut.sort();
        cut
    }

    /// Returns whether this host probably reaches no server: several links have failed and it has
    /// heard none since.
    pub fn is_cut_off(&self, now: Millis) -> bool {
        let has_failed =
            |link: &&Link| link.failed_at.is_some() && link.failed_at > self.heard_any_at;
        let failed = self.links.values().filter(has_failed).count();
        let is_heard = self.heard_any_at.is_some_and(|at| now.since(at) < CUT_OFF_SILENCE);
        failed >= MIN_FAILING_LINKS && !is_heard
    }

    /// Returns whether this host reaches no server while others do, so that another host should give
    /// the orders. An outage of all servers is no such case.
    pub fn must_yield(&self, now: Millis) -> bool {
        let cut = self.links.values().filter(|link| link.is_cut).count();
        cut >= MIN_FAILING_LINKS && self.is_cut_off(now)
    }

    /// Returns whether this host reaches servers, as it tells others: the last thing that happened on
    /// its links was no failure.
    pub fn reaches_servers(&self) -> bool {
        let failed_at = self.links.values().filter_map(|link| link.failed_at).max();
        failed_at.is_none() || self.heard_any_at >= failed_at
    }

    /// Records that another host suspects the server with the short hash `server`; returns whether
    /// to believe it.
    pub fn on_suspicion(&mut self, now: Millis, server: u32) -> bool {
        let suspicion =
            self.suspicions.entry(server).or_insert(Suspicion { since: now, repeated_at: now });
        if now.since(suspicion.repeated_at) >= SUSPICION_GAP {
            suspicion.since = now;
        }
        suspicion.repeated_at = now;
        let since = suspicion.since;
        let own = self.links.get(&server).and_then(|link| link.heard_at);
        let heard = own.max(self.heard_elsewhere.get(&server).copied());
        let is_refuted = heard.is_some_and(|at| at > since && now.since(at) < HEARD_TTL);
        !is_refuted
    }

    /// Returns the addresses of hosts that take requests of this one, which is in `domain`.
    pub fn takers(&self, now: Millis, domain: u32) -> Vec<SocketAddrV4> {
        self.hosts.takers(now, domain)
    }

    /// Sends no request to the host at `relay` for `span`.
    pub fn avoid_host(&mut self, now: Millis, relay: SocketAddrV4, span: Millis) {
        self.hosts.avoid(now, relay, span);
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<LinkChange> {
        std::mem::take(&mut self.changes)
    }

    /// Removes what is too old to count.
    pub fn on_tick(&mut self, now: Millis) {
        self.hosts.on_tick(now);
        self.heard_elsewhere.retain(|_, at| now.since(*at) < FORGET_AFTER);
        self.suspicions.retain(|_, s| now.since(s.repeated_at) < SUSPICION_GAP);
        self.links.retain(|_, link| {
            let last = link.heard_at.max(link.failed_at);
            link.is_cut || last.is_some_and(|at| now.since(at) < FORGET_AFTER)
        });
    }
}
