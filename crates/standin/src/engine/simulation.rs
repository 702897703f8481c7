//! Discrete-event simulation of all engines in a process; all times are in microseconds.

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
use crate::http::StreamPart;
use crate::record::prompt_hash;
use crate::record::RunEnd;
use crate::record::RunRecord;
use crate::settings::StandinSettings;

/// Marks a prompt that crashes an engine: `[crash]` the first stage, `[crash:N]` stage N from 0.
pub const CRASH_MARK: &str = "[crash";
/// The time between two attempts to send over a cut link.
const CUT_LINK_RETRY_US: u64 = 20_000;
/// The number of words whose prefill takes as long as the import of a KV cache of any size.
const KV_IMPORT_PREFILL_WORDS: u32 = 4;
const MAX_LINKS_REPORTED: usize = 32;

/// Returns the stage that a prompt with [`CRASH_MARK`] crashes, counted from 0.
pub(crate) fn crash_stage(prompt: &str) -> Option<usize> {
    let rest = &prompt[prompt.find(CRASH_MARK)? + CRASH_MARK.len()..];
    let digits: String =
        rest.trim_start_matches(':').chars().take_while(char::is_ascii_digit).collect();
    Some(digits.parse().unwrap_or(0))
}

/// An event that is due at a certain time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Event {
    StepEnds { engine: usize, boot: u64 },
    ActivationArrives { run: RunKey, stage: usize },
    TokenArrives { run: RunKey },
    LinkRetry { from: usize, to: usize, event: Box<Event> },
    StageLost { run: RunKey, server: ServerName },
    Deadline { run: RunKey },
    EngineRestarts { engine: usize, boot: u64 },
    ReportDue { engine: usize },
    LoadEnds { engine: usize, number: u64, holding: usize },
}

/// A change to a port that the driver has to apply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PortChange {
    /// The engine crashed; its port refuses connections.
    Close,
    /// The engine runs again; its port accepts connections.
    Reopen,
}

/// The engines, their runs and the records of what they executed.
#[derive(Debug)]
pub(crate) struct Simulation {
    pub(crate) engines: Vec<Engine>,
    pub(crate) links: Links,
    pub(crate) port_changes: Vec<(usize, PortChange)>,
    pub(crate) records: Vec<RunRecord>,
    pub(crate) tokens: u64,
    pub(crate) crashes: u64,
    pub(crate) rng: Pcg64Mcg,
    /// The time at which the weight store has finished all loads so far.
    pub(crate) weight_store_free_us: u64,
    pub(crate) settings: StandinSettings,
    /// What each load is to make an engine hold; [`Event::LoadEnds`] has the index.
    pub(super) load_targets: Vec<Holding>,
    engine_index: HashMap<ServerName, usize>,
    pub(super) runs: HashMap<RunKey, Run>,
    runs_by_request: HashMap<RequestId, SmallVec<[RunKey; 2]>>,
    waiting: Vec<RunKey>,
    /// The due time, sequence number and content of each future event, earliest first.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_sequence: u64,
    ready_sequence: u64,
}

impl Simulation {
    /// Creates the engines, in the order of the settings.
    pub(crate) fn new(settings: &StandinSettings) -> Self {
        let engines: Vec<Engine> = settings.engines.iter().cloned().map(Engine::new).collect();
        let names = engines.iter().enumerate();
        let engine_index = names.map(|(i, engine)| (engine.settings.name.clone(), i)).collect();
        let mut simulation = Self {
            engines,
            links: Links::new(settings.links.clone()),
            port_changes: Vec::new(),
            records: Vec::new(),
            tokens: 0,
            crashes: 0,
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            weight_store_free_us: 0,
            settings: settings.clone(),
            load_targets: Vec::new(),
            engine_index,
            runs: HashMap::new(),
            runs_by_request: HashMap::new(),
            waiting: Vec::new(),
            events: BinaryHeap::new(),
            event_sequence: 0,
            ready_sequence: 0,
        };
        for engine in 0..simulation.engines.len() {
            simulation.report_periodically(0, engine);
        }
        simulation
    }

