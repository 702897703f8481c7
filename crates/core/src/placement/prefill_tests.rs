//! Tests of the tokens that servers still have to prefill, and of their part in the choice of chains.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use smallvec::smallvec;
use yare::parameterized;

use crate::clock::Millis;
use crate::name::DomainName;
use crate::name::ServerName;
use crate::peering::observations::short_hash;
use crate::peering::observations::PrefillRow;
use crate::peering::timing::ROUND_INTERVAL;
use crate::placement::chain::Chain;
use crate::placement::chain::ChainStage;
use crate::placement::engine::LayerRange;
use crate::placement::load::Load;
use crate::placement::load::PendingPrefill;
use crate::placement::load::ServerLoads;
use crate::placement::load::PEER_LOAD_TTL;
use crate::placement::path;
use crate::placement::path::ChainNeeds;
use crate::placement::path::LayerHolder;
use crate::placement::tests::kind;
use crate::placement::tests::profile;
use crate::placement::tests::LAYERS;

/// The number of hosts that choose in the tests, as in the deployment with most hosts.
const HOSTS: usize = 72;
/// The tokens of each request in the tests.
const TOKENS: u32 = 900;
/// The seeds of each simulated crash.
const SEEDS: u64 = 10;
/// The most tokens that a server gets after a crash, relative to the mean.
const MAX_UNEVENNESS: f64 = 1.35;
/// The longest pause with the rows of other hosts, relative to that without, when servers have queues.
const MAX_PAUSE_SHARE: f64 = 0.9;
/// The bound on the prefill backlog of servers for new requests, in ms.
const TARGET_LATENCY_MS: f64 = 500.0;

fn server(name: &str) -> ServerName {
    ServerName::new(name)
}

/// Returns the holders of all layers in one failure domain: three each of the first and the last
/// ones, and `middle` of those between. The first holder of each range is the cheapest.
fn holders(middle: usize) -> Vec<LayerHolder> {
    let ranges = [("first", 0, 26, 3), ("middle", 26, 40, middle), ("last", 40, LAYERS, 3)];
    let mut holders = Vec::new();
    for (name, from, to, count) in ranges {
        for index in 0..count {
            let number = u8::try_from(holders.len()).expect("few holders");
            holders.push(LayerHolder {
                server: server(&format!("{name}-{index}")),
                address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 80),
                domain: DomainName::new("a"),
                kind: kind("big"),
                layers: LayerRange::new(from, to),
                load: Load { active: 30.0 + index as f32, ..Load::default() },
                slowness: 1.0,
                prefill_backlog_ms: 0.0,
                faults: 0.0,
                may_begin: true,
            });
        }
    }
    holders
}

fn prefill_tokens_per_ms(holder: &LayerHolder) -> f64 {
    holder.prefill_tokens_per_ms(&profile())
}

/// Chooses a chain as a host with `loads` does, for a new request or for one that leaves `current`.
fn choose(
    holders: &[LayerHolder],
    loads: &ServerLoads,
    current: Option<&Chain>,
    spread_seed: Option<u64>,
) -> Chain {
    let mut holders = holders.to_vec();
    for holder in &mut holders {
        holder.prefill_backlog_ms =
            loads.pending_prefill(&holder.server) as f64 / prefill_tokens_per_ms(holder);
    }
    let need = ChainNeeds {
        domain: &DomainName::new("a"),
        tokens: f64::from(TOKENS),
        current,
        allowed_first: None,
        may_cross: true,
        max_prefill_backlog_ms: current.is_none().then_some(TARGET_LATENCY_MS),
        spread_seed,
    };
    path::choose_chain(&profile(), &holders, need).expect("a chain")
}

/// Returns the server of `chain` that runs the middle layers.
fn middle(chain: &Chain) -> &ServerName {
    &chain.stages()[1].server
}

fn is_idle(loads: &ServerLoads) -> bool {
    loads.own_prefill().next().is_none() && loads.largest_prefill() == 0
}

