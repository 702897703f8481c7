//! All engines of one process, driven by a heap of timed events.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;
use tokio::sync::mpsc;
use yuccanotch_core::engine::prefix_hashes;
use yuccanotch_core::engine::EngineFault;
use yuccanotch_core::engine::ErrorFrame;
use yuccanotch_core::engine::Holding;
use yuccanotch_core::engine::RunRequest;
use yuccanotch_core::engine::PREFIX_BLOCK_WORDS;
use yuccanotch_core::ids::Attempt;
use yuccanotch_core::ids::RequestId;
use yuccanotch_core::name::ServerName;

use crate::engine::links::Links;
use crate::engine::run::error_frame;
use crate::engine::run::Run;
use crate::engine::run::Stage;
use crate::engine::server::Engine;
use crate::engine::server::KvEntry;
use crate::engine::server::RunKey;
use crate::http::Part;
use crate::record::prompt_hash;
use crate::record::RunEnd;
use crate::record::RunRecord;
use crate::settings::StandinSettings;

/// Text in a prompt that crashes the engine that runs it; see [`crash_stage`].
pub const CRASH_MARK: &str = "[crash";
const CUT_LINK_RETRY_US: u64 = 20_000;
/// Words whose prefill takes as long as importing the KV cache of any prompt.
const KV_IMPORT_WORDS: u32 = 4;
const MAX_LINKS_REPORTED: usize = 32;

/// Returns the stage that a marked prompt crashes: `[crash]` the first one, `[crash:N]` stage N.
pub(crate) fn crash_stage(prompt: &str) -> Option<usize> {
    let rest = &prompt[prompt.find(CRASH_MARK)? + CRASH_MARK.len()..];
    let digits: String =
        rest.trim_start_matches(':').chars().take_while(char::is_ascii_digit).collect();
    Some(digits.parse().unwrap_or(0))
}

/// What happens at a set time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Event {
    StepEnds { engine: usize, boot: u64 },
    Arrives { run: RunKey, stage: usize },
    TokenArrives { run: RunKey },
    LinkRetry { from: usize, to: usize, event: Box<Event> },
    StageLost { run: RunKey, server: ServerName },
    Deadline { run: RunKey },
    Restarts { engine: usize, boot: u64 },
    Report { engine: usize },
    Loaded { engine: usize, number: u64, holding: usize },
}

/// Change of a port that the driver has to carry out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PortChange {
    /// The engine went down.
    Close,
    /// The engine is up again.
    Reopen,
}

/// Engines, runs and what they did.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) engines: Vec<Engine>,
    pub(crate) links: Links,
    pub(crate) port_changes: Vec<(usize, PortChange)>,
    pub(crate) records: Vec<RunRecord>,
    pub(crate) tokens: u64,
    pub(crate) crashes: u64,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) weights_free_us: u64,
    pub(crate) settings: StandinSettings,
    pub(super) loads: Vec<Holding>,
    index: HashMap<ServerName, usize>,
    pub(super) runs: HashMap<RunKey, Run>,
    runs_by_request: HashMap<RequestId, SmallVec<[RunKey; 2]>>,
    waiting: Vec<RunKey>,
    heap: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    ready_sequence: u64,
}

impl World {
    /// Creates the engines, in the order of the settings.
    pub(crate) fn new(settings: &StandinSettings) -> Self {
        let engines: Vec<Engine> = settings.engines.iter().cloned().map(Engine::new).collect();
        let names = engines.iter().enumerate();
        let index = names.map(|(i, engine)| (engine.settings.name.clone(), i)).collect();
        let mut world = Self {
            engines,
            links: Links::new(settings.links.clone()),
            port_changes: Vec::new(),
            records: Vec::new(),
            tokens: 0,
            crashes: 0,
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            weights_free_us: 0,
            settings: settings.clone(),
            loads: Vec::new(),
            index,
            runs: HashMap::new(),
            runs_by_request: HashMap::new(),
            waiting: Vec::new(),
            heap: BinaryHeap::new(),
            sequence: 0,
            ready_sequence: 0,
        };
        for engine in 0..world.engines.len() {
            world.report(0, engine);
        }
        world
    }

    /// Returns the index of an engine.
    pub(crate) fn engine(&self, name: &str) -> Option<usize> {
        self.index.get(name).copied()
    }

