//! Faults injected into engines.

use crate::engine::event::Event;
use crate::engine::server::RunKey;
use crate::engine::simulation::PortChange;
use crate::engine::simulation::Simulation;
use crate::record::RunEnd;

impl Simulation {
    /// Crashes an engine and schedules its restart after `restart_ms`; no effect if it is down.
    pub(crate) fn crash(&mut self, now: u64, i: usize, restart_ms: u64) {
        if !self.engines[i].is_up {
            return;
        }
        self.crashes += 1;
        self.engines[i].crash();
        self.port_changes.push((i, PortChange::Close));
        let server = self.engines[i].settings.name.clone();
        let affected: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.stages.iter().any(|stage| stage.engine == i))
            .map(|(key, _)| *key)
            .collect();
        for key in affected {
            let Some(run) = self.runs.get(&key) else { continue };
            if run.starts_at(i) {
                self.end_run(now, key, RunEnd::Crashed);
                continue;
            }
            let first = run.stages[0].engine;
            let detect_ms = self.engines[first].settings.behavior.stage_lost_ms;
            let event = Event::StageLost { run: key, server: server.clone() };
            self.schedule(now + detect_ms * 1000, event);
        }
        let boot = self.engines[i].boot;
        self.schedule(now + restart_ms * 1000, Event::EngineRestarts { engine: i, boot });
    }

    pub(super) fn restart(&mut self, now: u64, i: usize, boot: u64) {
        let engine = &mut self.engines[i];
        if engine.boot != boot || engine.is_up {
            return;
        }
        engine.is_up = true;
        self.port_changes.push((i, PortChange::Reopen));
        self.update_report(now, i);
    }

    /// Ends all faults; crashed engines restart at once.
    pub(crate) fn heal(&mut self, now: u64) {
        self.links.clear();
        for i in 0..self.engines.len() {
            let engine = &mut self.engines[i];
            engine.stalled_until_us = 0;
            engine.slow_until_us = 0;
            engine.skip_layer_until_us = 0;
            engine.cross_frames_until_us = 0;
            engine.full_until_us = 0;
            let boot = engine.boot;
            self.restart(now, i, boot);
        }
    }

    /// Stalls an engine until `until_us`.
    pub(crate) fn stall(&mut self, i: usize, until_us: u64) {
        self.engines[i].stalled_until_us = until_us;
    }
}
