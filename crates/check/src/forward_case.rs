//! Randomised case: one forwarded request over servers that fail in each way, its stream, the chain
//! that it takes and the list that its servers come from, against an independent record.

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
use yuccanotch_core::forward::routes::RepeatPolicy;
use yuccanotch_core::forward::servers::ServerChange;
use yuccanotch_core::forward::servers::ServerEntry;
use yuccanotch_core::forward::servers::ServerList;
use yuccanotch_core::forward::servers::ServerState;
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
const MOST_SENDS: usize = 24;
/// More than the time in which a lapsed entry may come back.
const LONG: Millis = Millis(60_000);

/// What really happened at the servers and at the caller.
#[derive(Debug, Default)]
struct Record {
    runs: usize,
    servers: BTreeSet<u8>,
    bytes: Vec<u8>,
    whole: bool,
}

struct World<'a> {
    rng: Pcg64Mcg,
    trace: &'a mut Trace,
    repeat: RepeatPolicy,
    most: u8,
    streams: bool,
    events: u64,
    record: Record,
}

/// Runs the case.
///
/// # Errors
///
/// Returns the invariant that was broken.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let repeats = [RepeatPolicy::Never, RepeatPolicy::Safe, RepeatPolicy::Resumable];
    let repeat = *repeats.choose(&mut rng).ok_or("there are ways of repeating")?;
    let streams = repeat == RepeatPolicy::Resumable
        || (repeat == RepeatPolicy::Never && rng.random_bool(0.5));
    let mut world = World {
        repeat,
        most: rng.random_range(1..=4),
        streams,
        events: rng.random_range(1..=8),
        rng,
        trace,
        record: Record::default(),
    };
    world.carry_out()?;
    world.check_chains()?;
    world.check_list()
}

