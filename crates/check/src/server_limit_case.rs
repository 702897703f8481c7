//! Randomised case: servers that name how many requests a second they take from all hosts together.
//!
//! Hosts of several failure domains learn of the rates from answers and from each other, with delay
//! and loss. Hosts start anew, stand still or are cut off from the others; servers start anew and
//! cease to name a rate. In calm runs, servers also get most of what they take.

use std::collections::VecDeque;

use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::limits::own_share;
use yuccanotch_core::limits::sharing_domains;
use yuccanotch_core::limits::LimitRows;
use yuccanotch_core::limits::RequestedLimit;
use yuccanotch_core::limits::ServerLimits;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::share::MilliRate;

use crate::case::CaseResult;
use crate::trace::Trace;

const RUN_MS: u64 = 24_000;
const STEP_MS: u64 = 10;
const ROUND_MS: u64 = 50;
const SUMMARY_MS: u64 = 500;
/// When servers begin and cease to name their rates.
const NAMED_MS: u64 = 3_000;
const ENDED_MS: u64 = 18_000;
/// The time from the first answer that names a rate until all hosts keep to it.
const LEARNING_MS: u64 = 3_000;
/// How long after an answer a host must keep to the rate that it names.
const OWN_LEARNING_MS: u64 = 500;
const WINDOW_MS: u64 = 4_000;
const MEMBER_WINDOW_MS: u64 = 10_000;
const MEMBERS_WAIT_MS: u64 = 2_000;
/// How long after its trouble a host does not count.
const EXCUSED_MS: u64 = 6_000;
/// What a server may get in [`WINDOW_MS`]: so many times its rate, and some requests.
const MAX_FACTOR: f64 = 1.5;
const MAX_EXCESS: f64 = 5.0;
/// The share of its rate that a server gets at least in a calm run with enough requests.
const MIN_USED: f64 = 0.8;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trouble {
    StartsAnew,
    StandsStill,
    IsCutOff,
}

#[derive(Debug)]
struct Plan {
    domains: usize,
    hosts_per_domain: usize,
    /// The rates of the servers, in requests a second.
    rates: Vec<u32>,
    /// Requests a second at each host, in the first half of the limited time and later.
    demands: (f64, f64),
    troubles: Vec<(u64, usize, Trouble)>,
    server_restart: Option<(u64, usize)>,
}

struct Host {
    domain: usize,
    started_at: u64,
    limits: ServerLimits,
    /// When it last heard each host of its domain.
    heard: Vec<Option<u64>>,
    /// When each server first named a rate to it.
    told_at: Vec<Option<u64>>,
    still_until: u64,
    cut_until: u64,
    trouble_at: Option<u64>,
}

struct Server {
    domain: usize,
    rate: u32,
    boot: u64,
    named_at: Option<u64>,
    /// The requests that it got, with the time and the host.
    arrivals: Vec<(u64, usize)>,
}

struct Simulation<'a> {
    plan: Plan,
    rng: Pcg64Mcg,
    trace: &'a mut Trace,
    now: u64,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    domains: Vec<DomainName>,
    answers: VecDeque<(u64, usize, usize, u64, Option<u32>)>,
    rows: VecDeque<(u64, usize, LimitRows)>,
}

/// Runs hosts that send more than some servers take, and checks what these get.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let domains = rng.random_range(1..=4);
    let hosts_per_domain = rng.random_range(1..=12);
    let hosts = domains * hosts_per_domain;
    let servers = domains * rng.random_range(1..=2);
    let is_calm = rng.random_bool(0.3);
    let trouble_count = if is_calm { 0 } else { rng.random_range(0..=4) };
    let troubles = (0..trouble_count).map(|_| {
        let kinds = [Trouble::StartsAnew, Trouble::StandsStill, Trouble::IsCutOff];
        let kind = *kinds.choose(&mut rng).expect("a trouble");
        (rng.random_range(1_000..ENDED_MS), rng.random_range(0..hosts), kind)
    });
    let troubles = troubles.collect();
    let is_restarted = !is_calm && rng.random_bool(0.3);
    let first = *[0.2, 20.0].choose(&mut rng).expect("a demand");
    let plan = Plan {
        domains,
        hosts_per_domain,
        rates: (0..servers).map(|_| rng.random_range(1..=15)).collect(),
        demands: (first, 40.0),
        troubles,
        server_restart: is_restarted
            .then(|| (rng.random_range(NAMED_MS..ENDED_MS), rng.random_range(0..servers))),
    };
    trace.add(format!("{plan:?}"));
    let mut sim = Simulation::new(plan, rng, trace);
    while sim.now < RUN_MS {
        sim.step();
    }
    sim.check_bounds()?;
    if is_calm {
        sim.check_calm_run()?;
    }
    Ok(())
}

