//! Steps of the engines and the way of a run over the stages of its chain.

use std::cmp::Reverse;

use rand::Rng;
use yuccanotch_core::engine::prefix_hashes;

use crate::engine::event::Event;
use crate::engine::server::RunKey;
use crate::engine::simulation::Simulation;
use crate::record::RunEnd;

/// The time between two attempts to send over a cut link.
const CUT_LINK_RETRY_US: u64 = 20_000;

impl Simulation {
    /// Adds a run to the ready queue of one of its stages.
    pub(super) fn enqueue_stage(&mut self, now: u64, key: RunKey, stage: usize) {
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

    /// Ends a step of an engine and begins the next one.
    pub(super) fn end_step(&mut self, now: u64, i: usize, boot: u64) {
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

    /// Delivers an event after the delay of a link; tries again later if the link is cut.
    pub(super) fn send_over_link(&mut self, now: u64, from: usize, to: usize, event: Event) {
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

    /// Sends the next token of a run to its caller.
    pub(super) fn deliver_token(&mut self, now: u64, key: RunKey) {
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
}