    /// Returns the index of an engine.
    pub(crate) fn engine(&self, name: &str) -> Option<usize> {
        self.engine_index.get(name).copied()
    }

    /// Returns the time at which the next event is due.
    pub(crate) fn next_due_us(&self) -> Option<u64> {
        self.events.peek().map(|Reverse((at, _, _))| *at)
    }

    /// Handles all events that are due by `now_us`.
    pub(crate) fn advance(&mut self, now_us: u64) {
        while self.next_due_us().is_some_and(|at| at <= now_us) {
            let Some(Reverse((at, _, event))) = self.events.pop() else { return };
            self.handle_event(at, event);
        }
    }

    pub(super) fn schedule(&mut self, at_us: u64, event: Event) {
        self.event_sequence += 1;
        self.events.push(Reverse((at_us, self.event_sequence, event)));
    }

    fn handle_event(&mut self, now: u64, event: Event) {
        match event {
            Event::StepEnds { engine, boot } => self.end_step(now, engine, boot),
            Event::ActivationArrives { run, stage } => self.enqueue_stage(now, run, stage),
            Event::TokenArrives { run } => self.deliver_token(now, run),
            Event::LinkRetry { from, to, event } => self.send_over_link(now, from, to, *event),
            Event::StageLost { run, server } => {
                self.fail_run(now, run, EngineFault::StageLost, &server, RunEnd::Crashed);
            }
            Event::Deadline { run } => self.fail_at_deadline(now, run),
            Event::EngineRestarts { engine, boot } => self.restart(now, engine, boot),
            Event::ReportDue { engine } => self.report_periodically(now, engine),
            Event::LoadEnds { engine, number, holding } => {
                self.finish_load(engine, number, holding)
            }
        }
    }