/// Sums what hosts report of their own pending prefill, in the rows of their messages.
fn reported<'a>(hosts: impl Iterator<Item = &'a ServerLoads>) -> HashMap<ServerName, u64> {
    let mut sum = HashMap::new();
    for (server, tokens) in hosts.flat_map(|host| host.own_prefill()) {
        let row = PrefillRow::new(short_hash(server.as_str()), tokens);
        *sum.entry(server.clone()).or_default() += row.tokens();
    }
    sum
}

fn chain_of(middle: &str) -> Chain {
    let stage = |name: &str, index, from, to| ChainStage {
        server: server(name),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, index), 80),
        domain: DomainName::new("a"),
        layers: LayerRange::new(from, to),
    };
    let number = middle.len() as u8 + 3;
    let stages =
        smallvec![stage("f", 1, 0, 26), stage(middle, number, 26, 40), stage("l", 2, 40, LAYERS)];
    Chain::new(stages, LAYERS).expect("a chain")
}

/// Guards against a prompt that counts at servers of a move that have its KV cache, or no longer at
/// those that had not prefilled it yet.
#[test]
fn a_moved_request_counts_at_new_servers_and_where_it_was_not_prefilled_yet() {
    let (old, new) = (chain_of("m"), chain_of("mm"));
    let pending = PendingPrefill::of_request(&old, 900);
    let mut loads = ServerLoads::default();
    loads.add_prefill(&pending);
    let moved = pending.after_move(&old, &new, 900);
    loads.remove_prefill(&pending);
    loads.add_prefill(&moved);
    let tokens = |loads: &ServerLoads| {
        ["f", "m", "mm", "l"].map(|name| loads.pending_prefill(&server(name)))
    };
    assert_eq!(tokens(&loads), [900, 0, 900, 900], "moved before the first event");
    loads.remove_prefill(&moved);
    assert!(is_idle(&loads));
    let moved = PendingPrefill::default().after_move(&old, &new, 1_200);
    loads.add_prefill(&moved);
    assert_eq!(tokens(&loads), [0, 0, 1_200, 0], "moved after an event");
    let again = moved.after_move(&new, &old, 1_200);
    loads.remove_prefill(&moved);
    loads.add_prefill(&again);
    assert_eq!(tokens(&loads), [0, 1_200, 0, 0], "moved again before the next event");
    loads.remove_prefill(&again);
    assert!(is_idle(&loads));
}

/// Guards against a choice by memory alone, and against a bound that refuses requests when no other
/// server holds the layers.
#[test]
fn a_stage_with_a_prefill_queue_is_avoided_although_its_memory_is_free() {
    let holders = holders(3);
    let mut loads = ServerLoads::default();
    let cheapest = middle(&choose(&holders, &loads, None, None)).clone();
    let per_ms = holders.iter().find(|h| h.server == cheapest).map(prefill_tokens_per_ms);
    let queue = (per_ms.expect("a holder") * TARGET_LATENCY_MS * 1.1) as u64;
    let pending = HashMap::from([(cheapest.clone(), queue)]);
    loads.on_others(Millis(0), HashMap::new(), pending);
    assert_ne!(*middle(&choose(&holders, &loads, None, None)), cheapest);

    let mut alone = holders.clone();
    alone.retain(|h| h.layers.from != 26 || h.server == cheapest);
    assert_eq!(
        *middle(&choose(&alone, &loads, None, None)),
        cheapest,
        "no other server holds its layers"
    );
}

/// Guards against a bound that only raises the cost: the other holder is far slower, and gets the
/// request all the same when the first event would be late at the cheap one.
#[test]
fn a_queue_beyond_the_target_latency_outweighs_a_slow_holder() {
    let mut holders = holders(2);
    holders.iter_mut().filter(|h| h.server == server("middle-1")).for_each(|h| h.slowness = 40.0);
    let mut loads = ServerLoads::default();
    let queue = |ms: f64| {
        let tokens = (prefill_tokens_per_ms(&holders[3]) * ms) as u64;
        HashMap::from([(server("middle-0"), tokens)])
    };
    loads.on_others(Millis(0), HashMap::new(), queue(0.95 * TARGET_LATENCY_MS));
    assert_eq!(*middle(&choose(&holders, &loads, None, None)), server("middle-0"));
    loads.on_others(Millis(0), HashMap::new(), queue(1.05 * TARGET_LATENCY_MS));
    assert_eq!(*middle(&choose(&holders, &loads, None, None)), server("middle-1"));
}

