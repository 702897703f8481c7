//! A model of many hosts that share loads with a delay, compared with the former rule, by which each
//! host ordered only its own waiting requests.

use std::collections::VecDeque;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yare::parameterized;

use crate::admit::reservation::tests::holder;
use crate::admit::reservation::tests::lower;
use crate::admit::reservation::tests::profile;
use crate::admit::reservation::tests::three_ranks;
use crate::admit::reservation::tests::upper;
use crate::admit::reservation::tests::SERVER_TOKENS;
use crate::admit::reservation::Admission;
use crate::admit::reservation::Arrival;
use crate::admit::reservation::Rank;
use crate::admit::reservation::RefusedCaller;
use crate::admit::reservation::Reservation;
use crate::admit::reservation::ServiceCapacity;
use crate::clock::Millis;
use crate::placement::path::MAX_MEMORY_UTILIZATION;

const RANKS: usize = 3;
const DOMAINS: usize = 3;
const DOMAIN_NAMES: [&str; DOMAINS] = ["a", "b", "c"];
const HOSTS: usize = 24;
/// The servers of each domain that hold one half of the layers.
const SERVERS_PER_HALF: usize = 3;
const STEP: Millis = Millis(10);
/// The age of the loads of other hosts, in steps: 100 ms.
const REPORT_STEPS: usize = 10;
/// The time between two checks of a waiting request, in steps: 20 ms.
const CHECK_STEPS: u64 = 2;
const MAX_WAIT: Millis = Millis(400);
/// The time for which a request that a server declined gives way to more urgent ones.
const MAX_YIELD: Millis = Millis(200);
const REQUEST_TOKENS: f64 = 1_000.0;
const MEAN_HELD_MS: f64 = 1_500.0;
/// The time after which a caller gives up.
const CALLER_TIMEOUT: Millis = Millis(6_000);
/// The target latency of each rank.
const TARGETS: [Millis; RANKS] = [Millis(500), Millis(600), Millis(1_200)];
const MAX_ATTEMPTS: u8 = 2;
/// The requests a second that the whole fleet can serve: memory for 414 requests, each for 1.5 s.
const FLEET_RATE: f64 = 276.0;
/// The end of each run.
const END: Millis = Millis(20_000);
const WARM_UP: Millis = Millis(3_000);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rule {
    /// Each host orders its own waiting requests by priority.
    Former,
    /// The same, and the reservation before it.
    Reserved,
}

/// Requests a second of each rank over the fleet, the servers of each half of a domain, and the domain
/// that is cut off, from a point in time on.
#[derive(Clone, Copy, Debug)]
struct Phase {
    from: Millis,
    rates: [f64; RANKS],
    servers: usize,
    cut_off: Option<usize>,
}

/// Returns the phase from second `from` on, with `rates` in parts of what the fleet can serve.
fn phase(from: u64, rates: [f64; RANKS]) -> Phase {
    Phase {
        from: Millis(from * 1_000),
        rates: rates.map(|rate| rate * FLEET_RATE),
        servers: SERVERS_PER_HALF,
        cut_off: None,
    }
}

#[derive(Clone, Debug)]
struct Request {
    rank: usize,
    host: usize,
    first_at: Millis,
    wait_until: Millis,
    attempts: u8,
    // Until when it gives way to more urgent requests.
    yields_until: Millis,
}

/// The results of one rank after the warm-up.
#[derive(Clone, Copy, Debug, Default)]
struct RankResult {
    arrivals: u32,
    refused_by_rank: u32,
    refused: u32,
    callers: u32,
    served: u32,
    // Served within the target latency of the rank from the first request of the caller on.
    on_time: u32,
}

impl RankResult {
    fn refused_part(&self) -> f64 {
        f64::from(self.refused) / f64::from(self.arrivals.max(1))
    }

    fn served_part(&self) -> f64 {
        f64::from(self.served) / f64::from(self.callers.max(1))
    }
}

