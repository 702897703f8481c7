//! Randomised case: one forwarded request over servers that fail in various ways.
//!
//! Compares the outcome and the stream with what the servers did and the caller received. Also
//! checks the validation of chains and the retention of entries in the server list.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use rand::seq::IndexedRandom;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::forward::events::EventSplitter;
use yuccanotch_core::forward::outcome::AttemptEnd;
use yuccanotch_core::forward::outcome::AttemptTarget;
use yuccanotch_core::forward::outcome::NextStep;
use yuccanotch_core::forward::outcome::RequestState;
use yuccanotch_core::forward::outcome::RetryConditions;
use yuccanotch_core::forward::pauses::Pauses;
use yuccanotch_core::forward::pauses::RequestedPause;
use yuccanotch_core::forward::reason::LeavingSource;
use yuccanotch_core::forward::routes::RepeatPolicy;
use yuccanotch_core::forward::servers::ServerChange;
use yuccanotch_core::forward::servers::ServerEntry;
use yuccanotch_core::forward::servers::ServerList;
use yuccanotch_core::forward::servers::ServerState;
use yuccanotch_core::forward::servers::LAPSE_GRACE;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::name::ServiceName;
use yuccanotch_core::placement::chain::Chain;
use yuccanotch_core::placement::chain::ChainStage;
use yuccanotch_core::placement::engine::LayerRange;

use crate::case::CaseResult;
use crate::trace::Trace;

const SERVERS: u8 = 6;
const LAYERS: u16 = 12;
/// Number of attempts after which a request must have ended.
const MAX_SENDS: usize = 24;
/// Longer than the time for which the list keeps a lapsed entry.
const PAST_RETENTION: Millis = Millis(60_000);

/// The longest pause that a server gets.
const LONGEST_PAUSE: Millis = Millis(120_000);

/// What happened at the servers and at the caller, recorded independently of the router.
#[derive(Debug, Default)]
struct GroundTruth {
    /// Number of times that a server ran the request.
    runs: usize,
    reached_servers: BTreeSet<u8>,
    caller_bytes: Vec<u8>,
    /// Whether a server sent its whole answer.
    is_complete: bool,
}

/// State of one run.
struct Simulation<'a> {
    rng: Pcg64Mcg,
    trace: &'a mut Trace,
    repeat_policy: RepeatPolicy,
    max_servers: u8,
    is_stream: bool,
    event_count: u64,
    truth: GroundTruth,
}

/// Runs one request and checks its outcome, then checks chains and the server list.
///
/// # Errors
///
/// Returns the invariant that was violated.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let repeat_policies = [RepeatPolicy::Never, RepeatPolicy::Safe, RepeatPolicy::Resumable];
    let repeat_policy = *repeat_policies.choose(&mut rng).ok_or("there are repeat policies")?;
    let is_stream = repeat_policy == RepeatPolicy::Resumable
        || (repeat_policy == RepeatPolicy::Never && rng.random_bool(0.5));
    let mut sim = Simulation {
        repeat_policy,
        max_servers: rng.random_range(1..=4),
        is_stream,
        event_count: rng.random_range(1..=8),
        rng,
        trace,
        truth: GroundTruth::default(),
    };
    sim.run_request()?;
    sim.check_chains()?;
    sim.check_server_list()?;
    sim.check_announced_leaving()?;
    sim.check_pauses()?;
    sim.check_older_copy()
}