/// Guards against hosts that all follow the same costs: those that choose at the same moment take the
/// same servers, but no longer once they hear of each other's prompts.
#[test]
fn after_many_hosts_chose_at_the_same_moment_the_next_requests_go_elsewhere() {
    let holders = holders(4);
    let mut hosts: Vec<ServerLoads> = (0..HOSTS).map(|_| ServerLoads::default()).collect();
    for host in &mut hosts {
        let chain = choose(&holders, host, None, None);
        assert_eq!(*middle(&chain), server("middle-0"));
        host.add_prefill(&PendingPrefill::of_request(&chain, TOKENS));
    }
    // A host that has sent none of these requests.
    let mut next = ServerLoads::default();
    assert_eq!(*middle(&choose(&holders, &next, None, None)), server("middle-0"), "without rows");
    next.on_others(ROUND_INTERVAL, HashMap::new(), reported(hosts.iter()));
    let chain = choose(&holders, &next, None, None);
    assert!(chain.stages().iter().all(|s| next.pending_prefill(&s.server) == 0), "{chain:?}");
}

/// How hosts learn of what others send to the same servers, and compare the backlogs.
#[derive(Clone, Copy, Debug)]
struct Knowledge {
    /// The number of rounds after which the rows of other hosts arrive; `None` without rows.
    row_delay_rounds: Option<u64>,
    /// Whether hosts weight backlogs at random.
    is_spread: bool,
}

const OWN_REQUESTS: Knowledge = Knowledge { row_delay_rounds: None, is_spread: false };
const EXACT_ROWS: Knowledge = Knowledge { row_delay_rounds: Some(2), is_spread: false };
const SPREAD_WITHOUT_ROWS: Knowledge = Knowledge { row_delay_rounds: None, is_spread: true };
const SPREAD_ROWS: Knowledge = Knowledge { row_delay_rounds: Some(2), is_spread: true };

/// A crash of a server with the requests of many hosts.
#[derive(Clone, Copy, Debug)]
struct Crash {
    /// The requests that move.
    moves: usize,
    /// The span in which hosts notice the silence of their streams, in ms.
    window_ms: u64,
    /// The prompts that two of the five remaining servers have in their queues, of requests of all
    /// hosts.
    queued: usize,
}

/// What the moves after a crash lead to.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// The tokens that the server with most of them gets, relative to the mean.
    unevenness: f64,
    /// The longest time from a move until the new server has prefilled, in ms.
    longest_pause_ms: f64,
}

/// Hosts and the servers that hold the middle layers, after a crash of one of these.
struct CrashSim {
    now: u64,
    hosts: Vec<ServerLoads>,
    remaining: Vec<LayerHolder>,
    busy_until: HashMap<ServerName, f64>,
    tokens: HashMap<ServerName, u64>,
    // Requests of hosts by the time at which their prefill is done.
    ends: BTreeMap<u64, Vec<(usize, PendingPrefill)>>,
    // The rows for each host by the time of their arrival.
    rows: BTreeMap<u64, Vec<HashMap<ServerName, u64>>>,
}

impl CrashSim {
    fn new(remaining: Vec<LayerHolder>) -> Self {
        Self {
            now: 0,
            hosts: (0..HOSTS).map(|_| ServerLoads::default()).collect(),
            remaining,
            busy_until: HashMap::new(),
            tokens: HashMap::new(),
            ends: BTreeMap::new(),
            rows: BTreeMap::new(),
        }
    }

