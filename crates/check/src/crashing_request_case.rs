//! Randomised case: a request that its caller repeats at any host and that crashes a server of each
//! chain that begins to run it, among many sound ones.
//!
//! A host finds the crash of a first server at once, that of a later one when it asks what the
//! request waits for. Servers also crash for other reasons. Hosts tell each other of crashes;
//! messages are late or lost, and a host may start anew or be cut off from the others.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use rand::seq::SliceRandom;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::ids::RequestId;
use yuccanotch_core::name::PromptPart;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::name::ServiceName;
use yuccanotch_core::quarantine::CrashId;
use yuccanotch_core::quarantine::CrashNotice;
use yuccanotch_core::quarantine::Fingerprint;
use yuccanotch_core::quarantine::Fingerprints;
use yuccanotch_core::quarantine::NoticeScope;
use yuccanotch_core::quarantine::Quarantine;
use yuccanotch_core::quarantine::QuarantineSettings;

use crate::case::CaseResult;
use crate::crashing_request_plan::CrashPlace;
use crate::crashing_request_plan::Outage;
use crate::crashing_request_plan::Plan;
use crate::crashing_request_plan::QUIET_MS;
use crate::crashing_request_plan::RUN_MS;
use crate::crashing_request_plan::STEP_MS;
use crate::trace::Trace;

/// The time between two messages of a host about what is new.
const ROUND_MS: u64 = 50;
/// The time between two full exchanges of a host with the others.
const EXCHANGE_MS: u64 = 500;
/// The time from the sending of a sound request to its first event.
const FIRST_EVENT_MS: u64 = 100;
/// The shortest and longest time until a host asks what a silent request waits for.
const STALL_CHECK_MS: (u64, u64) = (120, 400);
/// The crashes after which, and [`LEARNING_MS`] later, hosts refuse the crashing request.
const DECISIVE_CRASHES: usize = 3;
const LEARNING_MS: u64 = 3_000;
/// The most attempts of the crashing request after that.
const MAX_LATE_ATTEMPTS: usize = 3;

/// The crashes of a request after which, and 2 x [`LEARNING_MS`] later, hosts refuse at most one in
/// [`MAX_REFUSED_FIRST_RATIO`] first attempts of sound requests with any one part, of at least
/// [`MIN_FIRST_ATTEMPTS`].
const INFORMATIVE_CRASHES: usize = 5;
const MAX_REFUSED_FIRST_RATIO: u64 = 2;
const MIN_FIRST_ATTEMPTS: u64 = 20;

/// The sound requests that hosts may refuse: some, and one in so many of all.
const MAX_REFUSED_SOUND: u64 = 3;
const MIN_SOUND_PER_REFUSED: u64 = 100;

#[derive(Debug)]
struct Server {
    up_at: u64,
    boot: u64,
}

#[derive(Clone, Debug)]
struct Request {
    id: RequestId,
    host: usize,
    chain: SmallVec<[usize; 4]>,
    fingerprints: Fingerprints,
    /// The number of the crashing request; `None` for a sound one.
    crashing: Option<usize>,
    attempts: u32,
    /// How often its caller has repeated it.
    repeats: u32,
    sent_at: u64,
    crashes_at: u64,
    ends_at: u64,
    /// When the host asks what the request waits for, if one of its servers has crashed.
    checked_at: Option<u64>,
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
    /// The times of the crashes by each crashing request.
    crashes_by_request: Vec<Vec<u64>>,
    /// The late attempts of each crashing request.
    late_attempts: Vec<usize>,
    /// Sound requests that their callers repeat, with the times.
    repeats: Vec<(u64, Request)>,
    /// The first attempts of sound requests by their last fingerprint, sent and refused, once hosts
    /// must have told sound requests from crashing ones.
    first_attempts: BTreeMap<Fingerprint, (u64, u64)>,
    refused_sound: u64,
    sent_sound: u64,
}

/// Runs requests and checks that the crashing one stops reaching servers and that few sound ones are
/// refused.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    run_with(Pcg64Mcg::seed_from_u64(seed), trace, |_| None)
}

/// As [`run`], with several crashing requests, slow recovery, shared parts of prompts and callers that
/// repeat sound requests, so that hardly anything succeeds.
pub fn run_in_outage(seed: u64, trace: &mut Trace) -> CaseResult {
    run_with(Pcg64Mcg::seed_from_u64(seed), trace, |rng| Some(Outage::draw(rng)))
}

