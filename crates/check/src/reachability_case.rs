//! Randomised case: hosts that lose their links to some or all servers while they still hear each
//! other, beside servers that crash.
//!
//! Requests begin at servers that their host believes usable. Hosts tell each other of suspicions and
//! of what they hear in rounds; messages may be lost.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use rand::seq::IndexedRandom;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::forward::health::Health;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::peering::observations::short_hash;
use yuccanotch_core::reachability::HostRow;
use yuccanotch_core::reachability::LinkChange;
use yuccanotch_core::reachability::LinkFailure;
use yuccanotch_core::reachability::Reachability;

use crate::case::CaseResult;
use crate::trace::Trace;

const RUN_MS: u64 = 20_000;
const STEP_MS: u64 = 10;
/// The time between two messages of a host.
const ROUND_MS: u64 = 50;
/// The time between two messages of a host that carry rows although no link fails.
const EXCHANGE_MS: u64 = 500;
/// The time between attempts to reach servers to which the links are cut.
const PROBE_MS: u64 = 250;
/// The time until a host finds that a server brings no connection.
const CONNECT_MS: u64 = 300;
/// The time from the beginning of a cut until the hosts must know, and from its end until its
/// servers must be used again.
const STABLE_MS: u64 = 3_000;
const CUT_AT_MS: u64 = 4_000;
const CUT_MS: u64 = 7_000;
/// The least share of requests that must find a server, of those at hosts with all links.
const MIN_SERVED_PERCENT: u64 = 95;

/// The requests that a cut-off host may send to servers that it does not reach once it must know:
/// some, and a share of all.
const MAX_IN_VAIN: u64 = 3;
/// The share of lost messages from which on this is not checked.
const MAX_LOSS_FOR_WORD: f64 = 0.1;
const MAX_IN_VAIN_PERCENT: u64 = 100 - MIN_SERVED_PERCENT;

/// Parameters of a run, drawn from the seed.
#[derive(Debug)]
struct Plan {
    hosts: usize,
    servers: usize,
    /// Hosts that lose links, and to how many servers.
    cut_hosts: usize,
    cut_servers: usize,
    /// Whether new connections fail at once and others live on.
    lives_on: bool,
    /// Requests of a host in a step, in thousandths.
    rate: u32,
    /// When a server crashes, and for how long.
    crash: Option<(u64, u64)>,
    loss: f64,
}

/// A request that a host has sent.
#[derive(Clone, Copy, Debug)]
struct Request {
    host: usize,
    server: usize,
    ends_at: u64,
    /// Whether the server will answer.
    is_served: bool,
    is_new_connection: bool,
}

struct Host {
    links: Reachability,
    health: Health,
    /// Idle connections to each server.
    idle: HashMap<usize, u32>,
    sent: u64,
    served: u64,
    /// Requests sent to servers that the host does not reach.
    in_vain: u64,
}

struct Simulation<'a> {
    plan: Plan,
    rng: Pcg64Mcg,
    trace: &'a mut Trace,
    now: u64,
    hosts: Vec<Host>,
    names: Vec<ServerName>,
    running: Vec<Request>,
}

/// Runs hosts with cut links and checks that they and the others believe what is so.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let hosts = rng.random_range(2..=12);
    let servers = rng.random_range(2..=16);
    let plan = Plan {
        hosts,
        servers,
        cut_hosts: rng.random_range(0..hosts),
        cut_servers: *[servers, servers, rng.random_range(1..=servers)]
            .choose(&mut rng)
            .expect("a number"),
        lives_on: rng.random_bool(0.3),
        rate: rng.random_range(300..=2_000),
        crash: rng.random_bool(0.4).then_some((rng.random_range(2_000..14_000), 2_000)),
        loss: *[0.0, 0.05, 0.2].choose(&mut rng).expect("a share"),
    };
    trace.add(format!("{plan:?}"));
    let new_host = |_| Host {
        links: Reachability::default(),
        health: Health::default(),
        idle: HashMap::new(),
        sent: 0,
        served: 0,
        in_vain: 0,
    };
    let mut sim = Simulation {
        hosts: (0..plan.hosts).map(new_host).collect(),
        names: (0..plan.servers).map(|i| ServerName::new(&format!("server-{i}"))).collect(),
        plan,
        rng,
        trace,
        now: 0,
        running: Vec::new(),
    };
    while sim.now < RUN_MS {
        sim.step()?;
    }
    sim.check_served()
}