    /// Adds a request of `host` to the queue of `to`; returns how long its prefill takes, in ms.
    fn send(&mut self, host: usize, to: &ServerName, pending: PendingPrefill) -> f64 {
        let holder = self.remaining.iter().find(|h| h.server == *to).expect("a holder");
        let busy = self.busy_until.entry(to.clone()).or_default();
        *busy = busy.max(self.now as f64) + f64::from(TOKENS) / prefill_tokens_per_ms(holder);
        let end = *busy;
        self.hosts[host].add_prefill(&pending);
        self.ends.entry(end.ceil() as u64).or_default().push((host, pending));
        end - self.now as f64
    }

    /// Ends what is prefilled by now, and exchanges rows.
    fn step(&mut self, knowledge: Knowledge) {
        while let Some(entry) = self.ends.first_entry().filter(|e| *e.key() <= self.now) {
            for (host, pending) in entry.remove() {
                self.hosts[host].remove_prefill(&pending);
            }
        }
        if let Some(rounds) =
            knowledge.row_delay_rounds.filter(|_| self.now.is_multiple_of(ROUND_INTERVAL.0))
        {
            let of_others = |i: usize| {
                reported(self.hosts.iter().enumerate().filter(|(j, _)| *j != i).map(|(_, h)| h))
            };
            let rows = (0..HOSTS).map(of_others).collect();
            self.rows.insert(self.now + rounds * ROUND_INTERVAL.0, rows);
        }
        for (host, rows) in
            self.hosts.iter_mut().zip(self.rows.remove(&self.now).into_iter().flatten())
        {
            host.on_others(Millis(self.now), HashMap::new(), rows);
        }
    }
}

/// Runs a crash at which [`HOSTS`] hosts move requests at random times of the window.
fn run_crash(crash: Crash, knowledge: Knowledge, seed: u64) -> Outcome {
    let mut rng = Pcg64::seed_from_u64(seed);
    let all = holders(6);
    let lost = choose(&all, &ServerLoads::default(), None, None);
    let remaining = all.into_iter().filter(|h| h.server != *middle(&lost)).collect();
    let mut sim = CrashSim::new(remaining);
    for index in 0..crash.queued {
        for name in ["middle-1", "middle-2"] {
            let pending = PendingPrefill::default().after_move(&lost, &chain_of(name), TOKENS);
            sim.send(index % HOSTS, &server(name), pending);
        }
    }
    // The rows of what is queued have arrived before the crash.
    let begin = if crash.queued > 0 { 3 * ROUND_INTERVAL.0 } else { 0 };
    let mut moves: Vec<(u64, usize)> = (0..crash.moves)
        .map(|_| (begin + rng.random_range(0..crash.window_ms), rng.random_range(0..HOSTS)))
        .collect();
    moves.sort_unstable();
    let mut moves = moves.into_iter().peekable();
    let mut outcome = Outcome::default();
    while moves.peek().is_some() {
        sim.step(knowledge);
        while let Some((_, host)) = moves.next_if(|(at, _)| *at <= sim.now) {
            let seed = knowledge.is_spread.then(|| rng.random());
            let chain = choose(&sim.remaining, &sim.hosts[host], Some(&lost), seed);
            let pending = PendingPrefill::default().after_move(&lost, &chain, TOKENS);
            let to = middle(&chain);
            let pause_ms = sim.send(host, to, pending);
            outcome.longest_pause_ms = outcome.longest_pause_ms.max(pause_ms);
            *sim.tokens.entry(to.clone()).or_default() += u64::from(TOKENS);
        }
        sim.now += 1;
    }
    let holders = sim.remaining.iter().filter(|h| h.layers.from == 26).count() as f64;
    let most = sim.tokens.values().max().copied().unwrap_or_default() as f64;
    outcome.unevenness = most * holders / sim.tokens.values().sum::<u64>() as f64;
    outcome
}

