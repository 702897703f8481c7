//! Start of runs: checks of the request, and the queue for slots on all stages.

use std::cmp::Reverse;

use smallvec::SmallVec;
use tokio::sync::mpsc;
use yuccanotch_core::engine::prefix_hashes;
use yuccanotch_core::engine::EngineFault;
use yuccanotch_core::engine::ErrorFrame;
use yuccanotch_core::engine::RunRequest;
use yuccanotch_core::engine::PREFIX_BLOCK_WORDS;
use yuccanotch_core::name::ServerName;

use crate::engine::crash_mark::crash_stage;
use crate::engine::event::Event;
use crate::engine::run::error_frame;
use crate::engine::run::Run;
use crate::engine::run::Stage;
use crate::engine::server::RunKey;
use crate::engine::simulation::Simulation;
use crate::http::StreamPart;
use crate::record::prompt_hash;
use crate::record::RunEnd;
use crate::record::RunRecord;

/// The number of words whose prefill takes as long as the import of a KV cache of any size.
const KV_IMPORT_PREFILL_WORDS: u32 = 4;

/// What is known of a run that no engine refuses.
#[derive(Debug, Default)]
struct Admission {
    /// The stages on engines that are up.
    stages: SmallVec<[Stage; 4]>,
    /// The first server of the chain that is down.
    down_server: Option<ServerName>,
    /// Whether an engine of the chain has no free slot.
    must_wait: bool,
}

/// The refusal of a run by a server of its chain.
#[derive(Debug)]
struct Refusal {
    /// The HTTP status.
    status: u16,
    fault: EngineFault,
    server: ServerName,
}

impl Refusal {
    fn new(status: u16, fault: EngineFault, server: &ServerName) -> Self {
        Self { status, fault, server: server.clone() }
    }
}

impl Simulation {
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
        let admission = self.admit(now, first, &req).map_err(|refusal| {
            (refusal.status, error_frame(&req, refusal.fault, &refusal.server))
        })?;
        let key = self.add_run(now, req, admission.stages, tx);
        if let Some(server) = admission.down_server {
            let detect_ms = self.engines[first].settings.behavior.stage_lost_ms;
            self.schedule(now + detect_ms * 1000, Event::StageLost { run: key, server });
        } else if admission.must_wait || !self.waiting.is_empty() {
            self.waiting.push(key);
            self.start_waiting_runs(now);
        } else {
            self.begin_run(now, key);
        }
        Ok(key)
    }

    /// Checks a run against the engines of its chain; engines that are down are passed over.
    fn admit(&self, now: u64, first: usize, req: &RunRequest) -> Result<Admission, Refusal> {
        let first_server = &self.engines[first].settings.name;
        if req.chain.first().map(|hop| &hop.server) != Some(first_server)
            || !self.covers_layers_in_order(req)
        {
            return Err(Refusal::new(400, EngineFault::Invalid, first_server));
        }
        let mut admission = Admission::default();
        for hop in &req.chain {
            let Some(i) = self.engine(hop.server.as_str()) else {
                return Err(Refusal::new(409, EngineFault::NotLoaded, &hop.server));
            };
            let engine = &self.engines[i];
            if !engine.is_up {
                admission.down_server.get_or_insert_with(|| hop.server.clone());
                continue;
            }
            if engine.leaving {
                return Err(Refusal::new(503, EngineFault::Leaving, &hop.server));
            }
            if !engine.holds(&req.model, &req.version, hop.layers, req.adapter.as_deref()) {
                return Err(Refusal::new(409, EngineFault::NotLoaded, &hop.server));
            }
            let behavior = &engine.settings.behavior;
            let no_slot = engine.running >= behavior.slots;
            if now < engine.full_until_us || (no_slot && engine.waiting >= behavior.queue) {
                return Err(Refusal::new(429, EngineFault::Full, &hop.server));
            }
            admission.must_wait |= no_slot;
            let version = req.version.clone();
            let stage = Stage { engine: i, layers: hop.layers, version, prefill_words: 0 };
            admission.stages.push(stage);
        }
        Ok(admission)
    }

    /// Adds a run that waits on all its stages, with its record and its deadline.
    fn add_run(
        &mut self,
        now: u64,
        req: RunRequest,
        stages: SmallVec<[Stage; 4]>,
        tx: mpsc::UnboundedSender<StreamPart>,
    ) -> RunKey {
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
        key
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

    /// Begins the waiting runs that have a slot on each stage, highest priority first.
    pub(super) fn start_waiting_runs(&mut self, now: u64) {
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