#[derive(Clone, Debug, Default)]
struct Results {
    ranks: [RankResult; RANKS],
    // The true utilization in the steps in which the reservation refused a request.
    when_refusing: Vec<f64>,
    // The true utilization in all steps, with their times.
    utilization: Vec<(Millis, f64)>,
    declines: u32,
}

struct World {
    rule: Rule,
    now: Millis,
    phase: Phase,
    rng: Pcg64Mcg,
    reservations: Vec<Reservation>,
    // The tokens that each host holds in each domain, now and in earlier steps.
    held: Vec<[f64; DOMAINS]>,
    history: VecDeque<Vec<[f64; DOMAINS]>>,
    running: Vec<(Millis, usize, usize)>,
    waiting: Vec<Request>,
    // Callers that will send again: when, their rank and the time of their first request.
    returning: Vec<(Millis, usize, Millis)>,
    results: Results,
}

impl World {
    fn new(rule: Rule, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let ranks = three_ranks();
        let reservations =
            (0..HOSTS).map(|_| Reservation::new(&profile(), &ranks, rng.random())).collect();
        Self {
            rule,
            now: Millis::ZERO,
            phase: phase(0, [0.0; RANKS]),
            rng,
            reservations,
            held: vec![[0.0; DOMAINS]; HOSTS],
            history: VecDeque::new(),
            running: Vec::new(),
            waiting: Vec::new(),
            returning: Vec::new(),
            results: Results::default(),
        }
    }

    fn run(mut self, phases: &[Phase]) -> Results {
        while self.now < END {
            if let Some(phase) = phases.iter().rfind(|p| p.from <= self.now) {
                self.phase = *phase;
            }
            self.history.push_back(self.held.clone());
            if self.history.len() > REPORT_STEPS + 1 {
                self.history.pop_front();
            }
            self.end_requests();
            if self.counts() {
                let utilization = self.true_utilization();
                self.results.utilization.push((self.now, utilization));
            }
            self.arrive();
            if (self.now.0 / STEP.0).is_multiple_of(CHECK_STEPS) {
                self.try_waiting();
            }
            self.now = self.now + STEP;
        }
        self.results
    }

    fn counts(&self) -> bool {
        self.now >= WARM_UP
    }

    fn domain_capacity(&self) -> f64 {
        self.phase.servers as f64 * SERVER_TOKENS
    }

    fn used(&self, domain: usize) -> f64 {
        self.held.iter().map(|h| h[domain]).sum()
    }

    fn true_utilization(&self) -> f64 {
        let used: f64 = (0..DOMAINS).map(|d| self.used(d)).sum();
        used / (DOMAINS as f64 * MAX_MEMORY_UTILIZATION * self.domain_capacity())
    }

    /// Returns whether hosts of these two domains hear each other and reach each other's servers.
    fn is_connected(&self, a: usize, b: usize) -> bool {
        a == b || self.phase.cut_off.is_none_or(|cut| cut != a && cut != b)
    }

    /// Returns the tokens in `domain` as `host` knows them: its own now, those of others as reported.
    fn known(&self, host: usize, domain: usize) -> f64 {
        let reported = self.history.front().expect("the present step is recorded");
        let others = (0..HOSTS)
            .filter(|&h| h != host && self.is_connected(h % DOMAINS, host % DOMAINS))
            .map(|h| reported[h][domain]);
        others.sum::<f64>() + self.held[host][domain]
    }

    fn capacity(&self, host: usize) -> Option<ServiceCapacity> {
        let mut holders = Vec::new();
        for (domain, name) in DOMAIN_NAMES.iter().enumerate() {
            if self.is_connected(domain, host % DOMAINS) {
                let tokens = self.known(host, domain) / self.phase.servers as f64;
                for index in 0..self.phase.servers {
                    holders.push(holder(name, index, lower(), tokens));
                    holders.push(holder(name, index, upper(), tokens));
                }
            }
        }
        ServiceCapacity::of(&profile(), &holders)
    }

