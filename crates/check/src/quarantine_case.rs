//! Randomised case: requests that crash their server, among innocent ones.
//!
//! Callers of poison requests send them again under new keys at other hosts. Crashes with
//! another cause come alone or as the loss of several servers at a time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::ids::RequestId;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::name::TeamName;
use yuccanotch_core::quarantine::CrashId;
use yuccanotch_core::quarantine::CrashNotice;
use yuccanotch_core::quarantine::Fingerprint;
use yuccanotch_core::quarantine::Quarantine;
use yuccanotch_core::quarantine::QuarantineSettings;
use yuccanotch_core::quarantine::QuarantineStatus;
use yuccanotch_core::quarantine::SuspectStart;

use crate::case::CaseResult;
use crate::trace::Trace;

const END: Millis = Millis(60_000);
const BOOT_TIME: u64 = 1_500;
/// Longer than a message to a peer and its answer.
const ACK_WAIT: u64 = 12;
const RETRY_WAIT: u64 = 40;
const MAX_POISON_CRASHES: u32 = 2;

#[derive(Debug)]
struct Plan {
    hosts: usize,
    servers: usize,
    innocents: usize,
    poisons: usize,
    poison_sends: u32,
    /// Servers that are lost together at one time by another cause.
    lost: usize,
}

#[derive(Debug)]
struct Server {
    name: ServerName,
    boot: u64,
    up: bool,
    running: BTreeSet<usize>,
}

impl Server {
    fn crash_id(&self) -> CrashId {
        CrashId { server: self.name.clone(), boot: self.boot }
    }
}

#[derive(Debug)]
struct Request {
    fingerprint: Fingerprint,
    poison: bool,
    host: usize,
    sends: u32,
    crashes: u32,
    other_crashes: u32,
    suspect: bool,
    done: bool,
    attempt: u64,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Try { request: usize },
    Confirm { request: usize, attempt: u64, server: usize },
    Finish { request: usize, attempt: u64 },
    PoisonActs { request: usize, attempt: u64 },
    Lose { server: usize },
    Boot { server: usize },
    Notices { host: usize, list: usize },
    Started { host: usize, start: usize },
    Ended { host: usize, request: usize },
}

struct World<'a> {
    plan: Plan,
    rng: Pcg64Mcg,
    trace: &'a mut Trace,
    now: Millis,
    queue: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    next: u64,
    hosts: Vec<Quarantine>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    sent: Vec<Vec<CrashNotice>>,
    starts: Vec<SuspectStart>,
}

/// Runs poison requests among innocent ones.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let poisons = rng.random_range(0..=1);
    let lost_choices = if poisons == 0 { [0, 1, 3] } else { [0, 0, 0] };
    let plan = Plan {
        hosts: rng.random_range(1..=4),
        servers: rng.random_range(4..=12),
        innocents: rng.random_range(1..=30),
        poisons,
        poison_sends: rng.random_range(1..=12),
        lost: lost_choices[rng.random_range(0..lost_choices.len())],
    };
    trace.add(format!("{plan:?}"));
    let mut world = World::new(plan, rng, trace);
    world.run()?;
    world.check()
}

impl<'a> World<'a> {
    fn new(plan: Plan, rng: Pcg64Mcg, trace: &'a mut Trace) -> Self {
        let server = |i| Server {
            name: ServerName::new(&format!("server-{i}")),
            boot: 1,
            up: true,
            running: BTreeSet::new(),
        };
        let mut world = Self {
            hosts: (0..plan.hosts)
                .map(|_| Quarantine::new(QuarantineSettings::default()))
                .collect(),
            servers: (0..plan.servers).map(server).collect(),
            requests: Vec::new(),
            sent: Vec::new(),
            starts: Vec::new(),
            queue: BinaryHeap::new(),
            next: 0,
            now: Millis(1),
            plan,
            rng,
            trace,
        };
        world.draw();
        world
    }

