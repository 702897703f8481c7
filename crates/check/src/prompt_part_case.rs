//! Randomised case: parts of prompts, one of which may crash each server that begins to answer,
//! among sound ones that many requests share.
//!
//! Servers also crash for other reasons, one alone or several at a time. Hosts tell each other of
//! crashes in rounds; messages are late or lost, and a host may start anew.

use std::collections::VecDeque;

use rand::seq::IndexedRandom;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::ids::RequestId;
use yuccanotch_core::name::PromptPart;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::name::ServiceName;
use yuccanotch_core::quarantine::fingerprints;
use yuccanotch_core::quarantine::CrashId;
use yuccanotch_core::quarantine::CrashNotice;
use yuccanotch_core::quarantine::Fingerprint;
use yuccanotch_core::quarantine::Fingerprints;
use yuccanotch_core::quarantine::NoticeScope;
use yuccanotch_core::quarantine::Quarantine;
use yuccanotch_core::quarantine::QuarantineSettings;

use crate::case::CaseResult;
use crate::trace::Trace;

const RUN_MS: u64 = 40_000;
const STEP_MS: u64 = 10;
/// The time before the first request with the crashing part, and before the first other crash.
const QUIET_MS: u64 = 4_000;
/// The time between two full exchanges of a host with the others.
const EXCHANGE_INTERVAL_MS: u64 = 500;
const BOOT_MS: u64 = 2_000;
/// The largest number of servers that one request may be sent to.
const MAX_ATTEMPTS: u32 = 2;
/// The crashes after which, and [`LEARNING_MS`] later, hosts refuse the crashing part.
const DECISIVE_CRASHES: usize = 5;
const LEARNING_MS: u64 = 3_000;
/// The most attempts with the crashing part after that.
const MAX_LATE_ATTEMPTS: usize = 3;
const CRASHING_PART: &str = "crashing";
const ROUTES: u32 = 3;

/// Parameters of a run, drawn from the seed.
#[derive(Debug)]
struct Plan {
    hosts: usize,
    servers: usize,
    /// Sound requests a second.
    sound_rate: u64,
    /// Requests a second with the crashing part; 0 for none.
    crashing_rate: u64,
    subjects: u32,
    /// When servers crash for another reason, and how many.
    losses: Vec<(u64, usize)>,
    /// When a host starts anew.
    restart_at: Option<u64>,
}

#[derive(Debug)]
struct Server {
    up_at: u64,
    boot: u64,
}

#[derive(Debug)]
struct Request {
    id: RequestId,
    host: usize,
    server: usize,
    fingerprints: Fingerprints,
    is_crashing: bool,
    attempts: u32,
    crashes_at: u64,
    first_event_at: u64,
    ends_at: u64,
}

struct Simulation<'a> {
    plan: Plan,
    rng: Pcg64Mcg,
    trace: &'a mut Trace,
    now: u64,
    hosts: Vec<Quarantine>,
    servers: Vec<Server>,
    running: Vec<Request>,
    messages: VecDeque<(u64, usize, Vec<CrashNotice>)>,
    next_id: u128,
    crashes_by_part: Vec<u64>,
    late_attempts: usize,
    refused_sound: u64,
}

/// Runs requests and checks that those with the crashing part stop reaching servers and that no
/// sound part stays quarantined.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let servers = rng.random_range(6..=20);
    let loss_count = rng.random_range(0..=3);
    let losses = (0..loss_count)
        .map(|_| (rng.random_range(QUIET_MS..RUN_MS - 10_000), rng.random_range(1..=servers)))
        .collect();
    let plan = Plan {
        hosts: rng.random_range(2..=8),
        servers,
        sound_rate: rng.random_range(10..=80),
        crashing_rate: *[0, 1, 2, 4, 8].choose(&mut rng).expect("a rate"),
        subjects: rng.random_range(1..=40),
        losses,
        restart_at: rng.random_bool(0.3).then_some(rng.random_range(QUIET_MS..RUN_MS - 15_000)),
    };
    trace.add(format!("{plan:?}"));
    let hosts = (0..plan.hosts).map(|_| Quarantine::new(QuarantineSettings::default())).collect();
    let servers = (0..plan.servers).map(|_| Server { up_at: 0, boot: 1 }).collect();
    let mut sim = Simulation {
        plan,
        rng,
        trace,
        now: 0,
        hosts,
        servers,
        running: Vec::new(),
        messages: VecDeque::new(),
        next_id: 0,
        crashes_by_part: Vec::new(),
        late_attempts: 0,
        refused_sound: 0,
    };
    while sim.now < RUN_MS {
        sim.step()?;
    }
    sim.check_sound_parts()
}