impl World<'_> {
    fn carry_out(&mut self) -> CaseResult {
        let mut outcome = RequestState::new(self.repeat, self.most);
        let mut splitter = EventSplitter::new(None);
        for _ in 0..MOST_SENDS {
            let Some((server, receiver)) = self.choose(&outcome) else {
                return self.check_end(outcome.final_step(), None);
            };
            outcome.on_send(receiver);
            if outcome.final_step() == NextStep::Refuse {
                return Err("a request in flight is said not to run".to_owned());
            }
            let end = self.attempt(server, &mut outcome, &mut splitter);
            self.trace.add(format!("{server} {receiver:?}: {end:?}"));
            let Some(end) = end else {
                return self.check_whole();
            };
            let within_budget = self.rng.random_bool(0.9);
            let next =
                outcome.on_end(end, RetryConditions { within_budget, within_deadline: true });
            if next != NextStep::Retry {
                return self.check_end(next, Some(end));
            }
        }
        Err(format!("no end after {MOST_SENDS} sends"))
    }

    fn choose(&mut self, outcome: &RequestState) -> Option<(u8, AttemptTarget)> {
        let server = self.rng.random_range(0..SERVERS);
        if self.record.servers.contains(&server) {
            return Some((server, AttemptTarget::Tried));
        }
        if outcome.may_try_new_server() {
            return Some((server, AttemptTarget::Untried));
        }
        let known: Vec<u8> = self.record.servers.iter().copied().collect();
        Some((*known.choose(&mut self.rng)?, AttemptTarget::Tried))
    }

    /// Carries out an attempt; returns how it ended without the whole answer.
    fn attempt(
        &mut self,
        server: u8,
        outcome: &mut RequestState,
        splitter: &mut EventSplitter,
    ) -> Option<AttemptEnd> {
        match self.rng.random_range(0..100) {
            0..15 => return Some(AttemptEnd::NotSent),
            15..30 => {
                self.record.servers.insert(server);
                return Some(AttemptEnd::Declined);
            }
            _ => {}
        }
        self.record.servers.insert(server);
        self.record.runs += 1;
        match self.rng.random_range(0..100) {
            0..15 if !outcome.has_begun() => return Some(AttemptEnd::Failed),
            15..30 => return Some(AttemptEnd::Silent),
            _ => {}
        }
        let cut = self.rng.random_bool(0.6);
        if !self.streams {
            self.record.whole = !cut;
            return cut.then_some(AttemptEnd::Broken);
        }
        self.relay(cut, outcome, splitter)
    }

    /// Relays a stream, which some servers begin again with events that the caller has.
    fn relay(
        &mut self,
        cut: bool,
        outcome: &mut RequestState,
        splitter: &mut EventSplitter,
    ) -> Option<AttemptEnd> {
        let after = splitter.last_event_id().unwrap_or(0);
        let first = if self.rng.random_bool(0.2) { 1 } else { after + 1 };
        let mut bytes: Vec<u8> = (first..=self.events).flat_map(event).collect();
        if cut {
            bytes.truncate(self.rng.random_range(0..=bytes.len()));
        }
        splitter.discard_partial_event();
        let chunk = self.rng.random_range(1..40);
        for data in bytes.chunks(chunk) {
            let Ok(whole) = splitter.push(data) else {
                return Some(AttemptEnd::Broken);
            };
            if whole.count > 0 {
                outcome.on_answer_begun();
                self.record.bytes.extend_from_slice(&whole.bytes);
            }
        }
        if cut || splitter.has_partial_event() {
            return Some(AttemptEnd::Broken);
        }
        self.record.whole = true;
        None
    }

    fn check_whole(&self) -> CaseResult {
        if self.streams && self.record.bytes != self.whole_stream() {
            return Err("a stream ended as complete and is not the whole stream once".to_owned());
        }
        self.check_bounds()
    }

    fn check_end(&self, next: NextStep, end: Option<AttemptEnd>) -> CaseResult {
        let record = &self.record;
        if next == NextStep::Refuse && record.runs > 0 {
            return Err(format!("told that it has not run after {} runs", record.runs));
        }
        if next != NextStep::BreakOff && !record.bytes.is_empty() {
            return Err(format!("{next:?} after a byte left"));
        }
        if next == NextStep::PassOn && end != Some(AttemptEnd::Failed) {
            return Err(format!("{end:?} is passed on as a server's failure"));
        }
        if !self.whole_stream().starts_with(&record.bytes) {
            return Err("the caller's bytes are not the beginning of the stream".to_owned());
        }
        self.check_bounds()
    }

    fn check_bounds(&self) -> CaseResult {
        let record = &self.record;
        if self.repeat == RepeatPolicy::Never && record.runs > 1 {
            return Err(format!("a request that runs once at most ran {} times", record.runs));
        }
        if record.servers.len() > usize::from(self.most) {
            return Err(format!("{} servers for a bound of {}", record.servers.len(), self.most));
        }
        Ok(())
    }

    fn whole_stream(&self) -> Vec<u8> {
        (1..=self.events).flat_map(event).collect()
    }

    /// Parts are taken as a chain exactly when they run each layer once and in order.
    fn check_chains(&mut self) -> CaseResult {
        let mut parts: SmallVec<[ChainStage; 12]> = SmallVec::new();
        let mut at = 0;
        while at < LAYERS {
            let to = (at + self.rng.random_range(1..=5)).min(LAYERS);
            let skipped = u16::from(self.rng.random_bool(0.1));
            parts.push(part(parts.len(), (at + skipped).min(to - 1), to));
            at = to;
        }
        let run: Vec<u16> = parts.iter().flat_map(|p| p.layers.from..p.layers.to).collect();
        let tiles = run.iter().copied().eq(0..LAYERS);
        if Chain::new(parts, LAYERS).is_ok() == tiles {
            Ok(())
        } else {
            Err(format!("layers {run:?} as a chain: {}", !tiles))
        }
    }

    /// An entry that lapsed is kept for a while after the store's return, a leaving one is not.
    fn check_list(&mut self) -> CaseResult {
        let mut list = ServerList::default();
        let mut now = Millis(self.rng.random_range(1_000..9_000));
        let leaving = self.rng.random_bool(0.5);
        let state = if leaving { ServerState::Leaving } else { ServerState::Ready };
        let entry = entry(state);
        list.on_change(now, ServerChange::Put(entry.clone()));
        let was_away = self.rng.random_bool(0.5);
        if was_away {
            list.on_store_recovered(now);
        }
        now = now + Millis(self.rng.random_range(1..500));
        list.on_change(now, ServerChange::Gone(entry.id.clone()));
        let kept = list.get(&entry.id).is_some();
        if kept != (was_away && !leaving) {
            return Err(format!("kept {kept}, store away {was_away}, leaving {leaving}"));
        }
        list.on_tick(now + LONG);
        match list.get(&entry.id) {
            None => Ok(()),
            Some(_) => Err("a lapsed entry is kept for ever".to_owned()),
        }
    }
}

fn event(id: u64) -> Vec<u8> {
    format!("id: {id}\ndata: token {id}\n\n").into_bytes()
}

fn address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1_000 + u16::try_from(index).unwrap_or(0))
}

fn part(index: usize, from: u16, to: u16) -> ChainStage {
    let server = ServerName::new(&format!("s-{index}"));
    ChainStage { server, address: address(index), layers: LayerRange::new(from, to) }
}

fn entry(state: ServerState) -> ServerEntry {
    ServerEntry {
        id: ServerName::new("s-0"),
        service: ServiceName::new("plain"),
        address: address(0),
        domain: DomainName::new("north"),
        state,
        slots: 8,
        born: None,
        engine: None,
    }
}
