//! Ends of runs: cancelled, failed or complete.

use yuccanotch_core::engine::EngineFault;
use yuccanotch_core::ids::Attempt;
use yuccanotch_core::ids::RequestId;
use yuccanotch_core::name::ServerName;

use crate::engine::server::KvEntry;
use crate::engine::server::RunKey;
use crate::engine::simulation::Simulation;
use crate::record::RunEnd;

impl Simulation {
    /// Ends a run whose deadline has passed.
    pub(super) fn fail_at_deadline(&mut self, now: u64, key: RunKey) {
        let Some(run) = self.runs.get(&key) else { return };
        let server = run.req.chain[0].server.clone();
        self.fail_run(now, key, EngineFault::DeadlineExceeded, &server, RunEnd::DeadlineExceeded);
    }

    /// Sends an error frame and ends the run.
    pub(super) fn fail_run(
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
}