    /// Returns when the next event is due.
    pub(crate) fn next_due_us(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse((at, _, _))| *at)
    }

    /// Carries out all events that are due.
    pub(crate) fn advance(&mut self, now_us: u64) {
        while self.next_due_us().is_some_and(|at| at <= now_us) {
            let Some(Reverse((at, _, event))) = self.heap.pop() else { return };
            self.on_event(at, event);
        }
    }

    pub(super) fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse((at_us, self.sequence, event)));
    }

    fn on_event(&mut self, now: u64, event: Event) {
        match event {
            Event::StepEnds { engine, boot } => self.end_step(now, engine, boot),
            Event::Arrives { run, stage } => self.make_ready(now, run, stage),
            Event::TokenArrives { run } => self.emit(now, run),
            Event::LinkRetry { from, to, event } => self.pass_on(now, from, to, *event),
            Event::StageLost { run, server } => {
                self.fail(now, run, EngineFault::StageLost, &server, RunEnd::Crashed);
            }
            Event::Deadline { run } => self.expire(now, run),
            Event::Restarts { engine, boot } => self.restart(now, engine, boot),
            Event::Report { engine } => self.report(now, engine),
            Event::Loaded { engine, number, holding } => self.loaded(engine, number, holding),
        }
    }

    /// Starts a run at the engine `first`, or queues it.
    ///
    /// # Errors
    ///
    /// Returns a status and an error frame when nothing was run.
    pub(crate) fn start(
        &mut self,
        now: u64,
        first: usize,
        req: RunRequest,
        tx: mpsc::UnboundedSender<Part>,
    ) -> Result<RunKey, (u16, ErrorFrame)> {
        let own = self.engines[first].settings.name.clone();
        let refuse = |status, fault, server| Err((status, error_frame(&req, fault, server)));
        if req.chain.first().map(|hop| &hop.server) != Some(&own) || !self.tiles(&req) {
            return refuse(400, EngineFault::Invalid, &own);
        }
        let mut stages = SmallVec::<[Stage; 4]>::new();
        let mut lost = None;
        let mut full = false;
        for hop in &req.chain {
            let Some(i) = self.engine(hop.server.as_str()) else {
                return refuse(409, EngineFault::NotLoaded, &hop.server);
            };
            let engine = &self.engines[i];
            if !engine.up {
                lost = lost.or(Some(hop.server.clone()));
                continue;
            }
            if engine.leaving {
                return refuse(503, EngineFault::Leaving, &hop.server);
            }
            if !engine.holds(&req.model, &req.version, hop.layers, req.adapter.as_deref()) {
                return refuse(409, EngineFault::NotLoaded, &hop.server);
            }
            let behavior = &engine.settings.behavior;
            let no_slot = engine.running >= behavior.slots;
            if now < engine.full_until_us || (no_slot && engine.waiting >= behavior.queue) {
                return refuse(429, EngineFault::Full, &hop.server);
            }
            full |= no_slot;
            let version = req.version.clone();
            stages.push(Stage { engine: i, layers: hop.layers, version, prefill_words: 0 });
        }
        let key = self.sequence;
        let deadline = now + req.deadline_ms.0.saturating_mul(1000);
        self.records.push(record_of(&req, now));
        let mut run = Run::new(req, stages, tx, self.records.len() - 1);
        run.crashes_stage = crash_stage(&run.req.prompt).map(|n| n % run.req.chain.len());
        for stage in &run.stages {
            self.engines[stage.engine].waiting += 1;
        }
        self.runs_by_request.entry(run.req.request).or_default().push(key);
        self.runs.insert(key, run);
        self.schedule(deadline, Event::Deadline { run: key });
        if let Some(server) = lost {
            let detect_ms = self.engines[first].settings.behavior.stage_lost_ms;
            self.schedule(now + detect_ms * 1000, Event::StageLost { run: key, server });
        } else if full || !self.waiting.is_empty() {
            self.waiting.push(key);
            self.start_waiting(now);
        } else {
            self.begin(now, key);
        }
        Ok(key)
    }

    /// Returns whether a chain runs each layer once and in order.
    fn tiles(&self, req: &RunRequest) -> bool {
        let mut next = 0;
        for hop in &req.chain {
            if hop.layers.is_empty() || hop.layers.first != next {
                return false;
            }
            next = hop.layers.end;
        }
        self.settings.models.get(&req.model).is_none_or(|model| model.layers == next)
    }

    fn start_waiting(&mut self, now: u64) {
        let mut waiting = std::mem::take(&mut self.waiting);
        let priority = |world: &Self, key: &RunKey| world.runs.get(key).map(|r| r.req.priority);
        waiting.retain(|key| self.runs.contains_key(key));
        waiting.sort_by_key(|key| Reverse(priority(self, key)));
        let mut still = Vec::new();
        for key in waiting {
            if self.has_slots(key) {
                self.begin(now, key);
            } else {
                still.push(key);
            }
        }
        still.append(&mut self.waiting);
        self.waiting = still;
    }

    fn has_slots(&self, key: RunKey) -> bool {
        let Some(run) = self.runs.get(&key) else { return false };
        run.stages.iter().all(|stage| {
            let engine = &self.engines[stage.engine];
            engine.up && engine.running < engine.settings.behavior.slots
        })
    }

    fn begin(&mut self, now: u64, key: RunKey) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        run.started = true;
        let prefixes = prefix_hashes(&run.req.prompt);
        let released = u32::try_from(run.req.released.len()).unwrap_or(u32::MAX);
        let mut cached_tokens = u32::MAX;
        for stage in &mut run.stages {
            let engine = &mut self.engines[stage.engine];
            engine.waiting -= 1;
            engine.running += 1;
            let held = engine.cache.held(&prefixes) * PREFIX_BLOCK_WORDS;
            let held = u32::try_from(held).unwrap_or(u32::MAX);
            cached_tokens = cached_tokens.min(held);
            stage.prefill_words = run.prompt_tokens.saturating_sub(held) + released;
        }
        run.cached_tokens = cached_tokens.min(run.prompt_tokens);
        if run.is_whole() {
            run.emit_end();
            return self.end(now, key, RunEnd::Whole);
        }
        self.import_kv(key);
        self.make_ready(now, key, 0);
    }

    fn import_kv(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(&key) else { return };
        let req = &run.req;
        let importable: SmallVec<[bool; 4]> = run
            .stages
            .iter()
            .map(|stage| {
                let mut from = req.kv_from.iter().filter_map(|name| self.engine(name.as_str()));
                from.any(|i| {
                    let layers = stage.layers;
                    self.engines[i].exports(req.request, &req.model, &req.version, layers)
                })
            })
            .collect();
        let Some(run) = self.runs.get_mut(&key) else { return };
        for (stage, importable) in run.stages.iter_mut().zip(importable) {
            if importable {
                stage.prefill_words = stage.prefill_words.min(KV_IMPORT_WORDS);
            }
        }
    }

    fn make_ready(&mut self, now: u64, key: RunKey, stage: usize) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        run.at_stage = stage;
        let engine = run.stages[stage].engine;
        let priority = run.req.priority;
        self.ready_sequence += 1;
        self.engines[engine].ready.push((priority, Reverse(self.ready_sequence), key));
        self.begin_step(now, engine);
    }

    fn begin_step(&mut self, now: u64, i: usize) {
        let engine = &mut self.engines[i];
        if !engine.up || !engine.batch.is_empty() {
            return;
        }
        let mut prefill_words = 0;
        while engine.batch.len() < engine.settings.behavior.slots as usize {
            let Some((_, _, key)) = engine.ready.pop() else { break };
            let Some(run) = self.runs.get(&key) else { continue };
            if run.prefill {
                prefill_words += u64::from(run.stages[run.at_stage].prefill_words);
            }
            engine.batch.push(key);
        }
        if engine.batch.is_empty() {
            return;
        }
        let begin = now.max(engine.stalled_until_us);
        let ends = begin + engine.step_us(now, engine.batch.len() as u64, prefill_words);
        let boot = engine.boot;
        self.schedule(ends, Event::StepEnds { engine: i, boot });
    }

    fn end_step(&mut self, now: u64, i: usize, boot: u64) {
        let engine = &mut self.engines[i];
        if engine.boot != boot || !engine.up {
            return;
        }
        if now < engine.stalled_until_us {
            let at = engine.stalled_until_us;
            self.schedule(at, Event::StepEnds { engine: i, boot });
            return;
        }
        for key in std::mem::take(&mut engine.batch) {
            if self.runs.contains_key(&key) && !self.end_stage(now, i, key) {
                return;
            }
        }
        self.begin_step(now, i);
    }

    /// Ends a stage of a run; returns whether the engine survived it.
    fn end_stage(&mut self, now: u64, i: usize, key: RunKey) -> bool {
        let Some(run) = self.runs.get_mut(&key) else { return true };
        let stage = run.at_stage;
        if run.crashes_stage == Some(stage) {
            let restart_ms = self.engines[i].settings.behavior.restart_ms;
            self.crash(now, i, restart_ms);
            return false;
        }
        let engine = &mut self.engines[i];
        run.run_stage(stage, &engine.settings.name, now < engine.skip_layer_until_us);
        if run.prefill {
            let loss = f64::from(engine.settings.behavior.cache_event_loss_percent) / 100.0;
            let prefixes = prefix_hashes(&run.req.prompt);
            let rng = &mut self.rng;
            engine.cache.insert(now, &prefixes, || rng.random_bool(loss));
        }
        let next = (stage + 1) % run.stages.len();
        let to = run.stages[next].engine;
        let event = if next == 0 {
            Event::TokenArrives { run: key }
        } else {
            Event::Arrives { run: key, stage: next }
        };
        self.pass_on(now, i, to, event);
        true
    }

    fn pass_on(&mut self, now: u64, from: usize, to: usize, event: Event) {
        let a = &self.engines[from].settings;
        let b = &self.engines[to].settings;
        match self.links.delay_us(now, (&a.name, &a.domain), (&b.name, &b.domain)) {
            Some(us) => self.schedule(now + u64::from(us), event),
            None => {
                let event = Box::new(event);
                self.schedule(now + CUT_LINK_RETRY_US, Event::LinkRetry { from, to, event });
            }
        }
    }

    fn emit(&mut self, now: u64, key: RunKey) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        let first = run.stages[0].engine;
        let engine = &self.engines[first];
        if now < engine.stalled_until_us {
            let at = engine.stalled_until_us;
            self.schedule(at, Event::TokenArrives { run: key });
            return;
        }
        if run.tx.is_closed() {
            self.end(now, key, RunEnd::Cancelled);
            return;
        }
        let frame = run.emit_token();
        self.tokens += 1;
        self.records[run.record].tokens += 1;
        if run.is_whole() {
            run.emit_end();
            self.end(now, key, RunEnd::Whole);
        } else {
            self.make_ready(now, key, 0);
        }
        if now < self.engines[first].cross_until_us {
            let others = self.runs.iter().filter(|(k, r)| **k != key && r.starts_at(first));
            if let Some((_, other)) = others.min_by_key(|(k, _)| **k) {
                other.send(&frame);
            }
        }
    }

    fn expire(&mut self, now: u64, key: RunKey) {
        let Some(run) = self.runs.get(&key) else { return };
        let server = run.req.chain[0].server.clone();
        self.fail(now, key, EngineFault::DeadlineExceeded, &server, RunEnd::DeadlineExceeded);
    }

    fn fail(
        &mut self,
        now: u64,
        key: RunKey,
        fault: EngineFault,
        server: &ServerName,
        end: RunEnd,
    ) {
        if let Some(run) = self.runs.get(&key) {
            run.emit_error(fault, server);
            self.end(now, key, end);
        }
    }

    /// Removes a run; its stream is cut unless it was ended before.
    pub(super) fn end(&mut self, now: u64, key: RunKey, end: RunEnd) {
        let Some(run) = self.runs.remove(&key) else { return };
        self.records[run.record].end = end;
        if let Some(keys) = self.runs_by_request.get_mut(&run.req.request) {
            keys.retain(|k| *k != key);
            if keys.is_empty() {
                self.runs_by_request.remove(&run.req.request);
            }
        }
        for stage in &run.stages {
            let engine = &mut self.engines[stage.engine];
            if !run.started {
                engine.waiting -= 1;
                continue;
            }
            engine.running -= 1;
            let kv_exists = engine.up && run.count() > 0 && end != RunEnd::Whole;
            if kv_exists {
                engine.keep_kv(KvEntry {
                    request: run.req.request,
                    model: run.req.model.clone(),
                    version: stage.version.clone(),
                    layers: stage.layers,
                });
            }
        }
        if !self.waiting.is_empty() {
            self.start_waiting(now);
        }
    }

    /// Cancels the runs of a request up to an attempt.
    pub(crate) fn cancel(&mut self, now: u64, request: RequestId, attempt: Attempt) {
        let keys = self.runs_by_request.get(&request).cloned().unwrap_or_default();
        for key in keys {
            let Some(run) = self.runs.get(&key) else { continue };
            if run.req.attempt <= attempt {
                let server = run.req.chain[0].server.clone();
                self.fail(now, key, EngineFault::Cancelled, &server, RunEnd::Cancelled);
            }
        }
    }

    fn report(&mut self, now: u64, i: usize) {
        if self.engines[i].up {
            self.take_report(now, i);
        }
        let every_us = self.engines[i].settings.behavior.report_every_ms * 1000;
        self.schedule(now + every_us, Event::Report { engine: i });
    }

    pub(super) fn take_report(&mut self, now: u64, i: usize) {
        let own = &self.engines[i].settings;
        let mut links = Vec::new();
        for other in self.engines.iter().filter(|other| other.settings.model == own.model) {
            let other = &other.settings;
            if other.name == own.name || links.len() >= MAX_LINKS_REPORTED {
                continue;
            }
            let from = (&own.name, &own.domain);
            if let Some(us) = self.links.delay_us(now, from, (&other.name, &other.domain)) {
                links.push((other.name.clone(), us));
            }
        }
        self.engines[i].take_report(now, links);
    }
}

fn record_of(req: &RunRequest, now: u64) -> RunRecord {
    RunRecord {
        request: req.request,
        attempt: req.attempt,
        model: req.model.clone(),
        version: req.version.clone(),
        prompt: prompt_hash(&req.prompt),
        chain: req.chain.iter().map(|hop| hop.server.clone()).collect(),
        released: u32::try_from(req.released.len()).unwrap_or(u32::MAX),
        tokens: 0,
        end: RunEnd::Open,
        started_us: now,
    }
}