    fn end_requests(&mut self) {
        let now = self.now;
        let held = &mut self.held;
        self.running.retain(|&(end, host, domain)| {
            if end <= now {
                held[host][domain] = (held[host][domain] - REQUEST_TOKENS).max(0.0);
            }
            end > now
        });
    }

    fn arrive(&mut self) {
        for rank in 0..RANKS {
            let mean = self.phase.rates[rank] * STEP.0 as f64 / 1e3;
            let count =
                mean.floor() as u32 + u32::from(self.rng.random::<f64>() < mean - mean.floor());
            for _ in 0..count {
                if self.counts() {
                    self.results.ranks[rank].callers += 1;
                }
                self.receive(rank, self.now);
            }
        }
        let now = self.now;
        let due: Vec<_> = self.returning.iter().filter(|r| r.0 <= now).copied().collect();
        self.returning.retain(|r| r.0 > now);
        for (_, rank, first_at) in due {
            self.receive(rank, first_at);
        }
    }

    fn receive(&mut self, rank: usize, first_at: Millis) {
        let host = self.rng.random_range(0..HOSTS);
        if self.counts() {
            self.results.ranks[rank].arrivals += 1;
        }
        let admission = self.decide(host, rank, first_at);
        if let Admission::Refuse { retry_after } = admission {
            if self.counts() {
                self.results.ranks[rank].refused_by_rank += 1;
                let utilization = self.true_utilization();
                self.results.when_refusing.push(utilization);
            }
            self.refuse(rank, first_at, retry_after);
            return;
        }
        self.waiting.push(Request {
            rank,
            host,
            first_at,
            wait_until: self.now + MAX_WAIT,
            attempts: 0,
            yields_until: if admission == Admission::Try { Millis(u64::MAX) } else { Millis::ZERO },
        });
    }

    fn decide(&mut self, host: usize, rank: usize, first_at: Millis) -> Admission {
        if self.rule == Rule::Former {
            return Admission::Admit;
        }
        self.update(host);
        let caller = self.caller(first_at);
        self.reservations[host].decide(self.now, Arrival { rank: rank_of(rank), caller })
    }

    fn update(&mut self, host: usize) {
        if self.reservations[host].is_outdated(self.now) {
            let capacity = self.capacity(host);
            self.reservations[host].on_capacity(self.now, capacity, HOSTS);
        }
    }

    fn caller(&mut self, first_at: Millis) -> RefusedCaller {
        let time_left = (first_at + CALLER_TIMEOUT).since(self.now);
        RefusedCaller { time_left, hosts: HOSTS, random: self.rng.random() }
    }

    /// Refuses a caller, which retries until it gives up.
    fn refuse(&mut self, rank: usize, first_at: Millis, retry_after: Millis) {
        if self.counts() {
            self.results.ranks[rank].refused += 1;
        }
        let retry_at = self.now + retry_after;
        if retry_at < first_at + CALLER_TIMEOUT {
            self.returning.push((retry_at, rank, first_at));
        }
    }

    /// Tries the waiting requests: hosts in random order, those of each host by rank and arrival.
    fn try_waiting(&mut self) {
        let mut waiting = std::mem::take(&mut self.waiting);
        let offset = self.rng.random_range(0..HOSTS);
        waiting.sort_by_key(|r| ((r.host * 7 + offset) % HOSTS, r.rank));
        for mut request in waiting {
            let yields = self.now < request.yields_until;
            if (!yields || self.may_send(&request)) && self.send(&mut request) {
                if yields {
                    let rank = rank_of(request.rank);
                    self.reservations[request.host].on_trial_sent(rank);
                }
                continue;
            }
            if request.attempts >= MAX_ATTEMPTS || self.now >= request.wait_until {
                let retry_after = self.no_room_delay(&request);
                self.refuse(request.rank, request.first_at, retry_after);
            } else {
                self.waiting.push(request);
            }
        }
    }

    fn may_send(&mut self, request: &Request) -> bool {
        self.update(request.host);
        self.reservations[request.host].may_send(rank_of(request.rank))
    }

