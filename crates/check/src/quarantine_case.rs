//! Randomised case: poison requests, which crash their backend server, among harmless ones.
//!
//! Callers send poison requests again under new keys at other hosts. Servers also crash for other
//! reasons, one alone or several at a time.

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

const RUN_END: Millis = Millis(60_000);
const BOOT_TIME_MS: u64 = 1_500;
/// Time that a suspect waits before its start; longer than the round trip to a peer.
const PEER_ACK_WAIT_MS: u64 = 12;
const RETRY_DELAY_MS: u64 = 40;
/// Number of servers that a poison request may crash before it is quarantined.
const MAX_POISON_CRASHES: u32 = 2;

/// Parameters of a run, drawn from the seed.
#[derive(Debug)]
struct Plan {
    hosts: usize,
    servers: usize,
    harmless_requests: usize,
    poison_requests: usize,
    max_poison_sends: u32,
    /// Servers that crash at about the same time for another reason.
    lost_servers: usize,
}

/// Backend server; `running_requests` holds indexes of requests.
#[derive(Debug)]
struct Server {
    name: ServerName,
    /// Number of boots so far.
    boot: u64,
    up: bool,
    running_requests: BTreeSet<usize>,
}

impl Server {
    fn crash_id(&self) -> CrashId {
        CrashId { server: self.name.clone(), boot: self.boot }
    }
}

/// Request and its progress.
///
/// `host` is the index of the host that serves the request, `sends` counts the sends by its caller,
/// `crashes` the server crashes that hit a poison request, `unrelated_crashes` those that no poison
/// request caused, and `attempt` numbers the attempts, so that events of earlier ones are ignored.
#[derive(Debug)]
struct Request {
    fingerprint: Fingerprint,
    is_poison: bool,
    host: usize,
    sends: u32,
    crashes: u32,
    unrelated_crashes: u32,
    is_suspect: bool,
    is_done: bool,
    attempt: u64,
}

/// Scheduled event. `batch` and `start` are indexes into `sent_notices` and `suspect_starts`.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    StartAttempt { request: usize },
    StartSuspect { request: usize, attempt: u64, server: usize },
    Finish { request: usize, attempt: u64 },
    PoisonCrash { request: usize, attempt: u64 },
    LoseServer { server: usize },
    BootServer { server: usize },
    DeliverNotices { host: usize, batch: usize },
    SuspectStarted { host: usize, start: usize },
    SuspectEnded { host: usize, request: usize },
}

/// State of one run.
struct Simulation<'a> {
    plan: Plan,
    rng: Pcg64Mcg,
    trace: &'a mut Trace,
    now: Millis,
    queue: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    next_sequence: u64,
    hosts: Vec<Quarantine>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    /// Batches of crash notices sent to peers.
    sent_notices: Vec<Vec<CrashNotice>>,
    /// Announcements of suspects sent to peers.
    suspect_starts: Vec<SuspectStart>,
}

/// Runs poison requests among harmless ones and checks the number of crashes and that harmless
/// requests finish.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let poison_requests = rng.random_range(0..=1);
    let lost_server_choices = if poison_requests == 0 { [0, 1, 3] } else { [0, 0, 0] };
    let plan = Plan {
        hosts: rng.random_range(1..=4),
        servers: rng.random_range(4..=12),
        harmless_requests: rng.random_range(1..=30),
        poison_requests,
        max_poison_sends: rng.random_range(1..=12),
        lost_servers: lost_server_choices[rng.random_range(0..lost_server_choices.len())],
    };
    trace.add(format!("{plan:?}"));
    let mut sim = Simulation::new(plan, rng, trace);
    sim.run()?;
    sim.check_harmless_finished()
}

impl<'a> Simulation<'a> {
    fn new(plan: Plan, rng: Pcg64Mcg, trace: &'a mut Trace) -> Self {
        let server = |i| Server {
            name: ServerName::new(&format!("server-{i}")),
            boot: 1,
            up: true,
            running_requests: BTreeSet::new(),
        };
        let mut sim = Self {
            hosts: (0..plan.hosts)
                .map(|_| Quarantine::new(QuarantineSettings::default()))
                .collect(),
            servers: (0..plan.servers).map(server).collect(),
            requests: Vec::new(),
            sent_notices: Vec::new(),
            suspect_starts: Vec::new(),
            queue: BinaryHeap::new(),
            next_sequence: 0,
            now: Millis(1),
            plan,
            rng,
            trace,
        };
        sim.schedule_requests_and_losses();
        sim
    }