fn run_with(
    mut rng: Pcg64Mcg,
    trace: &mut Trace,
    draw_outage: fn(&mut Pcg64Mcg) -> Option<Outage>,
) -> CaseResult {
    let plan = Plan::draw(&mut rng, draw_outage);
    let crashing_requests = plan.outage().crashing_requests as usize;
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
        crashes_by_request: vec![Vec::new(); crashing_requests],
        late_attempts: vec![0; crashing_requests],
        repeats: Vec::new(),
        first_attempts: BTreeMap::new(),
        refused_sound: 0,
        sent_sound: 0,
    };
    while sim.now < RUN_MS {
        sim.step()?;
    }
    Ok(())
}

impl Simulation<'_> {
    fn step(&mut self) -> CaseResult {
        self.now += STEP_MS;
        if self.plan.restart_at.is_some_and(|at| at / STEP_MS == self.now / STEP_MS) {
            self.trace.add(format!("{} host 0 starts anew", self.now));
            self.running.retain(|request| request.host != 0);
            self.hosts[0] = Quarantine::new(QuarantineSettings::default());
        }
        self.deliver_messages();
        self.lose_servers();
        self.check_silent_requests();
        self.crash_servers();
        self.end_requests();
        self.send_repeats();
        self.send_new_requests();
        if self.now.is_multiple_of(EXCHANGE_MS) {
            self.exchange(NoticeScope::SHARED, self.plan.hosts);
        } else if self.now.is_multiple_of(ROUND_MS) {
            self.exchange(NoticeScope::URGENT, 2);
        }
        self.check()
    }

    fn check(&self) -> CaseResult {
        let most = self.late_attempts.iter().max().copied().unwrap_or_default();
        if most > MAX_LATE_ATTEMPTS {
            return Err(format!("{most} late attempts of the crashing request"));
        }
        if self.plan.outage.is_some() {
            let starves = |(sent, refused): &(u64, u64)| {
                *sent >= MIN_FIRST_ATTEMPTS && *sent < MAX_REFUSED_FIRST_RATIO * refused
            };
            return match self.first_attempts.iter().find(|(_, counts)| starves(counts)) {
                Some((found, counts)) => Err(format!("{found}: (sent, refused) {counts:?}")),
                None => Ok(()),
            };
        }
        // A sound request may be in flight at two crashes before its host hears what else was.
        let most = MAX_REFUSED_SOUND + self.sent_sound / MIN_SOUND_PER_REFUSED;
        if self.refused_sound > most {
            return Err(format!("{} sound requests were refused", self.refused_sound));
        }
        Ok(())
    }

    fn time(&self) -> Millis {
        self.time_at(self.now)
    }

    fn time_at(&self, at: u64) -> Millis {
        // Hosts that start with the run have run for a minute, so that ages reach back.
        Millis(60_000 + at)
    }

    fn is_cut_off(&self, host: usize) -> bool {
        let is_in = |(from, span): (u64, u64)| (from..from + span).contains(&self.now);
        host == 1 && self.plan.cut.is_some_and(is_in)
    }

    fn deliver_messages(&mut self) {
        let now = self.time();
        while self.messages.front().is_some_and(|(at, _, _)| *at <= self.now) {
            if let Some((_, host, notices)) = self.messages.pop_front() {
                notices.iter().for_each(|notice| self.hosts[host].on_notice(now, notice));
            }
        }
    }

    /// Sends notices of each host to up to `count` others.
    fn exchange(&mut self, scope: NoticeScope, count: usize) {
        for from in 0..self.hosts.len() {
            let notices = self.hosts[from].recent_notices(self.time(), scope, self.now);
            if notices.is_empty() || self.is_cut_off(from) {
                continue;
            }
            let mut others: Vec<usize> = (0..self.hosts.len()).filter(|to| *to != from).collect();
            others.shuffle(&mut self.rng);
            for to in others.into_iter().take(count) {
                if !self.is_cut_off(to) && self.rng.random_bool(0.95) {
                    self.messages.push_back((self.now + STEP_MS, to, notices.clone()));
                }
            }
        }
    }

    fn lose_servers(&mut self) {
        let losses = self.plan.losses.iter().filter(|(at, _)| at / STEP_MS == self.now / STEP_MS);
        let due: Vec<usize> = losses.map(|(_, count)| *count).collect();
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

    /// Ends a server. Hosts whose requests it received first find that at once; other requests on it
    /// wait until their host asks why.
    fn crash(&mut self, server: usize) {
        if !self.is_up(server) {
            return;
        }
        let now = self.time();
        let crash = self.crash_id(server);
        self.servers[server].up_at = self.now + self.plan.outage().boot_ms;
        for request in self.running.iter_mut().filter(|r| r.chain.contains(&server)) {
            let (least, most) = STALL_CHECK_MS;
            let check = self.now + self.rng.random_range(least..most);
            request.checked_at = request.checked_at.or(Some(check));
        }
        let (lost, running): (Vec<Request>, Vec<Request>) =
            self.running.drain(..).partition(|request| request.chain[0] == server);
        self.running = running;
        lost.iter().for_each(|request| self.hosts[request.host].on_break(now, request.id));
        for host in 0..self.hosts.len() {
            if lost.iter().any(|request| request.host == host) {
                self.hosts[host].on_crash(now, &crash);
            }
        }
        lost.into_iter().for_each(|request| self.send_again(request));
    }

    fn send_again(&mut self, request: Request) {
        if request.attempts < self.plan.max_attempts {
            self.send(Request { attempts: request.attempts + 1, ..request });
        } else {
            self.repeat_later(request);
        }
    }

    /// Lets the caller of a sound request that has failed repeat it at any host.
    fn repeat_later(&mut self, request: Request) {
        if request.crashing.is_none() && request.repeats < self.plan.outage().caller_repeats {
            let at = self.now + self.rng.random_range(STEP_MS..1_000);
            self.repeats.push((at, request));
        }
    }

    fn send_repeats(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = self.repeats.drain(..).partition(|(at, _)| *at <= now);
        self.repeats = later;
        for (_, request) in due {
            self.next_id += 1;
            let host = self.rng.random_range(0..self.hosts.len());
            let repeats = request.repeats + 1;
            let id = RequestId(self.next_id);
            let chain = SmallVec::new();
            self.send(Request {
                id,
                host,
                chain,
                repeats,
                attempts: 1,
                checked_at: None,
                ..request
            });
        }
    }

    /// Lets hosts ask what their silent requests wait for, and moves these to other servers.
    fn check_silent_requests(&mut self) {
        let now = self.now;
        let (due, running): (Vec<Request>, Vec<Request>) = self
            .running
            .drain(..)
            .partition(|request| request.checked_at.is_some_and(|at| at <= now));
        self.running = running;
        let (time, least) = (self.time(), STALL_CHECK_MS.0);
        for request in &due {
            let silent_since = self.time_at((now - least).max(request.sent_at));
            let down = request.chain.iter().filter(|server| !self.is_up(**server));
            let crashes: SmallVec<[CrashId; 4]> =
                down.map(|server| self.crash_id(*server)).collect();
            for crash in crashes {
                self.hosts[request.host].on_crash_since(time, silent_since, &crash);
            }
        }
        for request in due {
            self.send(Request { checked_at: None, ..request });
        }
    }

    fn crash_servers(&mut self) {
        let place = self.plan.place;
        let due = self.running.iter().filter(|r| r.crashes_at <= self.now);
        let victims: Vec<(usize, usize)> = due
            .filter_map(|r| {
                let server = match place {
                    CrashPlace::First => r.chain[0],
                    CrashPlace::Last => r.chain[r.chain.len() - 1],
                };
                r.crashing.map(|number| (number, server))
            })
            .collect();
        for (number, server) in victims {
            if self.is_up(server) {
                self.trace.add(format!("{} request {number} crashes server {server}", self.now));
                self.crashes_by_request[number].push(self.now);
                self.crash(server);
            }
        }
    }

    fn end_requests(&mut self) {
        let (time, now) = (self.time(), self.now);
        let sound = self.running.iter().filter(|r| r.crashing.is_none());
        for request in sound.filter(|r| r.checked_at.is_none()) {
            if now >= request.sent_at + FIRST_EVENT_MS {
                self.hosts[request.host].on_progress(time, request.id);
            }
        }
        let (ended, running): (Vec<Request>, Vec<Request>) = self
            .running
            .drain(..)
            .partition(|request| request.checked_at.is_none() && request.ends_at <= now);
        self.running = running;
        ended.iter().for_each(|request| self.hosts[request.host].on_end(time, request.id, true));
        for server in 0..self.servers.len() {
            if self.servers[server].up_at == now {
                self.servers[server].boot += 1;
            }
        }
    }

    fn send_new_requests(&mut self) {
        let mut count = self.plan.sound_per_step / 1_000;
        count += u32::from(self.rng.random_ratio(self.plan.sound_per_step % 1_000, 1_000));
        (0..count).for_each(|_| self.send_new(None));
        if self.now >= QUIET_MS && self.now.is_multiple_of(self.plan.crashing_interval) {
            (0..self.crashes_by_request.len()).for_each(|number| self.send_new(Some(number)));
        }
    }

    /// Counts first attempts of a sound request, once 2 x [`LEARNING_MS`] have passed since a request
    /// crashed a server [`INFORMATIVE_CRASHES`] times, or as often as it did.
    fn count_first_attempt(&mut self, fingerprints: &[Fingerprint], sent: u64, refused: u64) {
        let is_learned = |crashes: &Vec<u64>| {
            let decisive = crashes.get(INFORMATIVE_CRASHES - 1).or(crashes.last());
            decisive.is_none_or(|at| self.now > at + 2 * LEARNING_MS)
        };
        if self.crashes_by_request.iter().all(is_learned) {
            if let Some(last) = fingerprints.last().filter(|f| f.is_part()) {
                let counts = self.first_attempts.entry(*last).or_default();
                *counts = (counts.0 + sent, counts.1 + refused);
            }
        }
    }

    fn send_new(&mut self, crashing: Option<usize>) {
        self.next_id += 1;
        self.sent_sound += u64::from(crashing.is_none());
        let body = crashing.map_or(self.next_id.to_string(), |number| format!("crashing {number}"));
        let host = self.rng.random_range(0..self.hosts.len());
        let request = Fingerprint::of_call("team", "/", body.as_bytes());
        let part = match (self.plan.outage().parts, crashing) {
            (0, _) => None,
            (parts, Some(number)) => Some(number as u64 % parts),
            (parts, None) => Some(self.rng.random_range(0..parts)),
        };
        let part = part.map(|part| {
            let part = PromptPart::new(&part.to_string());
            Fingerprint::of_part(&ServiceName::new("model"), &part)
        });
        let fingerprints: Fingerprints = std::iter::once(request).chain(part).collect();
        if crashing.is_none() {
            self.count_first_attempt(&fingerprints, 1, 0);
        }
        self.send(Request {
            id: RequestId(self.next_id),
            host,
            chain: SmallVec::new(),
            fingerprints,
            crashing,
            attempts: 1,
            repeats: 0,
            sent_at: self.now,
            crashes_at: 0,
            ends_at: 0,
            checked_at: None,
        });
    }

    /// Sends a request to a chain of servers that are up, unless its host refuses it.
    fn send(&mut self, mut request: Request) {
        let now = self.time();
        // A request that has waited for a later server is moved, another one is sent.
        let is_moved = request.chain.first().is_some_and(|first| self.is_up(*first));
        let host = &self.hosts[request.host];
        if let Some((found, _)) = host.find_quarantined(now, &request.fingerprints) {
            if request.crashing.is_none() {
                self.trace.add(format!("{} sound request refused by {found}", self.now));
                self.refused_sound += 1;
                if request.repeats == 0 && request.attempts == 1 {
                    self.count_first_attempt(&request.fingerprints, 0, 1);
                }
            }
            return;
        }
        let mut up: Vec<usize> = (0..self.servers.len()).filter(|i| self.is_up(*i)).collect();
        up.shuffle(&mut self.rng);
        request.chain = up.into_iter().take(self.plan.stages).collect();
        if request.chain.len() < self.plan.stages {
            self.repeat_later(request);
            return;
        }
        request.sent_at = self.now;
        if let Some(number) = request.crashing {
            self.trace.add(format!(
                "{} host {} sends request {number} to {:?}, moved: {is_moved}",
                self.now, request.host, request.chain
            ));
        }
        request.crashes_at = self.now + self.rng.random_range(40..300);
        let duration = self.rng.random_range(300..2_500) * self.plan.outage().duration_factor;
        request.ends_at = self.now + duration;
        if let Some(number) = request.crashing {
            let learned = self.crashes_by_request[number].get(DECISIVE_CRASHES - 1);
            let is_late = learned.is_some_and(|at| self.now > at + LEARNING_MS);
            // A host that others do not reach learns only of its own crashes.
            self.late_attempts[number] += usize::from(is_late && !self.is_cut_off(request.host));
            request.ends_at = u64::MAX;
        }
        let chain: Vec<CrashId> =
            request.chain.iter().map(|server| self.crash_id(*server)).collect();
        let host = &mut self.hosts[request.host];
        if is_moved {
            host.on_move(now, request.id, chain);
        } else {
            host.on_start(now, request.id, &request.fingerprints, chain);
        }
        self.running.push(request);
    }
}