    /// Starts a run whose first stage is the engine `first`, or queues it until it has all its
    /// slots.
    ///
    /// # Errors
    ///
    /// Returns an HTTP status and an error frame when the run is refused; no layer was executed
    /// then.
    pub(crate) fn start_run(
        &mut self,
        now: u64,
        first: usize,
        req: RunRequest,
        tx: mpsc::UnboundedSender<StreamPart>,
    ) -> Result<RunKey, (u16, ErrorFrame)> {
        let first_server = self.engines[first].settings.name.clone();
        let refuse = |status, fault, server| Err((status, error_frame(&req, fault, server)));
        if req.chain.first().map(|hop| &hop.server) != Some(&first_server)
            || !self.covers_layers_in_order(&req)
        {
            return refuse(400, EngineFault::Invalid, &first_server);
        }
        let mut stages = SmallVec::<[Stage; 4]>::new();
        let mut down_server = None;
        let mut must_wait = false;
        for hop in &req.chain {
            let Some(i) = self.engine(hop.server.as_str()) else {
                return refuse(409, EngineFault::NotLoaded, &hop.server);
            };
            let engine = &self.engines[i];
            if !engine.is_up {
                down_server = down_server.or(Some(hop.server.clone()));
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
            must_wait |= no_slot;
            let version = req.version.clone();
            stages.push(Stage { engine: i, layers: hop.layers, version, prefill_words: 0 });
        }
        let key = self.event_sequence;
        let deadline = now + req.deadline_ms.0.saturating_mul(1000);
        self.records.push(new_record(&req, now));
        let mut run = Run::new(req, stages, tx, self.records.len() - 1);
        run.crash_at_stage = crash_stage(&run.req.prompt).map(|n| n % run.req.chain.len());
        for stage in &run.stages {
            self.engines[stage.engine].waiting += 1;
        }
        self.runs_by_request.entry(run.req.request).or_default().push(key);
        self.runs.insert(key, run);
        self.schedule(deadline, Event::Deadline { run: key });
        if let Some(server) = down_server {
            let detect_ms = self.engines[first].settings.behavior.stage_lost_ms;
            self.schedule(now + detect_ms * 1000, Event::StageLost { run: key, server });
        } else if must_wait || !self.waiting.is_empty() {
            self.waiting.push(key);
            self.start_waiting_runs(now);
        } else {
            self.begin_run(now, key);
        }
        Ok(key)
    }

    /// Returns whether the chain of a request covers each layer of the model once and in order.
    fn covers_layers_in_order(&self, req: &RunRequest) -> bool {
        let mut next = 0;
        for hop in &req.chain {
            if hop.layers.is_empty() || hop.layers.first != next {
                return false;
            }
            next = hop.layers.end;
        }
        self.settings.models.get(&req.model).is_none_or(|model| model.layers == next)
    }

    fn start_waiting_runs(&mut self, now: u64) {
        let mut waiting = std::mem::take(&mut self.waiting);
        let priority =
            |simulation: &Self, key: &RunKey| simulation.runs.get(key).map(|r| r.req.priority);
        waiting.retain(|key| self.runs.contains_key(key));
        waiting.sort_by_key(|key| Reverse(priority(self, key)));
        let mut still_waiting = Vec::new();
        for key in waiting {
            if self.has_slots(key) {
                self.begin_run(now, key);
            } else {
                still_waiting.push(key);
            }
        }
        still_waiting.append(&mut self.waiting);
        self.waiting = still_waiting;
    }

    fn has_slots(&self, key: RunKey) -> bool {
        let Some(run) = self.runs.get(&key) else { return false };
        run.stages.iter().all(|stage| {
            let engine = &self.engines[stage.engine];
            engine.is_up && engine.running < engine.settings.behavior.slots
        })
    }

    fn begin_run(&mut self, now: u64, key: RunKey) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        run.started = true;
        let prefixes = prefix_hashes(&run.req.prompt);
        let released = u32::try_from(run.req.released.len()).unwrap_or(u32::MAX);
        let mut cached_tokens = u32::MAX;
        for stage in &mut run.stages {
            let engine = &mut self.engines[stage.engine];
            engine.waiting -= 1;
            engine.running += 1;
            let held = engine.cache.held_count(&prefixes) * PREFIX_BLOCK_WORDS;
            let held = u32::try_from(held).unwrap_or(u32::MAX);
            cached_tokens = cached_tokens.min(held);
            stage.prefill_words = run.prompt_tokens.saturating_sub(held) + released;
        }
        run.cached_tokens = cached_tokens.min(run.prompt_tokens);
        if run.is_complete() {
            run.emit_end();
            return self.end_run(now, key, RunEnd::Whole);
        }
        self.import_kv(key);
        self.enqueue_stage(now, key, 0);
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
                    self.engines[i].can_export_kv(req.request, &req.model, &req.version, layers)
                })
            })
            .collect();
        let Some(run) = self.runs.get_mut(&key) else { return };
        for (stage, importable) in run.stages.iter_mut().zip(importable) {
            if importable {
                stage.prefill_words = stage.prefill_words.min(KV_IMPORT_PREFILL_WORDS);
            }
        }
    }

    fn enqueue_stage(&mut self, now: u64, key: RunKey, stage: usize) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        run.current_stage = stage;
        let engine = run.stages[stage].engine;
        let priority = run.req.priority;
        self.ready_sequence += 1;
        self.engines[engine].ready.push((priority, Reverse(self.ready_sequence), key));
        self.begin_step(now, engine);
    }

    fn begin_step(&mut self, now: u64, i: usize) {
        let engine = &mut self.engines[i];
        if !engine.is_up || !engine.batch.is_empty() {
            return;
        }
        let mut prefill_words = 0;
        while engine.batch.len() < engine.settings.behavior.slots as usize {
            let Some((_, _, key)) = engine.ready.pop() else { break };
            let Some(run) = self.runs.get(&key) else { continue };
            if run.prefill {
                prefill_words += u64::from(run.stages[run.current_stage].prefill_words);
            }
            engine.batch.push(key);
        }
        if engine.batch.is_empty() {
            return;
        }
        let begins = now.max(engine.stalled_until_us);
        let ends = begins + engine.step_us(now, engine.batch.len() as u64, prefill_words);
        let boot = engine.boot;
        self.schedule(ends, Event::StepEnds { engine: i, boot });
    }

    fn end_step(&mut self, now: u64, i: usize, boot: u64) {
        let engine = &mut self.engines[i];
        if engine.boot != boot || !engine.is_up {
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

    /// Ends a stage of a run; returns `false` if the run crashed the engine.
    fn end_stage(&mut self, now: u64, i: usize, key: RunKey) -> bool {
        let Some(run) = self.runs.get_mut(&key) else { return true };
        let stage = run.current_stage;
        if run.crash_at_stage == Some(stage) {
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
            Event::ActivationArrives { run: key, stage: next }
        };
        self.send_over_link(now, i, to, event);
        true
    }

    fn send_over_link(&mut self, now: u64, from: usize, to: usize, event: Event) {
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

    fn deliver_token(&mut self, now: u64, key: RunKey) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        let first = run.stages[0].engine;
        let engine = &self.engines[first];
        if now < engine.stalled_until_us {
            let at = engine.stalled_until_us;
            self.schedule(at, Event::TokenArrives { run: key });
            return;
        }
        if run.tx.is_closed() {
            self.end_run(now, key, RunEnd::Cancelled);
            return;
        }
        let frame = run.emit_token();
        self.tokens += 1;
        self.records[run.record_index].tokens += 1;
        if run.is_complete() {
            run.emit_end();
            self.end_run(now, key, RunEnd::Whole);
        } else {
            self.enqueue_stage(now, key, 0);
        }
        if now < self.engines[first].cross_frames_until_us {
            let others = self.runs.iter().filter(|(k, r)| **k != key && r.starts_at(first));
            if let Some((_, other)) = others.min_by_key(|(k, _)| **k) {
                other.send(&frame);
            }
        }
    }

    fn fail_at_deadline(&mut self, now: u64, key: RunKey) {
        let Some(run) = self.runs.get(&key) else { return };
        let server = run.req.chain[0].server.clone();
        self.fail_run(now, key, EngineFault::DeadlineExceeded, &server, RunEnd::DeadlineExceeded);
    }

    fn fail_run(
        &mut self,
        now: u64,
        key: RunKey,
        fault: EngineFault,
        server: &ServerName,
        end: RunEnd,
    ) {
        if let Some(run) = self.runs.get(&key) {
            run.emit_error(fault, server);
            self.end_run(now, key, end);
        }
    }

    /// Removes a run and frees its slots; its stream is cut unless its last frame was sent before.
    pub(super) fn end_run(&mut self, now: u64, key: RunKey, end: RunEnd) {
        let Some(run) = self.runs.remove(&key) else { return };
        self.records[run.record_index].end = end;
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
            let has_kv = engine.is_up && run.count() > 0 && end != RunEnd::Whole;
            if has_kv {
                engine.keep_kv(KvEntry {
                    request: run.req.request,
                    model: run.req.model.clone(),
                    version: stage.version.clone(),
                    layers: stage.layers,
                });
            }
        }
        if !self.waiting.is_empty() {
            self.start_waiting_runs(now);
        }
    }

    /// Cancels the runs of a request whose attempt is at most `attempt`.
    pub(crate) fn cancel_runs(&mut self, now: u64, request: RequestId, attempt: Attempt) {
        let keys = self.runs_by_request.get(&request).cloned().unwrap_or_default();
        for key in keys {
            let Some(run) = self.runs.get(&key) else { continue };
            if run.req.attempt <= attempt {
                let server = run.req.chain[0].server.clone();
                self.fail_run(now, key, EngineFault::Cancelled, &server, RunEnd::Cancelled);
            }
        }
    }

    fn report_periodically(&mut self, now: u64, i: usize) {
        if self.engines[i].is_up {
            self.update_report(now, i);
        }
        let every_us = self.engines[i].settings.behavior.report_every_ms * 1000;
        self.schedule(now + every_us, Event::ReportDue { engine: i });
    }

    pub(super) fn update_report(&mut self, now: u64, i: usize) {
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
        self.engines[i].update_report(now, links);
    }
}

fn new_record(req: &RunRequest, now: u64) -> RunRecord {
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
