//! Randomised case: publishing and adopting configurations under faults.
//!
//! Operators publish patches concurrently. The store loses calls and answers, is unavailable at
//! times, and may be restored from an old backup. Hosts restart, and peers send corrupted chunks.

mod convergence;
mod fetches;
mod hosts;
mod operators;

use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::adopter::Adopter;
use yuccanotch_core::config::chunk_gc::ChunkCollector;
use yuccanotch_core::config::document::Document;
use yuccanotch_core::config::manifest::PatchId;
use yuccanotch_core::config::publisher::ConfigChange;
use yuccanotch_core::config::store_call::Procedure;
use yuccanotch_core::config::store_call::Step;
use yuccanotch_core::config::store_call::StoreAnswer;
use yuccanotch_core::ids::ConfigNumber;
use yuccanotch_core::name::HostName;

use self::hosts::FakeHost;
use self::operators::Operator;
use crate::case::CaseResult;
use crate::config_store::FakeStore;
use crate::trace::Trace;

/// Number of random steps under faults.
const FAULTY_STEPS: usize = 400;

/// State of one run.
struct Simulation<'a> {
    rng: Pcg64Mcg,
    trace: &'a mut Trace,
    store: FakeStore,
    hosts: Vec<FakeHost>,
    operators: Vec<Operator>,
    /// Patches that were reported to their operators as not accepted.
    rejected_patches: BTreeSet<PatchId>,
    /// Collector of unused chunks, with the store's answer that it has not processed yet.
    collector: Option<(ChunkCollector, Option<StoreAnswer>)>,
    now: Millis,
    next_id: u64,
    faults_enabled: bool,
    /// Whether this run may restore the store from a backup.
    may_restore: bool,
    /// Whether the store has been restored.
    restored: bool,
}

/// Runs operators and hosts under faults, then checks that the hosts converge without faults.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let may_restore = rng.random_bool(0.5);
    let count = rng.random_range(2..=5);
    let host = |i| FakeHost {
        name: HostName::new(&format!("entry-{i}")),
        adopter: Adopter::new(),
        pending_actions: Vec::new(),
    };
    let mut sim = Simulation {
        rng,
        trace,
        store: FakeStore::default(),
        hosts: (0..count).map(host).collect(),
        operators: Vec::new(),
        rejected_patches: BTreeSet::new(),
        collector: None,
        now: Millis(0),
        next_id: 1,
        faults_enabled: false,
        may_restore,
        restored: false,
    };
    sim.publish_to_completion(ConfigChange::First(first_document()))?;
    sim.faults_enabled = true;
    for _ in 0..FAULTY_STEPS {
        sim.step()?;
        sim.check_invariants()?;
    }
    sim.recover_and_check_convergence()
}

fn first_document() -> Document {
    let domains = json!({"domains": {"d-0": {"region": "r"}, "d-x": {"region": "r"}}});
    Document::try_from(domains).expect("the document is an object of objects")
}

impl Simulation<'_> {
    fn step(&mut self) -> CaseResult {
        self.now = self.now + Millis(self.rng.random_range(1..200));
        match self.rng.random_range(0..100) {
            0..8 => self.start_operator(),
            8..45 => self.step_operator()?,
            45..55 => self.notify_manifest_watch(),
            55..62 => self.gossip_number(),
            62..82 => self.step_host()?,
            82..86 => self.tick_host()?,
            86..88 => self.restart_host(),
            88..92 => self.step_collector(),
            92..94 => self.store.unavailable = !self.store.unavailable,
            94..97 => self.apply_delayed_call(),
            97..98 if self.may_restore => self.back_up_or_restore(),
            _ => {}
        }
        Ok(())
    }

    fn run_procedure<P: Procedure>(&mut self, mut procedure: P) -> P::Outcome {
        let mut answer = None;
        loop {
            match procedure.next(answer.take()) {
                Step::Call { call, .. } => {
                    answer = Some(self.store.call(&call, self.faults_enabled, &mut self.rng));
                }
                Step::Done(outcome) => return outcome,
            }
        }
    }

    fn step_collector(&mut self) {
        // A collector that is paused during a restore may delete chunks that the backup needs.
        if self.may_restore {
            return;
        }
        let (mut collector, answer) =
            self.collector.take().unwrap_or_else(|| (ChunkCollector::new(), None));
        if let Step::Call { call, .. } = collector.next(answer) {
            let answer = self.store.call(&call, self.faults_enabled, &mut self.rng);
            self.collector = Some((collector, Some(answer)));
        }
    }

    fn apply_delayed_call(&mut self) {
        if !self.store.delayed_calls.is_empty() {
            let i = self.rng.random_range(0..self.store.delayed_calls.len());
            let call = self.store.delayed_calls.swap_remove(i);
            self.store.apply(&call);
        }
    }

    fn back_up_or_restore(&mut self) {
        match self.store.backup.take() {
            Some(backup) => {
                self.trace.add("the store is restored from its backup");
                self.store.values = backup;
                self.store.delayed_calls.clear();
                self.restored = true;
            }
            None => self.store.backup = Some(self.store.values.clone()),
        }
    }

    fn check_invariants(&self) -> CaseResult {
        let is_rejected =
            |(_, patch): &&(ConfigNumber, PatchId)| self.rejected_patches.contains(patch);
        if let Some((number, patch)) = self.store.manifest_history.iter().find(is_rejected) {
            return Err(format!(
                "patch {patch} was reported as rejected but is accepted as {number}"
            ));
        }
        if self.restored {
            return Ok(());
        }
        let numbers: BTreeSet<ConfigNumber> =
            self.store.manifest_history.iter().map(|(number, _)| *number).collect();
        if numbers.len() != self.store.manifest_history.len() {
            return Err("two patches were accepted under one number".to_owned());
        }
        Ok(())
    }
}