/// Returns the mean outcome over [`SEEDS`] runs.
fn mean_outcome(crash: Crash, knowledge: Knowledge) -> Outcome {
    let mut mean = Outcome::default();
    for seed in 0..SEEDS {
        let outcome = run_crash(crash, knowledge, seed);
        mean.unevenness += outcome.unevenness / SEEDS as f64;
        mean.longest_pause_ms += outcome.longest_pause_ms / SEEDS as f64;
    }
    mean
}

/// Guards against moves that all hosts send to the same server: each host alone knows too little, and
/// hosts that all follow exact rows overfill the server with the least until the next rows come.
#[parameterized(
    few = { 100, 150 },
    quickly_noticed = { 300, 150 },
    slowly_noticed = { 300, 500 },
    many = { 600, 300 },
    several_crashes = { 900, 1_000 },
)]
fn a_crash_that_moves_hundreds_of_requests_fills_the_remaining_holders_evenly(
    moves: usize,
    window_ms: u64,
) {
    let crash = Crash { moves, window_ms, queued: 0 };
    let own = mean_outcome(crash, OWN_REQUESTS);
    let exact = mean_outcome(crash, EXACT_ROWS);
    let spread = mean_outcome(crash, SPREAD_ROWS);
    assert!(spread.unevenness <= MAX_UNEVENNESS, "{spread:?}");
    assert!(spread.unevenness < own.unevenness, "{spread:?} against {own:?}");
    assert!(spread.unevenness < exact.unevenness, "{spread:?} against {exact:?}");
    assert!(spread.longest_pause_ms < own.longest_pause_ms, "{spread:?} against {own:?}");
}

/// Guards against moves to servers that still prefill new requests of other hosts.
#[test]
fn after_a_crash_requests_move_past_servers_with_a_queue_of_other_hosts() {
    let crash = Crash { moves: 200, window_ms: 200, queued: 100 };
    let without = mean_outcome(crash, SPREAD_WITHOUT_ROWS);
    let with = mean_outcome(crash, SPREAD_ROWS);
    assert!(
        with.longest_pause_ms < MAX_PAUSE_SHARE * without.longest_pause_ms,
        "{with:?} against {without:?}"
    );
}

/// Guards against rows that outlive the host that sent them, which would keep requests away from a
/// server for no reason.
#[test]
fn rows_of_silent_hosts_expire() {
    let mut loads = ServerLoads::default();
    loads.add_prefill(&PendingPrefill::of_request(&chain_of("m"), 300));
    loads.on_others(Millis(100), HashMap::new(), HashMap::from([(server("m"), 40_000)]));
    loads.on_tick(Millis(99) + PEER_LOAD_TTL);
    assert_eq!(loads.pending_prefill(&server("m")), 40_300);
    loads.on_tick(Millis(100) + PEER_LOAD_TTL);
    assert_eq!(loads.pending_prefill(&server("m")), 300);
}

proptest! {
    /// Guards against tokens that stay behind when requests begin, move and end in any order, which
    /// would keep requests away from a server for good.
    #[test]
    fn nothing_is_left_when_all_requests_have_ended(
        steps in prop::collection::vec((0_usize..6, 0_u8..4, 0_u32..5_000), 0..80),
    ) {
        let mut loads = ServerLoads::default();
        let mut requests: [Option<(Chain, PendingPrefill)>; 6] = Default::default();
        for (index, action, tokens) in steps {
            let before = requests[index].take();
            if let Some((_, pending)) = &before {
                loads.remove_prefill(pending);
            }
            let chain = chain_of(["m", "mm", "mmm"][tokens as usize % 3]);
            let pending = match (&before, action) {
                (_, 0) => None,
                (None, _) => Some(PendingPrefill::of_request(&chain, tokens)),
                (Some((old, pending)), 1 | 2) => Some(pending.after_move(old, &chain, tokens)),
                (Some(_), _) => Some(PendingPrefill::default()),
            };
            if let Some(pending) = pending {
                loads.add_prefill(&pending);
                requests[index] = Some((chain, pending));
            }
        }
        for (_, pending) in requests.iter().flatten() {
            loads.remove_prefill(pending);
        }
        prop_assert!(is_idle(&loads));
    }
}