    fn schedule_requests_and_losses(&mut self) {
        let team = TeamName::new("bakery");
        let total = self.plan.harmless_requests + self.plan.poison_requests;
        for i in 0..total {
            let is_poison = i >= self.plan.harmless_requests;
            let host = self.rng.random_range(0..self.plan.hosts);
            self.requests.push(Request {
                fingerprint: Fingerprint::new(&team, format!("body {i}").as_bytes()),
                is_poison,
                host,
                sends: 1,
                crashes: 0,
                unrelated_crashes: 0,
                is_suspect: false,
                is_done: false,
                attempt: 0,
            });
            let at = self.rng.random_range(0..800);
            self.schedule_after(at, Event::StartAttempt { request: i });
        }
        let at = self.rng.random_range(100..900);
        let first = self.rng.random_range(0..self.plan.servers);
        for i in 0..self.plan.lost_servers {
            let jitter = self.rng.random_range(0..200);
            let server = (first + i) % self.plan.servers;
            self.schedule_after(at + jitter, Event::LoseServer { server });
        }
    }

    fn schedule_after(&mut self, span: u64, event: Event) {
        self.next_sequence += 1;
        self.queue.push(Reverse((self.now + Millis(span), self.next_sequence, event)));
    }

    fn run(&mut self) -> CaseResult {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > RUN_END {
                break;
            }
            self.now = at;
            self.handle(event)?;
        }
        Ok(())
    }

    fn handle(&mut self, event: Event) -> CaseResult {
        match event {
            Event::StartAttempt { request } => self.on_start_attempt(request),
            Event::StartSuspect { request, attempt, server } => {
                self.on_start_suspect(request, attempt, server);
            }
            Event::Finish { request, attempt } => self.on_finish(request, attempt),
            Event::PoisonCrash { request, attempt } => {
                if self.requests[request].attempt == attempt {
                    let server = self.find_server_of(request);
                    self.crash_server(server, Some(request));
                }
            }
            Event::LoseServer { server } => {
                if self.servers[server].up {
                    self.crash_server(server, None);
                }
            }
            Event::BootServer { server } => {
                self.servers[server].up = true;
                self.servers[server].boot += 1;
            }
            Event::DeliverNotices { host, batch } => {
                for notice in &self.sent_notices[batch] {
                    self.hosts[host].on_notice(self.now, notice);
                }
            }
            Event::SuspectStarted { host, start } => {
                let start = self.suspect_starts[start].clone();
                self.hosts[host].on_remote_start(self.now, start);
            }
            Event::SuspectEnded { host, request } => {
                self.hosts[host].on_remote_end(RequestId(request as u128));
            }
        }
        let Some(poison) = self.requests.iter().find(|request| request.is_poison) else {
            return Ok(());
        };
        if poison.crashes > MAX_POISON_CRASHES {
            return Err(format!("a poison request crashed {} servers", poison.crashes));
        }
        Ok(())
    }

    fn find_server_of(&self, request: usize) -> usize {
        let found =
            self.servers.iter().position(|server| server.running_requests.contains(&request));
        found.expect("the attempt runs on a server")
    }

    fn on_start_attempt(&mut self, request: usize) {
        let Request { fingerprint, host, is_done, .. } = self.requests[request];
        if is_done {
            return;
        }
        let status = self.hosts[host].status(self.now, fingerprint);
        if status == QuarantineStatus::Quarantined {
            self.trace.add(format!("{} request {request} is quarantined", self.now));
            self.resend(request);
            return;
        }
        let excluded = self.hosts[host].excluded_servers(self.now, fingerprint);
        let usable: Vec<usize> = (0..self.servers.len())
            .filter(|i| self.servers[*i].up && !excluded.contains(&self.servers[*i].name))
            .collect();
        if usable.is_empty() {
            let wait = self.rng.random_range(10..RETRY_DELAY_MS * 2);
            self.schedule_after(wait, Event::StartAttempt { request });
            return;
        }
        let server = usable[self.rng.random_range(0..usable.len())];
        let found = &mut self.requests[request];
        found.attempt += 1;
        found.is_suspect = status == QuarantineStatus::Suspect;
        let attempt = found.attempt;
        let crash_id = self.servers[server].crash_id();
        let id = RequestId(request as u128);
        self.hosts[host].on_reserve(id, &[fingerprint], [crash_id.clone()]);
        if status != QuarantineStatus::Suspect {
            self.start_on_server(request, server);
            return;
        }
        let servers = [crash_id].into_iter().collect();
        self.suspect_starts.push(SuspectStart { request: id, fingerprint, servers });
        let start = self.suspect_starts.len() - 1;
        self.send_to_peers(host, |host| Event::SuspectStarted { host, start });
        self.schedule_after(PEER_ACK_WAIT_MS, Event::StartSuspect { request, attempt, server });
    }

    /// Starts a suspect once its peers know of it, unless its server is down or excluded by now.
    fn on_start_suspect(&mut self, request: usize, attempt: u64, server: usize) {
        let Request { fingerprint, host, .. } = self.requests[request];
        if self.requests[request].attempt != attempt {
            return;
        }
        let excluded = self.hosts[host].excluded_servers(self.now, fingerprint);
        if self.servers[server].up && !excluded.contains(&self.servers[server].name) {
            self.start_on_server(request, server);
            return;
        }
        self.hosts[host].on_end(self.now, RequestId(request as u128), false);
        self.report_suspect_end(request);
        let wait = self.rng.random_range(5..RETRY_DELAY_MS * 2);
        self.schedule_after(wait, Event::StartAttempt { request });
    }

    fn start_on_server(&mut self, request: usize, server: usize) {
        let Request { attempt, is_poison, host, fingerprint, .. } = self.requests[request];
        let name = self.servers[server].name.clone();
        let id = RequestId(request as u128);
        let crash_id = self.servers[server].crash_id();
        let now = self.now;
        self.hosts[host].on_start(now, id, &[fingerprint], [crash_id]);
        self.trace.add(format!("{} request {request} starts on {name}", self.now));
        self.servers[server].running_requests.insert(request);
        let span = self.rng.random_range(20..400);
        if is_poison {
            self.schedule_after(span, Event::PoisonCrash { request, attempt });
        } else {
            self.schedule_after(span, Event::Finish { request, attempt });
        }
    }

    fn send_to_peers(&mut self, from: usize, event: impl Fn(usize) -> Event) {
        for host in (0..self.plan.hosts).filter(|host| *host != from) {
            let latency = self.rng.random_range(1..5);
            self.schedule_after(latency, event(host));
        }
    }

    fn on_finish(&mut self, request: usize, attempt: u64) {
        if self.requests[request].attempt != attempt || self.requests[request].is_done {
            return;
        }
        for server in &mut self.servers {
            server.running_requests.remove(&request);
        }
        self.requests[request].is_done = true;
        let host = self.requests[request].host;
        self.hosts[host].on_end(self.now, RequestId(request as u128), true);
        self.report_suspect_end(request);
    }

    fn report_suspect_end(&mut self, request: usize) {
        if self.requests[request].is_suspect {
            let host = self.requests[request].host;
            self.send_to_peers(host, |host| Event::SuspectEnded { host, request });
        }
    }

    /// Sends a refused request again at a random host, up to a limit for poison requests.
    fn resend(&mut self, request: usize) {
        let hosts = self.plan.hosts;
        let host = self.rng.random_range(0..hosts);
        let found = &mut self.requests[request];
        if found.is_poison && found.sends >= self.plan.max_poison_sends {
            return;
        }
        found.sends += 1;
        found.host = host;
        self.schedule_after(RETRY_DELAY_MS, Event::StartAttempt { request });
    }

    fn crash_server(&mut self, server: usize, culprit: Option<usize>) {
        let found = &mut self.servers[server];
        found.up = false;
        let crash = found.crash_id();
        let victims: Vec<usize> = std::mem::take(&mut found.running_requests).into_iter().collect();
        self.trace.add(format!("{} {crash:?} by {culprit:?} hits {victims:?}", self.now));
        self.schedule_after(BOOT_TIME_MS, Event::BootServer { server });
        for host in 0..self.hosts.len() {
            let notices = self.hosts[host].on_crash(self.now, &crash);
            self.sent_notices.push(notices);
            let batch = self.sent_notices.len() - 1;
            self.send_to_peers(host, |host| Event::DeliverNotices { host, batch });
        }
        for victim in victims {
            let found = &mut self.requests[victim];
            found.crashes += u32::from(found.is_poison);
            found.unrelated_crashes += u32::from(culprit.is_none());
            found.attempt += 1;
            let host = found.host;
            self.hosts[host].on_end(self.now, RequestId(victim as u128), false);
            self.report_suspect_end(victim);
            if self.requests[victim].is_poison {
                // A retry by the host or by the caller may use another host.
                self.requests[victim].host = self.rng.random_range(0..self.plan.hosts);
            }
            self.schedule_after(RETRY_DELAY_MS, Event::StartAttempt { request: victim });
        }
    }

    fn check_harmless_finished(&self) -> CaseResult {
        let mut finished = BTreeMap::new();
        for (i, request) in self.requests.iter().enumerate().filter(|(_, found)| !found.is_poison) {
            finished.insert(i, request.is_done);
            if !request.is_done {
                return Err(format!("harmless request {i} did not finish: {request:?}"));
            }
        }
        Ok(())
    }
}