    fn no_room_delay(&mut self, request: &Request) -> Millis {
        if self.rule == Rule::Former {
            return Millis(self.rng.random_range(400..1_600));
        }
        let caller = self.caller(request.first_at);
        let rank = rank_of(request.rank);
        self.reservations[request.host].retry_after(self.now, rank, caller)
    }

    /// Sends a request to the domain with the most room as its host knows it, if one has room; returns
    /// whether a server took it. Servers decline what their memory does not hold.
    fn send(&mut self, request: &mut Request) -> bool {
        let capacity = self.domain_capacity();
        let host = request.host;
        let free = |d: &usize| MAX_MEMORY_UTILIZATION * capacity - self.known(host, *d);
        let domain = (0..DOMAINS)
            .filter(|&d| self.is_connected(d, host % DOMAINS))
            .filter(|d| free(d) >= REQUEST_TOKENS)
            .max_by(|a, b| free(a).total_cmp(&free(b)));
        let Some(domain) = domain else {
            return false;
        };
        request.attempts += 1;
        if self.used(domain) + REQUEST_TOKENS > capacity {
            self.results.declines += u32::from(self.counts());
            if self.rule == Rule::Reserved {
                request.yields_until = self.now + MAX_YIELD;
            }
            return false;
        }
        let held = -MEAN_HELD_MS * (1.0 - self.rng.random::<f64>()).ln();
        self.held[host][domain] += REQUEST_TOKENS;
        self.running.push((self.now + Millis(held as u64 + 1), host, domain));
        if request.first_at >= WARM_UP {
            let result = &mut self.results.ranks[request.rank];
            result.served += 1;
            let is_on_time = self.now.since(request.first_at) <= TARGETS[request.rank];
            result.on_time += u32::from(is_on_time);
        }
        true
    }
}

fn rank_of(index: usize) -> Rank {
    Rank(u8::try_from(index).expect("few ranks"))
}