impl Simulation<'_> {
    fn step(&mut self) -> CaseResult {
        self.now += STEP_MS;
        if self.plan.restart_at.is_some_and(|at| at == self.now / STEP_MS * STEP_MS) {
            self.trace.add(format!("{} host 0 starts anew", self.now));
            self.running.retain(|request| request.host != 0);
            self.hosts[0] = Quarantine::new(QuarantineSettings::default());
        }
        self.deliver_messages();
        self.lose_servers();
        self.advance_requests()?;
        self.send_new_requests()?;
        if self.now.is_multiple_of(EXCHANGE_INTERVAL_MS) {
            self.exchange();
        }
        Ok(())
    }

    fn time(&self) -> Millis {
        // Hosts that start with the run have run for a minute, so that ages reach back.
        Millis(60_000 + self.now)
    }

    fn deliver_messages(&mut self) {
        let now = self.time();
        while self.messages.front().is_some_and(|(at, _, _)| *at <= self.now) {
            if let Some((_, host, notices)) = self.messages.pop_front() {
                notices.iter().for_each(|notice| self.hosts[host].on_notice(now, notice));
            }
        }
    }

    fn exchange(&mut self) {
        for from in 0..self.hosts.len() {
            let notices =
                self.hosts[from].recent_notices(self.time(), NoticeScope::SHARED, self.now);
            for to in (0..self.hosts.len()).filter(|to| *to != from) {
                if !notices.is_empty() && self.rng.random_bool(0.95) {
                    self.messages.push_back((self.now + STEP_MS, to, notices.clone()));
                }
            }
        }
    }

    fn lose_servers(&mut self) {
        let due: Vec<usize> = self
            .plan
            .losses
            .iter()
            .filter(|(at, _)| *at / STEP_MS == self.now / STEP_MS)
            .map(|(_, count)| *count)
            .collect();
        for count in due {
            let first = self.rng.random_range(0..self.servers.len());
            self.trace.add(format!("{} {count} servers are lost", self.now));
            for i in 0..count {
                self.crash((first + i) % self.servers.len());
            }
        }
    }

    fn is_up(&self, server: usize) -> bool {
        self.servers[server].up_at <= self.now
    }

    fn crash_id(&self, server: usize) -> CrashId {
        let name = ServerName::new(&format!("server-{server}"));
        CrashId { server: name, boot: self.servers[server].boot }
    }

    /// Crashes a server and sends its requests again where they have attempts left.
    fn crash(&mut self, server: usize) {
        if !self.is_up(server) {
            return;
        }
        let now = self.time();
        let crash = self.crash_id(server);
        let (lost, running): (Vec<Request>, Vec<Request>) =
            self.running.drain(..).partition(|request| request.server == server);
        self.running = running;
        self.servers[server] =
            Server { up_at: self.now + BOOT_MS, boot: self.servers[server].boot + 1 };
        lost.iter().for_each(|request| self.hosts[request.host].on_break(now, request.id));
        for host in 0..self.hosts.len() {
            if lost.iter().any(|request| request.host == host) {
                self.hosts[host].on_crash(now, &crash);
            }
        }
        for request in lost {
            if request.attempts < MAX_ATTEMPTS {
                self.send(Request { attempts: request.attempts + 1, ..request });
            }
        }
    }

    fn advance_requests(&mut self) -> CaseResult {
        let now = self.time();
        for request in &self.running {
            if request.first_event_at <= self.now {
                self.hosts[request.host].on_progress(now, request.id);
            }
        }
        let crashing: Vec<usize> = self
            .running
            .iter()
            .filter(|request| request.is_crashing && request.crashes_at <= self.now)
            .map(|request| request.server)
            .collect();
        for server in crashing {
            if self.is_up(server) {
                self.trace.add(format!("{} the part crashes server {server}", self.now));
                self.crashes_by_part.push(self.now);
                self.crash(server);
            }
        }
        let end = self.now;
        let (ended, running): (Vec<Request>, Vec<Request>) =
            self.running.drain(..).partition(|request| request.ends_at <= end);
        self.running = running;
        for request in ended {
            if request.is_crashing {
                return Err("a request with the crashing part succeeded".to_owned());
            }
            self.hosts[request.host].on_end(now, request.id, true);
        }
        Ok(())
    }

    fn send_new_requests(&mut self) -> CaseResult {
        let due = |rng: &mut Pcg64Mcg, rate: u64| rng.random_ratio((rate * STEP_MS) as u32, 1_000);
        if due(&mut self.rng, self.plan.sound_rate) {
            self.send_new(false);
        }
        let has_begun = self.now >= QUIET_MS && self.plan.crashing_rate > 0;
        if has_begun && due(&mut self.rng, self.plan.crashing_rate) {
            self.send_new(true);
        }
        if self.late_attempts > MAX_LATE_ATTEMPTS {
            return Err(format!("{} late attempts with the crashing part", self.late_attempts));
        }
        Ok(())
    }

    fn send_new(&mut self, is_crashing: bool) {
        self.next_id += 1;
        let mut parts = vec![format!("first-{}", self.rng.random_range(0..ROUTES))];
        if self.rng.random_bool(0.5) {
            parts.push(format!("subject-{}", self.rng.random_range(0..self.plan.subjects)));
        }
        if is_crashing {
            parts.push(CRASHING_PART.to_owned());
        }
        parts.push(format!("own-{}", self.next_id));
        let parts: Vec<PromptPart> = parts.iter().map(|name| PromptPart::new(name)).collect();
        let body = self.next_id.to_string();
        let host = self.rng.random_range(0..self.hosts.len());
        self.send(Request {
            id: RequestId(self.next_id),
            host,
            server: 0,
            fingerprints: fingerprints("team", "/", body.as_bytes(), &service(), &parts),
            is_crashing,
            attempts: 1,
            crashes_at: 0,
            first_event_at: 0,
            ends_at: 0,
        });
    }

    /// Sends a request to a server that is up, unless its host refuses it.
    fn send(&mut self, mut request: Request) {
        let now = self.time();
        let found = self.hosts[request.host].find_quarantined(now, &request.fingerprints);
        if found.is_some() {
            self.refused_sound += u64::from(!request.is_crashing);
            return;
        }
        let up: Vec<usize> = (0..self.servers.len()).filter(|i| self.is_up(*i)).collect();
        let Some(server) = up.choose(&mut self.rng) else {
            return;
        };
        request.server = *server;
        let wait = self.rng.random_range(20..200);
        request.crashes_at = self.now + wait + self.rng.random_range(20..100);
        request.first_event_at = self.now + wait + 60;
        request.ends_at = request.crashes_at.max(self.now + self.rng.random_range(400..2_500));
        if request.is_crashing {
            let learned = self.crashes_by_part.get(DECISIVE_CRASHES - 1);
            let is_late = learned.is_some_and(|at| self.now > at + LEARNING_MS);
            self.late_attempts += usize::from(is_late);
            request.ends_at = u64::MAX;
        }
        let crash = self.crash_id(*server);
        self.hosts[request.host].on_start(now, request.id, &request.fingerprints, [crash]);
        self.running.push(request);
    }

    /// Checks that no host still quarantines a part that does not crash servers.
    fn check_sound_parts(&self) -> CaseResult {
        let crashing = Fingerprint::of_part(&service(), &PromptPart::new(CRASHING_PART));
        for (index, host) in self.hosts.iter().enumerate() {
            let sound =
                host.quarantined(self.time()).find(|found| found.is_part() && *found != crashing);
            if let Some(part) = sound {
                let notices = host.recent_notices(self.time(), NoticeScope::SHARED, 0);
                let evidence = notices.iter().find(|notice| notice.fingerprint == part);
                return Err(format!(
                    "host {index} quarantines the sound {part}, {} sound requests were refused: \
                     {evidence:?}",
                    self.refused_sound
                ));
            }
        }
        Ok(())
    }
}

fn service() -> ServiceName {
    ServiceName::new("model")
}