impl Simulation<'_> {
    fn step(&mut self) -> CaseResult {
        self.now += STEP_MS;
        self.end_requests();
        self.send_requests();
        if self.now.is_multiple_of(ROUND_MS) {
            self.exchange();
        }
        if self.now.is_multiple_of(PROBE_MS) {
            self.probe();
        }
        self.check()
    }

    fn time(&self) -> Millis {
        Millis(60_000 + self.now)
    }

    fn is_up(&self, server: usize) -> bool {
        let is_down = |(at, span): (u64, u64)| (at..at + span).contains(&self.now);
        server != 0 || !self.plan.crash.is_some_and(is_down)
    }

    fn is_cut(&self, host: usize, server: usize) -> bool {
        let is_in_time = (CUT_AT_MS..CUT_AT_MS + CUT_MS).contains(&self.now);
        is_in_time && host < self.plan.cut_hosts && server < self.plan.cut_servers
    }

    /// Returns whether the checks of the time in which the cut is known apply.
    fn is_settled(&self) -> bool {
        (CUT_AT_MS + STABLE_MS..CUT_AT_MS + CUT_MS).contains(&self.now)
    }

    fn end_requests(&mut self) {
        let (now, time) = (self.now, self.time());
        let (ended, running): (Vec<Request>, Vec<Request>) =
            self.running.drain(..).partition(|request| request.ends_at <= now);
        self.running = running;
        for request in ended {
            let server = &self.names[request.server];
            let host = &mut self.hosts[request.host];
            if request.is_served && request.is_new_connection {
                host.links.on_reached(time, server);
            } else if request.is_served {
                host.links.on_heard(time, server);
            } else {
                let failure = match request.is_new_connection {
                    true => LinkFailure::NoConnection,
                    false => LinkFailure::Silence,
                };
                host.links.on_failure(time, server, failure);
                host.health.on_failure(time, server);
                continue;
            }
            host.health.on_success(time, server);
            *host.idle.entry(request.server).or_default() += 1;
            host.served += 1;
        }
    }

    fn send_requests(&mut self) {
        for host in 0..self.hosts.len() {
            let whole = self.plan.rate / 1_000;
            let extra = self.rng.random_ratio(self.plan.rate % 1_000, 1_000);
            for _ in 0..whole + u32::from(extra) {
                self.send_request(host);
            }
        }
    }

    fn send_request(&mut self, host: usize) {
        let time = self.time();
        let usable: Vec<usize> = (0..self.plan.servers)
            .filter(|i| {
                let has_idle = self.hosts[host].idle.get(i).is_some_and(|count| *count > 0);
                self.hosts[host].health.is_usable(time, &self.names[*i])
                    && self.hosts[host].links.may_begin(&self.names[*i], has_idle)
            })
            .collect();
        self.hosts[host].sent += 1;
        let Some(server) = usable.choose(&mut self.rng).copied() else {
            return;
        };
        let idle = self.hosts[host].idle.entry(server).or_default();
        let is_new_connection = *idle == 0;
        *idle = idle.saturating_sub(1);
        let (is_cut, is_up) = (self.is_cut(host, server), self.is_up(server));
        let is_served = is_up && (!is_cut || (self.plan.lives_on && !is_new_connection));
        let span = match (is_served, is_cut && self.plan.lives_on) {
            (true, _) => self.rng.random_range(20..200),
            (false, true) => STEP_MS,
            (false, false) => CONNECT_MS,
        };
        self.hosts[host].in_vain += u64::from(is_up && !is_served);
        let ends_at = self.now + span;
        self.running.push(Request { host, server, ends_at, is_served, is_new_connection });
    }

    fn exchange(&mut self) {
        let time = self.time();
        let is_full = self.now.is_multiple_of(EXCHANGE_MS);
        for from in 0..self.hosts.len() {
            let links = &self.hosts[from].links;
            let own = HostRow {
                relay: SocketAddrV4::new(Ipv4Addr::from(from as u32 + 1), 1),
                domain: 0,
                reaches: links.reaches_servers(),
                age_ms: 0,
            };
            let rows = (is_full || links.is_urgent(time)).then(|| links.rows(time, own, self.now));
            let suspects: Vec<(ServerName, Millis)> = self.hosts[from]
                .health
                .suspects(time)
                .map(|(server, span)| (server.clone(), span))
                .collect();
            for to in (0..self.hosts.len()).filter(|to| *to != from) {
                if self.rng.random_bool(self.plan.loss) {
                    continue;
                }
                let host = &mut self.hosts[to];
                if let Some(rows) = &rows {
                    host.links.on_rows(time, rows);
                }
                for (server, span) in &suspects {
                    if host.links.on_suspicion(time, short_hash(server.as_str())) {
                        host.health.on_peer_suspicion(time, server, *span);
                    } else {
                        host.health.on_suspicion_refuted(server);
                    }
                }
            }
        }
        for (index, host) in self.hosts.iter_mut().enumerate() {
            for change in host.links.take_changes() {
                self.trace.add(format!("{} host {index}: {change:?}", self.now));
                if let LinkChange::Cut(server) = change {
                    host.health.on_link_cut(&server);
                }
            }
            host.links.on_tick(time);
        }
    }

    fn probe(&mut self) {
        let time = self.time();
        for host in 0..self.hosts.len() {
            for server in self.hosts[host].links.cut_servers() {
                let index = self.names.iter().position(|name| *name == server).unwrap_or(0);
                if self.is_up(index) && !self.is_cut(host, index) {
                    self.hosts[host].links.on_reached(time, &server);
                }
            }
        }
    }

    /// Checks, while the cut lasts, that hosts with all links use all servers, and that cut-off hosts
    /// try none of the servers that they do not reach.
    fn check(&mut self) -> CaseResult {
        if self.now == CUT_AT_MS + STABLE_MS || self.now == CUT_AT_MS + CUT_MS + STABLE_MS {
            self.hosts
                .iter_mut()
                .for_each(|host| (host.sent, host.served, host.in_vain) = (0, 0, 0));
        }
        if self.now == CUT_AT_MS + CUT_MS {
            self.check_served()?;
        }
        let is_quiet = self.plan.crash.is_none() && self.plan.cut_servers == self.plan.servers;
        if !self.is_settled() || !is_quiet || self.plan.lives_on {
            return Ok(());
        }
        for host in 0..self.plan.cut_hosts {
            let Host { sent, in_vain, .. } = self.hosts[host];
            // With a fifth of all messages lost, word of what others hear takes longer.
            let is_told = self.plan.loss < MAX_LOSS_FOR_WORD;
            if is_told && in_vain > MAX_IN_VAIN + sent * MAX_IN_VAIN_PERCENT / 100 {
                return Err(format!(
                    "the cut-off host {host} has sent {in_vain} of {sent} requests in vain at {}",
                    self.now
                ));
            }
            if self.hosts[host].links.reaches_servers() {
                return Err(format!(
                    "the cut-off host {host} says at {} that it reaches servers",
                    self.now
                ));
            }
        }
        Ok(())
    }

    /// Checks that hosts with all links serve their requests: at the end of the cut those since it
    /// must be known, at the end of the run those of all hosts.
    fn check_served(&self) -> CaseResult {
        let first = if self.now < RUN_MS { self.plan.cut_hosts } else { 0 };
        for (index, host) in self.hosts.iter().enumerate().skip(first) {
            // Requests of the last moments are still running.
            let running = self.running.iter().filter(|r| r.host == index).count() as u64;
            let ended = host.sent.saturating_sub(running);
            let crashed = self.plan.crash.map_or(0, |_| ended / 2);
            if host.served * 100 < (ended - crashed) * MIN_SERVED_PERCENT {
                return Err(format!(
                    "host {index} served {} of {ended} at {}",
                    host.served, self.now
                ));
            }
        }
        Ok(())
    }
}