fn both_rules(seed: u64, phases: &[Phase]) -> (Results, Results) {
    let run = |rule| World::new(rule, seed).run(phases);
    (run(Rule::Former), run(Rule::Reserved))
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns the value below which the part `part` of `values` lies.
fn quantile(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    if sorted.is_empty() {
        return 1.0;
    }
    sorted[(part * (sorted.len() - 1) as f64) as usize]
}

/// Returns the true utilization from the time `from` to the time `to`, in seconds.
fn utilization_between(results: &Results, from: u64, to: u64) -> Vec<f64> {
    let span = Millis(from * 1_000)..Millis(to * 1_000);
    let within = results.utilization.iter().filter(|(at, _)| span.contains(at));
    within.map(|(_, utilization)| *utilization).collect()
}

/// The largest part of the capacity that is idle while requests are refused: what is reserved (0.10) and
/// the hysteresis (0.025), and what becomes free before a rank is admitted again (100 of 1,500 ms).
const MAX_IDLE: f64 = 0.20;
const MAX_MEAN_IDLE: f64 = 0.12;
/// The bounds of the utilization in overload. Servers have room beyond the part that hosts use, up to
/// 1.087.
const STEADY: (f64, f64) = (1.0 - MAX_IDLE, 1.05);

/// Asserts what holds in each overload: urgent requests are refused no more often than less urgent ones
/// and fare better than by the former rule, the least urgent rank keeps its minimum share, and little
/// capacity is idle while requests are refused.
fn assert_rule(former: &Results, reserved: &Results) {
    let refused = reserved.ranks.map(|r| r.refused_part());
    let before = former.ranks.map(|r| r.refused_part());
    assert!(refused[0] <= refused[1] && refused[1] <= refused[2], "{refused:?}");
    assert!(refused[0] < 0.15 * before[0], "{refused:?}, before {before:?}");
    let served = reserved.ranks.map(|r| r.served_part());
    let before = former.ranks.map(|r| r.served_part());
    assert!(served[0] > 0.99 && served[1] > before[1], "{served:?}, before {before:?}");
    assert!(served[2] > 0.125, "{served:?}");
    let on_time = reserved.ranks.map(|r| r.on_time);
    let before = former.ranks.map(|r| r.on_time);
    let is_more_urgent_on_time = on_time[0] + on_time[1] > before[0] + before[1];
    assert!(on_time[0] > before[0] && is_more_urgent_on_time, "{on_time:?}, before {before:?}");
    let total = |on_time: [u32; RANKS]| f64::from(on_time.iter().sum::<u32>());
    assert!(total(on_time) > 0.95 * total(before), "{on_time:?}, before {before:?}");
    for rank in &reserved.ranks[1..] {
        let tried = rank.arrivals - rank.refused_by_rank;
        assert!(tried + HOSTS as u32 >= rank.arrivals / 8, "{rank:?}");
    }
    let mean_idle = 1.0 - mean(&reserved.when_refusing);
    let most_idle = 1.0 - quantile(&reserved.when_refusing, 0.02);
    assert!(mean_idle < MAX_MEAN_IDLE && most_idle < MAX_IDLE, "{mean_idle} {most_idle}");
    assert!(10 * reserved.declines < former.declines, "{} {}", reserved.declines, former.declines);
}

/// Asserts that the utilization stays within its bounds in 0.96 of the time from the second `from` to
/// the second `to`.
fn assert_steady(results: &Results, from: u64, to: u64) {
    let utilization = utilization_between(results, from, to);
    let (least, most) = (quantile(&utilization, 0.02), quantile(&utilization, 0.98));
    assert!(STEADY.0 < least && most < STEADY.1, "{least} to {most}");
}

#[parameterized(one = { 1 }, two = { 2 }, three = { 3 })]
fn burst_of_the_least_urgent_rank(seed: u64) {
    let usual = [0.2, 0.2, 0.2];
    let phases = [phase(0, usual), phase(5, [0.2, 0.2, 2.0]), phase(15, usual)];
    let (former, reserved) = both_rules(seed, &phases);
    assert_rule(&former, &reserved);
    assert_steady(&reserved, 7, 15);
}

#[parameterized(one = { 1 }, two = { 2 }, three = { 3 })]
fn burst_of_the_most_urgent_rank(seed: u64) {
    let usual = [0.2, 0.3, 0.3];
    let phases = [phase(0, usual), phase(5, [0.9, 0.3, 0.3]), phase(15, usual)];
    let (former, reserved) = both_rules(seed, &phases);
    assert_rule(&former, &reserved);
    assert_steady(&reserved, 7, 15);
}

#[parameterized(one = { 1 }, two = { 2 }, three = { 3 })]
fn loss_of_a_third_of_the_servers_under_steady_load_and_their_return(seed: u64) {
    let rates = [0.3, 0.3, 0.35];
    let lost = Phase { servers: 2, ..phase(6, rates) };
    let (former, reserved) = both_rules(seed, &[phase(0, rates), lost, phase(14, rates)]);
    assert_rule(&former, &reserved);
    assert_steady(&reserved, 8, 14);
    assert_steady(&reserved, 17, 20);
}

#[parameterized(one = { 1 }, two = { 2 }, three = { 3 })]
fn a_domain_cut_off_from_the_others(seed: u64) {
    let rates = [0.4, 0.4, 0.4];
    let cut = Phase { cut_off: Some(0), ..phase(6, rates) };
    let (former, reserved) = both_rules(seed, &[phase(0, rates), cut, phase(14, rates)]);
    assert_rule(&former, &reserved);
    assert_steady(&reserved, 8, 14);
}

/// Guards against refusals while there is capacity for all.
#[parameterized(one = { 1 }, two = { 2 }, three = { 3 })]
fn steady_load_below_the_capacity(seed: u64) {
    let (_, reserved) = both_rules(seed, &[phase(0, [0.25, 0.25, 0.25])]);
    for rank in reserved.ranks {
        assert!(rank.refused_part() < 0.002, "{rank:?}");
    }
}