impl<'a> Simulation<'a> {
    fn new(plan: Plan, rng: Pcg64Mcg, trace: &'a mut Trace) -> Self {
        let count = plan.domains * plan.hosts_per_domain;
        let servers = plan.rates.iter().enumerate();
        let servers = servers.map(|(i, rate)| Server {
            domain: i % plan.domains,
            rate: *rate,
            boot: 1,
            named_at: None,
            arrivals: Vec::new(),
        });
        let servers: Vec<Server> = servers.collect();
        let host = |i| Host::new(i % plan.domains, 0, count, servers.len());
        Self {
            hosts: (0..count).map(host).collect(),
            servers,
            domains: (0..plan.domains).map(|i| DomainName::new(&format!("domain-{i}"))).collect(),
            answers: VecDeque::new(),
            rows: VecDeque::new(),
            now: 0,
            plan,
            rng,
            trace,
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.begin_troubles();
        self.deliver();
        if self.now.is_multiple_of(ROUND_MS) {
            self.exchange();
        }
        for host in 0..self.hosts.len() {
            if self.hosts[host].still_until <= self.now {
                self.send_requests(host);
            }
        }
    }

    fn time(&self) -> Millis {
        // Hosts that start with the run have run for a minute, so that ages reach back.
        Millis(60_000 + self.now)
    }

    fn is_due(&self, at: u64) -> bool {
        at / STEP_MS == self.now / STEP_MS
    }

    fn begin_troubles(&mut self) {
        let troubles: Vec<_> =
            self.plan.troubles.iter().filter(|(at, _, _)| self.is_due(*at)).copied().collect();
        for (_, host, kind) in troubles {
            self.trace.add(format!("{} host {host}: {kind:?}", self.now));
            let (count, servers) = (self.hosts.len(), self.servers.len());
            let found = &mut self.hosts[host];
            match kind {
                Trouble::StartsAnew => {
                    *found = Host::new(found.domain, self.now, count, servers);
                }
                Trouble::StandsStill => found.still_until = self.now + 2_000,
                Trouble::IsCutOff => found.cut_until = self.now + 4_000,
            }
            found.trouble_at = Some(self.now.max(found.still_until).max(found.cut_until));
        }
        if let Some((_, server)) = self.plan.server_restart.filter(|(at, _)| self.is_due(*at)) {
            self.servers[server].boot += 1;
            self.servers[server].named_at = None;
            self.servers[server].arrivals.clear();
            self.hosts.iter_mut().for_each(|host| host.told_at[server] = None);
        }
    }

    fn deliver(&mut self) {
        let (now, time) = (self.now, self.time());
        while self.answers.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, host, server, boot, rate)) = self.answers.pop_front() else {
                break;
            };
            if boot != self.servers[server].boot {
                continue;
            }
            if rate.is_some() {
                self.servers[server].named_at.get_or_insert(now);
                self.hosts[host].told_at[server].get_or_insert(now);
            }
            let limit = rate.map(|rate| RequestedLimit::Rate(MilliRate::per_s(rate)));
            self.hosts[host].limits.on_answer(time, server as u32, boot, limit, true);
        }
        while self.rows.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, host, rows)) = self.rows.pop_front() else {
                break;
            };
            let servers = &self.servers;
            let boot = |server: u32| servers.get(server as usize).map(|s| s.boot);
            self.hosts[host].limits.on_rows(time, &rows, boot);
        }
    }

    fn is_heard(&self, from: usize, to: usize) -> bool {
        let works = |host: &Host| host.still_until <= self.now && host.cut_until <= self.now;
        works(&self.hosts[from]) && works(&self.hosts[to])
    }

    /// Lets hosts tell each other of rates, and finds the shares anew.
    fn exchange(&mut self) {
        for from in 0..self.hosts.len() {
            let rows = self.hosts[from].limits.rows(self.time(), self.now);
            let mut others: Vec<usize> = (0..self.hosts.len()).filter(|to| *to != from).collect();
            others.shuffle(&mut self.rng);
            let own = self.hosts[from].domain;
            let is_summary = self.now.is_multiple_of(SUMMARY_MS);
            let mut told = 0;
            for to in others {
                if !self.is_heard(from, to) {
                    continue;
                }
                let is_near = self.hosts[to].domain == own;
                if is_near {
                    self.hosts[to].heard[from] = Some(self.now);
                }
                let tells = if is_near { told < 3 } else { is_summary };
                if tells && self.rng.random_bool(0.95) {
                    told += usize::from(is_near);
                    self.rows.push_back((self.now + STEP_MS, to, rows.clone()));
                }
            }
        }
        for host in 0..self.hosts.len() {
            self.update_shares(host);
        }
    }

    fn update_shares(&mut self, host: usize) {
        let (now, time) = (self.now, self.time());
        let serving: Vec<DomainName> =
            self.servers.iter().map(|s| self.domains[s.domain].clone()).collect();
        let (servers, domains) = (&self.servers, &self.domains);
        let found = &mut self.hosts[host];
        let mut members = vec![host as u32];
        if now < found.started_at + MEMBERS_WAIT_MS && found.started_at > 0 {
            members.clear();
        }
        let recent = |at: &Option<u64>| at.is_some_and(|at| now - at < MEMBER_WINDOW_MS);
        let heard = found.heard.iter().enumerate().filter(|(_, at)| recent(at));
        members.extend(heard.map(|(other, _)| other as u32));
        let own_domain = found.domain;
        found.limits.update_shares(time, |server, boot, rate| {
            let entry = servers.get(server as usize).filter(|s| s.boot == boot)?;
            let sharing = sharing_domains(&domains[entry.domain], domains, &serving);
            if !sharing.contains(&&domains[own_domain]) {
                return Some(0.0);
            }
            Some(own_share(server, rate, host as u32, &members, sharing.len()))
        });
    }

    fn send_requests(&mut self, host: usize) {
        let (first, later) = self.plan.demands;
        let demand = if self.now < (NAMED_MS + ENDED_MS) / 2 { first } else { later };
        let chance = demand * STEP_MS as f64 / 1_000.0;
        if !self.rng.random_bool(chance) {
            return;
        }
        let time = self.time();
        let mut order: Vec<usize> = (0..self.servers.len()).collect();
        order.shuffle(&mut self.rng);
        let may_send = |server: &usize| self.hosts[host].limits.may_send(time, *server as u32);
        let Some(server) = order.into_iter().find(may_send) else {
            return;
        };
        self.hosts[host].limits.on_send(time, server as u32);
        let found = &mut self.servers[server];
        found.arrivals.push((self.now, host));
        let is_named = (NAMED_MS..ENDED_MS).contains(&self.now);
        let answer =
            (self.now + 3 * STEP_MS, host, server, found.boot, is_named.then_some(found.rate));
        self.answers.push_back(answer);
    }

    /// Checks that no server got far more than it takes, from hosts that knew and were in order.
    fn check_bounds(&self) -> CaseResult {
        for (i, server) in self.servers.iter().enumerate() {
            let Some(named_at) = server.named_at else {
                continue;
            };
            let is_counted = |(at, host): &&(u64, usize)| {
                let host = &self.hosts[*host];
                let knew = host.told_at[i].is_some_and(|told| told + OWN_LEARNING_MS <= *at);
                let from = host.trouble_at.map_or(0, |at| at + EXCUSED_MS);
                let before = host.trouble_at.is_none_or(|trouble| *at + WINDOW_MS < trouble);
                knew && (before || *at >= from)
            };
            let limited = server
                .arrivals
                .iter()
                .filter(|(at, _)| (named_at + LEARNING_MS..ENDED_MS).contains(at));
            let times: Vec<u64> = limited.filter(is_counted).map(|(at, _)| *at).collect();
            let allowed =
                MAX_FACTOR * f64::from(server.rate) * WINDOW_MS as f64 / 1_000.0 + MAX_EXCESS;
            for (first, at) in times.iter().enumerate() {
                let count = times[first..].iter().take_while(|t| **t < at + WINDOW_MS).count();
                if count as f64 > allowed {
                    return Err(format!(
                        "server {i} with {} a second got {count} requests in 4 s from {at} on, \
                         {allowed} are allowed",
                        server.rate
                    ));
                }
            }
        }
        Ok(())
    }

    /// Checks that servers get most of what they take, and more once they name no rate.
    fn check_calm_run(&self) -> CaseResult {
        let span_ms = 5_000;
        for (i, server) in self.servers.iter().enumerate() {
            let in_span = |from: u64| {
                server.arrivals.iter().filter(|(at, _)| (from..from + span_ms).contains(at)).count()
            };
            let rate = f64::from(server.rate) * span_ms as f64 / 1_000.0;
            let used = in_span(ENDED_MS - span_ms) as f64 / rate;
            if used < MIN_USED {
                return Err(format!("server {i} got {used} of what it takes"));
            }
            let after = in_span(RUN_MS - span_ms) as f64 / rate;
            let offered = self.plan.demands.1 * self.hosts.len() as f64 / self.servers.len() as f64;
            let expected = (offered / f64::from(server.rate)).min(1.5);
            if after < 0.8 * expected {
                return Err(format!("server {i} got {after} of its former rate after its end"));
            }
        }
        Ok(())
    }
}

impl Host {
    fn new(domain: usize, started_at: u64, hosts: usize, servers: usize) -> Self {
        Self {
            domain,
            started_at,
            limits: ServerLimits::default(),
            heard: vec![None; hosts],
            told_at: vec![None; servers],
            still_until: 0,
            cut_until: 0,
            trouble_at: None,
        }
    }
}