impl Simulation<'_> {
    fn run_request(&mut self) -> CaseResult {
        let mut request_state = RequestState::new(self.repeat_policy, self.max_servers);
        let mut splitter = EventSplitter::new(None);
        for _ in 0..MAX_SENDS {
            let Some((server, receiver)) = self.choose_server(&request_state) else {
                return self.check_end(request_state.final_step(), None);
            };
            request_state.on_send(receiver);
            if request_state.final_step() == NextStep::Refuse {
                return Err("a request in flight is reported as not run".to_owned());
            }
            let end = self.run_attempt(server, &mut request_state, &mut splitter);
            self.trace.add(format!("{server} {receiver:?}: {end:?}"));
            let Some(end) = end else {
                return self.check_complete_answer();
            };
            let within_budget = self.rng.random_bool(0.9);
            let next =
                request_state.on_end(end, RetryConditions { within_budget, within_deadline: true });
            if !matches!(next, NextStep::Retry | NextStep::AwaitBudget) {
                return self.check_end(next, Some(end));
            }
        }
        Err(format!("no end after {MAX_SENDS} sends"))
    }

    fn choose_server(&mut self, request_state: &RequestState) -> Option<(u8, AttemptTarget)> {
        let server = self.rng.random_range(0..SERVERS);
        if self.truth.reached_servers.contains(&server) {
            if !request_state.may_resend() {
                return None;
            }
            return Some((server, AttemptTarget::Tried));
        }
        if request_state.may_try_new_server() {
            return Some((server, AttemptTarget::Untried));
        }
        let known: Vec<u8> = self.truth.reached_servers.iter().copied().collect();
        Some((*known.choose(&mut self.rng)?, AttemptTarget::Tried))
    }

    /// Runs an attempt; returns how it failed, or `None` when the answer is complete.
    fn run_attempt(
        &mut self,
        server: u8,
        request_state: &mut RequestState,
        splitter: &mut EventSplitter,
    ) -> Option<AttemptEnd> {
        match self.rng.random_range(0..100) {
            0..15 => return Some(AttemptEnd::NotSent),
            15..30 => {
                self.truth.reached_servers.insert(server);
                return Some(AttemptEnd::Declined);
            }
            _ => {}
        }
        self.truth.reached_servers.insert(server);
        self.truth.runs += 1;
        match self.rng.random_range(0..100) {
            0..15 if !request_state.has_begun() => return Some(AttemptEnd::Failed),
            15..30 => return Some(AttemptEnd::Silent),
            _ => {}
        }
        let is_cut = self.rng.random_bool(0.6);
        if !self.is_stream {
            self.truth.is_complete = !is_cut;
            return is_cut.then_some(AttemptEnd::Broken);
        }
        self.relay_stream(is_cut, request_state, splitter)
    }

    /// Relays a stream; some servers start again at the first event although the caller has it.
    fn relay_stream(
        &mut self,
        is_cut: bool,
        request_state: &mut RequestState,
        splitter: &mut EventSplitter,
    ) -> Option<AttemptEnd> {
        let after = splitter.last_event_id().unwrap_or(0);
        let first = if self.rng.random_bool(0.2) { 1 } else { after + 1 };
        let mut bytes: Vec<u8> = (first..=self.event_count).flat_map(event_bytes).collect();
        if is_cut {
            bytes.truncate(self.rng.random_range(0..=bytes.len()));
        }
        splitter.begin_attempt();
        let chunk = self.rng.random_range(1..40);
        for data in bytes.chunks(chunk) {
            let Ok(complete_events) = splitter.push(data) else {
                return Some(AttemptEnd::Broken);
            };
            if complete_events.count > 0 {
                request_state.on_answer_begun();
                self.truth.caller_bytes.extend_from_slice(&complete_events.bytes);
            }
        }
        if is_cut || splitter.has_partial_event() {
            return Some(AttemptEnd::Broken);
        }
        self.truth.is_complete = true;
        None
    }

    fn check_complete_answer(&self) -> CaseResult {
        if self.is_stream && self.truth.caller_bytes != self.full_stream() {
            return Err(
                "a stream that ended as complete does not hold each event exactly once".to_owned()
            );
        }
        self.check_bounds()
    }

    fn check_end(&self, next: NextStep, end: Option<AttemptEnd>) -> CaseResult {
        let truth = &self.truth;
        if next == NextStep::Refuse && truth.runs > 0 {
            return Err(format!("reported as not run after {} runs", truth.runs));
        }
        if next != NextStep::BreakOff && !truth.caller_bytes.is_empty() {
            return Err(format!("{next:?} after a byte reached the caller"));
        }
        if next == NextStep::PassOn && end != Some(AttemptEnd::Failed) {
            return Err(format!("{end:?} is passed on to the caller as a failure of the server"));
        }
        if !self.full_stream().starts_with(&truth.caller_bytes) {
            return Err("the caller's bytes are not the beginning of the stream".to_owned());
        }
        self.check_bounds()
    }

    fn check_bounds(&self) -> CaseResult {
        let truth = &self.truth;
        if self.repeat_policy == RepeatPolicy::Never && truth.runs > 1 {
            return Err(format!("a request that may run at most once ran {} times", truth.runs));
        }
        if truth.reached_servers.len() > usize::from(self.max_servers) {
            return Err(format!(
                "{} servers were tried, but at most {} may be",
                truth.reached_servers.len(),
                self.max_servers
            ));
        }
        Ok(())
    }

    fn full_stream(&self) -> Vec<u8> {
        (1..=self.event_count).flat_map(event_bytes).collect()
    }

    /// Checks that stages are accepted as a chain exactly when they run each layer once and in order.
    fn check_chains(&mut self) -> CaseResult {
        let mut stages: SmallVec<[ChainStage; 12]> = SmallVec::new();
        let mut at = 0;
        while at < LAYERS {
            let to = (at + self.rng.random_range(1..=5)).min(LAYERS);
            let skipped = u16::from(self.rng.random_bool(0.1));
            stages.push(chain_stage(stages.len(), (at + skipped).min(to - 1), to));
            at = to;
        }
        let layers_run: Vec<u16> = stages.iter().flat_map(|p| p.layers.from..p.layers.to).collect();
        let covers_layers_in_order = layers_run.iter().copied().eq(0..LAYERS);
        if Chain::new(stages, LAYERS).is_ok() == covers_layers_in_order {
            Ok(())
        } else {
            Err(format!("layers {layers_run:?} accepted as a chain: {}", !covers_layers_in_order))
        }
    }

    /// Checks that an entry that lapses after the store has recovered is kept for a while, unless it is
    /// leaving.
    fn check_server_list(&mut self) -> CaseResult {
        let mut list = ServerList::default();
        let mut now = Millis(self.rng.random_range(1_000..9_000));
        let leaving = self.rng.random_bool(0.5);
        let state = if leaving { ServerState::Leaving } else { ServerState::Ready };
        let entry = server_entry(state);
        list.on_change(now, ServerChange::Put(entry.clone()));
        let store_was_unavailable = self.rng.random_bool(0.5);
        if store_was_unavailable {
            list.on_store_recovered(now);
        }
        now = now + Millis(self.rng.random_range(1..500));
        list.on_change(now, ServerChange::Gone(entry.id.clone()));
        let kept = list.get(&entry.id).is_some();
        if kept != (store_was_unavailable && !leaving) {
            return Err(format!(
                "entry kept: {kept}, store was unavailable: {store_was_unavailable}, entry leaving: {leaving}"
            ));
        }
        list.on_tick(now + PAST_RETENTION);
        match list.get(&entry.id) {
            None => Ok(()),
            Some(_) => Err("a lapsed entry is kept forever".to_owned()),
        }
    }

    /// Checks that a server that has announced that it is leaving counts as leaving through changes
    /// of its entry, until a later incarnation is listed.
    fn check_announced_leaving(&mut self) -> CaseResult {
        let mut list = ServerList::default();
        let mut now = Millis(self.rng.random_range(1_000..9_000));
        let mut entry = ServerEntry { born: Some(1_000), ..server_entry(ServerState::Ready) };
        list.on_change(now, ServerChange::Put(entry.clone()));
        let mut announced = None;
        for _ in 0..8 {
            now = now + Millis(self.rng.random_range(1..2_000));
            match self.rng.random_range(0..6) {
                0 => {
                    announced = entry.born;
                    list.on_leaving(now, &entry.id, entry.born, LeavingSource::Answer);
                }
                1 => {
                    let earlier = self.rng.random_range(0..900);
                    list.on_leaving(now, &entry.id, Some(earlier), LeavingSource::Host);
                }
                2 => list.on_change(now, ServerChange::Gone(entry.id.clone())),
                3 => list.on_list(now, Vec::new()),
                4 => {
                    entry.born = entry.born.map(|born| born + 1_000);
                    list.on_change(now, ServerChange::Put(entry.clone()));
                }
                _ => list.on_list(now, vec![entry.clone()]),
            }
            list.on_tick(now);
            let is_leaving = announced.is_some() && announced == entry.born;
            let expected = if is_leaving { ServerState::Leaving } else { ServerState::Ready };
            let state = list.get(&entry.id).map(|e| e.state);
            if state.is_some_and(|state| state != expected) {
                return Err(format!(
                    "state {state:?} of the incarnation {:?}, announced: {announced:?}",
                    entry.born
                ));
            }
        }
        Ok(())
    }

    /// Checks that a server gets requests again neither before nor long after the pauses that it
    /// asks for.
    fn check_pauses(&mut self) -> CaseResult {
        let mut pauses = Pauses::default();
        let server = ServerName::new("s-0");
        let mut now = Millis(self.rng.random_range(1_000..9_000));
        let mut expected_end = Millis::ZERO;
        for _ in 0..8 {
            now = now + Millis(self.rng.random_range(1..3_000));
            let seconds = match self.rng.random_range(0..8) {
                0 => f64::NAN,
                1 => -1.5,
                2 => 1e300,
                _ => f64::from(self.rng.random_range(0..5_000_u32)) / 1_000.0,
            };
            let span = RequestedPause::from_seconds(seconds).span;
            if span > LONGEST_PAUSE {
                return Err(format!("a pause of {span} after {seconds} s were asked for"));
            }
            expected_end = expected_end.max(now + span);
            pauses.begin(now, &server, span);
            if self.rng.random_bool(0.3) {
                pauses.on_tick(now);
            }
            let left = pauses.left(now, &server);
            if left != expected_end.since(now) {
                return Err(format!("{left} left of a pause until {expected_end}, at {now}"));
            }
        }
        Ok(())
    }

    /// Checks that the older copy of a restored store replaces what is known of a server only if the
    /// server has not written its entry again in time.
    fn check_older_copy(&mut self) -> CaseResult {
        let entry_with = |slots| ServerEntry { slots, ..server_entry(ServerState::Ready) };
        let mut list = ServerList::default();
        let mut now = Millis(self.rng.random_range(1_000..9_000));
        list.on_change(now, ServerChange::Put(entry_with(9)));
        let restored_at = now;
        list.on_store_restored(now);
        let id = entry_with(9).id;
        let lacks_server = self.rng.random_bool(0.3);
        list.on_older_copy(
            now,
            if lacks_server {
                ServerChange::Gone(id.clone())
            } else {
                ServerChange::Put(entry_with(8))
            },
        );
        let mut expected = Some(9);
        let mut is_written = false;
        for _ in 0..10 {
            now = now + Millis(self.rng.random_range(1..500));
            if self.rng.random_bool(0.1) {
                list.on_change(now, ServerChange::Put(entry_with(10)));
                is_written = true;
            }
            list.on_tick(now);
            let is_over = now.since(restored_at) >= LAPSE_GRACE;
            expected = match (is_written, is_over, lacks_server) {
                (true, _, _) => Some(10),
                (false, false, _) => expected,
                (false, true, true) => None,
                (false, true, false) => Some(8),
            };
            let slots = list.get(&id).map(|e| e.slots);
            if slots != expected {
                return Err(format!("the entry has slots {slots:?}, expected: {expected:?}"));
            }
        }
        Ok(())
    }
}

fn event_bytes(id: u64) -> Vec<u8> {
    format!("id: {id}\ndata: token {id}\n\n").into_bytes()
}

fn server_address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1_000 + u16::try_from(index).unwrap_or(0))
}

fn chain_stage(index: usize, from: u16, to: u16) -> ChainStage {
    let server = ServerName::new(&format!("s-{index}"));
    let domain = DomainName::new("a");
    ChainStage { server, address: server_address(index), domain, layers: LayerRange::new(from, to) }
}

fn server_entry(state: ServerState) -> ServerEntry {
    ServerEntry {
        id: ServerName::new("s-0"),
        service: ServiceName::new("plain"),
        address: server_address(0),
        domain: DomainName::new("north"),
        state,
        slots: 8,
        born: None,
        engine: None,
    }
}