    fn draw(&mut self) {
        let team = TeamName::new("bakery");
        let total = self.plan.innocents + self.plan.poisons;
        for i in 0..total {
            let poison = i >= self.plan.innocents;
            let host = self.rng.random_range(0..self.plan.hosts);
            self.requests.push(Request {
                fingerprint: Fingerprint::new(&team, format!("body {i}").as_bytes()),
                poison,
                host,
                sends: 1,
                crashes: 0,
                other_crashes: 0,
                suspect: false,
                done: false,
                attempt: 0,
            });
            let at = self.rng.random_range(0..800);
            self.after(at, Event::Try { request: i });
        }
        let at = self.rng.random_range(100..900);
        let first = self.rng.random_range(0..self.plan.servers);
        for i in 0..self.plan.lost {
            let jitter = self.rng.random_range(0..200);
            let server = (first + i) % self.plan.servers;
            self.after(at + jitter, Event::Lose { server });
        }
    }

    fn after(&mut self, span: u64, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((self.now + Millis(span), self.next, event)));
    }

    fn run(&mut self) -> CaseResult {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > END {
                break;
            }
            self.now = at;
            self.take(event)?;
        }
        Ok(())
    }

    fn take(&mut self, event: Event) -> CaseResult {
        match event {
            Event::Try { request } => self.on_try(request),
            Event::Confirm { request, attempt, server } => {
                self.on_confirm(request, attempt, server);
            }
            Event::Finish { request, attempt } => self.on_finish(request, attempt),
            Event::PoisonActs { request, attempt } => {
                if self.requests[request].attempt == attempt {
                    let server = self.server_of(request);
                    self.crash(server, Some(request));
                }
            }
            Event::Lose { server } => {
                if self.servers[server].up {
                    self.crash(server, None);
                }
            }
            Event::Boot { server } => {
                self.servers[server].up = true;
                self.servers[server].boot += 1;
            }
            Event::Notices { host, list } => {
                for notice in &self.sent[list] {
                    self.hosts[host].on_notice(self.now, notice);
                }
            }
            Event::Started { host, start } => {
                let start = self.starts[start].clone();
                self.hosts[host].on_remote_start(self.now, start);
            }
            Event::Ended { host, request } => {
                self.hosts[host].on_remote_end(RequestId(request as u128));
            }
        }
        let Some(poison) = self.requests.iter().find(|request| request.poison) else {
            return Ok(());
        };
        if poison.crashes > MAX_POISON_CRASHES {
            return Err(format!("a request crashed {} servers", poison.crashes));
        }
        Ok(())
    }

    fn server_of(&self, request: usize) -> usize {
        let found = self.servers.iter().position(|server| server.running.contains(&request));
        found.expect("the attempt runs on a server")
    }

    fn on_try(&mut self, request: usize) {
        let Request { fingerprint, host, done, .. } = self.requests[request];
        if done {
            return;
        }
        let standing = self.hosts[host].status(self.now, fingerprint);
        if standing == QuarantineStatus::Quarantined {
            self.trace.add(format!("{} request {request} is quarantined", self.now));
            self.send_again(request);
            return;
        }
        let excluded = self.hosts[host].excluded_servers(self.now, fingerprint);
        let usable: Vec<usize> = (0..self.servers.len())
            .filter(|i| self.servers[*i].up && !excluded.contains(&self.servers[*i].name))
            .collect();
        if usable.is_empty() {
            let wait = self.rng.random_range(10..RETRY_WAIT * 2);
            self.after(wait, Event::Try { request });
            return;
        }
        let server = usable[self.rng.random_range(0..usable.len())];
        let found = &mut self.requests[request];
        found.attempt += 1;
        found.suspect = standing == QuarantineStatus::Suspect;
        let attempt = found.attempt;
        let at = self.servers[server].crash_id();
        let id = RequestId(request as u128);
        self.hosts[host].on_reserve(id, fingerprint, [at.clone()]);
        if standing != QuarantineStatus::Suspect {
            self.start(request, server);
            return;
        }
        let servers = [at].into_iter().collect();
        self.starts.push(SuspectStart { request: id, fingerprint, servers });
        let start = self.starts.len() - 1;
        self.tell_peers(host, |host| Event::Started { host, start });
        self.after(ACK_WAIT, Event::Confirm { request, attempt, server });
    }

    /// Starts a suspect after the other hosts have heard of it, unless they run one there.
    fn on_confirm(&mut self, request: usize, attempt: u64, server: usize) {
        let Request { fingerprint, host, .. } = self.requests[request];
        if self.requests[request].attempt != attempt {
            return;
        }
        let excluded = self.hosts[host].excluded_servers(self.now, fingerprint);
        if self.servers[server].up && !excluded.contains(&self.servers[server].name) {
            self.start(request, server);
            return;
        }
        self.hosts[host].on_end(self.now, RequestId(request as u128), false);
        self.end_suspect(request);
        let wait = self.rng.random_range(5..RETRY_WAIT * 2);
        self.after(wait, Event::Try { request });
    }

    fn start(&mut self, request: usize, server: usize) {
        let Request { attempt, poison, host, fingerprint, .. } = self.requests[request];
        let name = self.servers[server].name.clone();
        let id = RequestId(request as u128);
        let at = self.servers[server].crash_id();
        let now = self.now;
        self.hosts[host].on_start(now, id, fingerprint, [at]);
        self.trace.add(format!("{} request {request} starts on {name}", self.now));
        self.servers[server].running.insert(request);
        let span = self.rng.random_range(20..400);
        if poison {
            self.after(span, Event::PoisonActs { request, attempt });
        } else {
            self.after(span, Event::Finish { request, attempt });
        }
    }

    fn tell_peers(&mut self, from: usize, event: impl Fn(usize) -> Event) {
        for host in (0..self.plan.hosts).filter(|host| *host != from) {
            let latency = self.rng.random_range(1..5);
            self.after(latency, event(host));
        }
    }

    fn on_finish(&mut self, request: usize, attempt: u64) {
        if self.requests[request].attempt != attempt || self.requests[request].done {
            return;
        }
        for server in &mut self.servers {
            server.running.remove(&request);
        }
        self.requests[request].done = true;
        let host = self.requests[request].host;
        self.hosts[host].on_end(self.now, RequestId(request as u128), true);
        self.end_suspect(request);
    }

    fn end_suspect(&mut self, request: usize) {
        if self.requests[request].suspect {
            let host = self.requests[request].host;
            self.tell_peers(host, |host| Event::Ended { host, request });
        }
    }

    /// Sends a refused poison request again, under a new key at another host.
    fn send_again(&mut self, request: usize) {
        let hosts = self.plan.hosts;
        let host = self.rng.random_range(0..hosts);
        let found = &mut self.requests[request];
        if found.poison && found.sends >= self.plan.poison_sends {
            return;
        }
        found.sends += 1;
        found.host = host;
        self.after(RETRY_WAIT, Event::Try { request });
    }

    fn crash(&mut self, server: usize, culprit: Option<usize>) {
        let found = &mut self.servers[server];
        found.up = false;
        let crash = found.crash_id();
        let victims: Vec<usize> = std::mem::take(&mut found.running).into_iter().collect();
        self.trace.add(format!("{} {crash:?} by {culprit:?} hits {victims:?}", self.now));
        self.after(BOOT_TIME, Event::Boot { server });
        for host in 0..self.hosts.len() {
            let notices = self.hosts[host].on_crash(self.now, &crash);
            self.sent.push(notices);
            let list = self.sent.len() - 1;
            self.tell_peers(host, |host| Event::Notices { host, list });
        }
        for victim in victims {
            let found = &mut self.requests[victim];
            found.crashes += u32::from(found.poison);
            found.other_crashes += u32::from(culprit.is_none());
            found.attempt += 1;
            let host = found.host;
            self.hosts[host].on_end(self.now, RequestId(victim as u128), false);
            self.end_suspect(victim);
            if self.requests[victim].poison {
                // Whether the host or the caller tries again, it may be on another host.
                self.requests[victim].host = self.rng.random_range(0..self.plan.hosts);
            }
            self.after(RETRY_WAIT, Event::Try { request: victim });
        }
    }

    fn check(&self) -> CaseResult {
        let mut told = BTreeMap::new();
        for (i, request) in self.requests.iter().enumerate().filter(|(_, found)| !found.poison) {
            told.insert(i, request.done);
            if !request.done {
                return Err(format!("innocent request {i} did not finish: {request:?}"));
            }
        }
        Ok(())
    }
}
