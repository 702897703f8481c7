//! Discrete-event simulation of all engines in a process; all times are in microseconds.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;
use yuccanotch_core::engine::EngineFault;
use yuccanotch_core::engine::Holding;
use yuccanotch_core::ids::RequestId;
use yuccanotch_core::name::ServerName;

use crate::engine::event::Event;
use crate::engine::links::Links;
use crate::engine::run::Run;
use crate::engine::server::Engine;
use crate::engine::server::RunKey;
use crate::record::RunEnd;
use crate::record::RunRecord;
use crate::settings::StandinSettings;

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
    pub(super) runs_by_request: HashMap<RequestId, SmallVec<[RunKey; 2]>>,
    pub(super) waiting: Vec<RunKey>,
    /// The due time, sequence number and content of each future event, earliest first.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    pub(super) event_sequence: u64,
    pub(super) ready_sequence: u64,
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

    /// Schedules an event.
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
}
