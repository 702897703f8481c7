//! Randomised case: publishing and adopting configurations under faults.
//!
//! Operators publish patches concurrently. The store loses calls and answers, is unavailable at
//! times, and may be restored from an old backup. Hosts restart, and peers send corrupted chunks.

use std::collections::BTreeSet;

use rand::seq::IndexedRandom;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::adopter::AdoptAction;
use yuccanotch_core::config::adopter::AdoptEvent;
use yuccanotch_core::config::adopter::Adopter;
use yuccanotch_core::config::adopter::Source;
use yuccanotch_core::config::behind_mark::BehindMarkWriter;
use yuccanotch_core::config::chunk_gc::ChunkCollector;
use yuccanotch_core::config::document::Document;
use yuccanotch_core::config::manifest::BehindMark;
use yuccanotch_core::config::manifest::Manifest;
use yuccanotch_core::config::manifest::PatchId;
use yuccanotch_core::config::manifest::MANIFEST_KEY;
use yuccanotch_core::config::messages::WireChunk;
use yuccanotch_core::config::publisher::ConfigChange;
use yuccanotch_core::config::publisher::PublishOutcome;
use yuccanotch_core::config::publisher::Publisher;
use yuccanotch_core::config::reader::Chunks;
use yuccanotch_core::config::reader::Reader;
use yuccanotch_core::config::store_call::Procedure;
use yuccanotch_core::config::store_call::Step;
use yuccanotch_core::config::store_call::StoreAnswer;
use yuccanotch_core::config::store_call::StoreCall;
use yuccanotch_core::config::ConfigError;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::ids::ConfigNumber;
use yuccanotch_core::name::HostName;

use crate::case::CaseResult;
use crate::config_store::FakeStore;
use crate::trace::Trace;

/// Number of random steps under faults.
const FAULTY_STEPS: usize = 400;
/// Rounds without faults after which the hosts must have fetched everything they began on.
const RECOVERY_ROUNDS: usize = 40;
/// Maximum number of operators that publish at the same time.
const MAX_OPERATORS: usize = 4;

/// Operator that publishes one change.
struct Operator {
    publisher: Publisher,
    /// Answer of the store that the publisher has not processed yet.
    store_answer: Option<StoreAnswer>,
}

/// Entry host, reduced to its adopter.
struct FakeHost {
    name: HostName,
    adopter: Adopter,
    /// Actions of the adopter that have not been carried out.
    pending_actions: Vec<AdoptAction>,
}

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

    fn allocate_patch_id(&mut self) -> PatchId {
        self.next_id += 1;
        PatchId(self.next_id)
    }

    fn start_operator(&mut self) {
        if self.operators.len() >= MAX_OPERATORS {
            return;
        }
        let id = self.allocate_patch_id();
        let current = self.store.manifest().map_or(0, |manifest| manifest.number.0);
        let lag = if self.rng.random_bool(0.2) { 1 } else { 0 };
        let base = ConfigNumber(current.saturating_sub(lag));
        let patch = json!({"domains": {format!("d-{id}"): {"region": "r"}, "d-x": null}});
        self.trace.add(format!("operator {id} patches {base}"));
        let publisher = Publisher::new(id, ConfigChange::Patch { base, patch });
        self.operators.push(Operator { publisher, store_answer: None });
    }

    fn step_operator(&mut self) -> CaseResult {
        if self.operators.is_empty() {
            return Ok(());
        }
        let i = self.rng.random_range(0..self.operators.len());
        let operator = &mut self.operators[i];
        match operator.publisher.next(operator.store_answer.take()) {
            Step::Call { call, .. } => {
                let answer = self.store.call(&call, self.faults_enabled, &mut self.rng);
                operator.store_answer = Some(answer);
                Ok(())
            }
            Step::Done(outcome) => {
                let id = operator.publisher.id();
                self.operators.swap_remove(i);
                self.on_publish_end(id, &outcome)
            }
        }
    }

    fn on_publish_end(&mut self, id: PatchId, outcome: &PublishOutcome) -> CaseResult {
        self.trace.add(format!("operator {id} ends with {outcome:?}"));
        match outcome {
            PublishOutcome::Accepted(number)
                if !self.store.manifest_history.contains(&(*number, id)) =>
            {
                Err(format!(
                    "patch {id} was reported as accepted as {number}, but the store never held it"
                ))
            }
            PublishOutcome::Stale { .. }
            | PublishOutcome::Failed(_)
            | PublishOutcome::Invalid(_)
            | PublishOutcome::Behind { .. }
            | PublishOutcome::Empty
            | PublishOutcome::Unchanged(_) => {
                self.rejected_patches.insert(id);
                Ok(())
            }
            PublishOutcome::Accepted(_) | PublishOutcome::Unknown => Ok(()),
        }
    }

    fn on_event(&mut self, i: usize, event: AdoptEvent) -> CaseResult {
        let host = &mut self.hosts[i];
        let before = host.adopter.number();
        for action in host.adopter.on_event(self.now, event) {
            match action {
                AdoptAction::Adopt(active) => {
                    self.trace.add(format!("{} adopts {}", host.name, active.number));
                    if active.number <= before {
                        return Err(format!(
                            "{} adopted a configuration that is not newer than {before}",
                            host.name
                        ));
                    }
                    if !self.store.manifest_history.contains(&(active.number, active.patch())) {
                        return Err(format!("{} was adopted but never accepted", active.number));
                    }
                    let mut chunks = active.chunks().iter();
                    if chunks.any(|(digest, bytes)| Digest::of(bytes) != *digest) {
                        return Err(format!(
                            "{} adopts a chunk whose bytes do not match its digest",
                            host.name
                        ));
                    }
                }
                other => host.pending_actions.push(other),
            }
        }
        Ok(())
    }

    fn step_host(&mut self) -> CaseResult {
        let i = self.rng.random_range(0..self.hosts.len());
        if self.hosts[i].pending_actions.is_empty() {
            return Ok(());
        }
        let action = self.hosts[i].pending_actions.remove(0);
        match action {
            AdoptAction::FetchManifest(from) => {
                let manifest = self.fetch_manifest(&from);
                let event = match manifest {
                    Some(manifest) => AdoptEvent::Manifest { from, manifest },
                    None => AdoptEvent::Failed { from },
                };
                self.on_event(i, event)
            }
            AdoptAction::FetchChunks { from, chunks } => {
                let mut found = Vec::new();
                for chunk in &chunks {
                    let bytes = match &from {
                        Source::Store => self.fetch_store_chunk(&chunk.key()),
                        Source::Peer(peer) => self.fetch_peer_chunk(peer, &chunk.digest),
                    };
                    found.extend(bytes.map(|bytes| WireChunk { digest: chunk.digest, bytes }));
                }
                self.on_event(i, AdoptEvent::Chunks { from, chunks: found })
            }
            AdoptAction::MarkStoreBehind(number) => {
                let mark = BehindMark { number, host: self.hosts[i].name.clone() };
                let written = self.run_procedure(BehindMarkWriter::new(mark));
                self.trace.add(format!("behind mark {number}: {written}"));
                Ok(())
            }
            AdoptAction::Report(_) | AdoptAction::Adopt(_) => Ok(()),
        }
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

    fn fetch_manifest(&mut self, from: &Source) -> Option<Option<Manifest>> {
        match from {
            Source::Store => {
                let call = StoreCall::Get(MANIFEST_KEY.to_owned());
                match self.store.call(&call, self.faults_enabled, &mut self.rng) {
                    StoreAnswer::Value(found) => {
                        Some(found.and_then(|found| Manifest::decode(&found.value).ok()))
                    }
                    _ => None,
                }
            }
            Source::Peer(peer) => {
                if self.faults_enabled && self.rng.random_bool(0.1) {
                    return None;
                }
                let active = self.find_host(peer)?.adopter.active();
                Some(active.map(|active| active.manifest().clone()))
            }
        }
    }

    fn find_host(&self, name: &HostName) -> Option<&FakeHost> {
        self.hosts.iter().find(|host| host.name == *name)
    }

    fn fetch_store_chunk(&mut self, key: &str) -> Option<Vec<u8>> {
        let call = StoreCall::Get(key.to_owned());
        match self.store.call(&call, self.faults_enabled, &mut self.rng) {
            StoreAnswer::Value(found) => found.map(|found| found.value),
            _ => None,
        }
    }

    fn fetch_peer_chunk(&mut self, peer: &HostName, digest: &Digest) -> Option<Vec<u8>> {
        let is_corrupted = self.faults_enabled && self.rng.random_bool(0.05);
        let active = self.find_host(peer)?.adopter.active()?;
        let mut bytes = active.chunks().get(digest)?.to_vec();
        if is_corrupted {
            bytes.push(b' ');
        }
        Some(bytes)
    }

    fn notify_manifest_watch(&mut self) {
        let i = self.rng.random_range(0..self.hosts.len());
        self.hosts[i].pending_actions.push(AdoptAction::FetchManifest(Source::Store));
    }

    fn gossip_number(&mut self) {
        let indexes: Vec<usize> = (0..self.hosts.len()).collect();
        let (Some(&to), Some(&from)) =
            (indexes.choose(&mut self.rng), indexes.choose(&mut self.rng))
        else {
            return;
        };
        self.deliver_peer_number(to, from);
    }

    fn deliver_peer_number(&mut self, to: usize, from: usize) {
        if to == from {
            return;
        }
        let number = self.hosts[from].adopter.number();
        let event = AdoptEvent::PeerNumber { from: self.hosts[from].name.clone(), number };
        let actions = self.hosts[to].adopter.on_event(self.now, event);
        self.hosts[to].pending_actions.extend(actions);
    }

    fn tick_host(&mut self) -> CaseResult {
        let i = self.rng.random_range(0..self.hosts.len());
        self.on_event(i, AdoptEvent::Tick)
    }

    fn restart_host(&mut self) {
        let i = self.rng.random_range(0..self.hosts.len());
        self.trace.add(format!("{} restarts", self.hosts[i].name));
        self.hosts[i].adopter = Adopter::new();
        self.hosts[i].pending_actions.clear();
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

    fn publish_to_completion(&mut self, change: ConfigChange) -> CaseResult {
        let id = self.allocate_patch_id();
        let outcome = self.run_procedure(Publisher::new(id, change));
        self.on_publish_end(id, &outcome)?;
        match outcome {
            PublishOutcome::Accepted(_) => Ok(()),
            other => Err(format!("a patch without faults ended with {other:?}")),
        }
    }

    /// Stops the faults and checks that all hosts converge on the configuration in the store.
    fn recover_and_check_convergence(&mut self) -> CaseResult {
        self.faults_enabled = false;
        while !self.operators.is_empty() {
            self.step_operator()?;
        }
        let delayed_calls = std::mem::take(&mut self.store.delayed_calls);
        delayed_calls.iter().for_each(|call| {
            self.store.apply(call);
        });
        self.check_invariants()?;
        // Lets hosts finish pending fetches and mark a store that is behind them.
        for _ in 0..RECOVERY_ROUNDS {
            self.fault_free_round()?;
        }
        self.recover_store()?;
        let base = self.store.manifest().map(|manifest| manifest.number).unwrap_or_default();
        let patch = json!({"domains": {"d-last": {"region": "r"}}});
        self.publish_to_completion(ConfigChange::Patch { base, patch })?;
        for _ in 0..RECOVERY_ROUNDS {
            self.fault_free_round()?;
        }
        self.check_converged()
    }

    /// Publishes a recovery, as operators do when the store is behind the hosts or lost chunks.
    fn recover_store(&mut self) -> CaseResult {
        let is_incomplete = matches!(
            self.run_procedure(Reader::new(Chunks::new())),
            Err(ConfigError::MissingChunk(_))
        );
        let highest = self.hosts.iter().max_by_key(|host| host.adopter.number());
        let active = highest.and_then(|host| host.adopter.active());
        let (number, document) = match active {
            Some(active) => (active.number, active.document().map_err(|e| e.to_string())?),
            None => (ConfigNumber(0), first_document()),
        };
        if is_incomplete && self.restored {
            self.trace.add("chunks were lost with the store's latest state");
            return self
                .publish_to_completion(ConfigChange::Recovery { highest: number, document });
        }
        let stored = self.store.manifest();
        let marked = stored.as_ref().and_then(Manifest::newer_host_number);
        let stored_number = stored.map(|manifest| manifest.number).unwrap_or_default();
        let held = number.max(marked.unwrap_or_default());
        if held <= stored_number {
            return Ok(());
        }
        self.publish_to_completion(ConfigChange::Recovery { highest: held, document })
    }

    fn fault_free_round(&mut self) -> CaseResult {
        self.now = self.now + Millis(1_500);
        for i in 0..self.hosts.len() {
            self.on_event(i, AdoptEvent::Tick)?;
            self.hosts[i].pending_actions.push(AdoptAction::FetchManifest(Source::Store));
            for from in 0..self.hosts.len() {
                self.deliver_peer_number(i, from);
            }
        }
        for _ in 0..self.hosts.len() * 16 {
            self.step_host()?;
        }
        Ok(())
    }

    fn check_converged(&mut self) -> CaseResult {
        let stored = self
            .run_procedure(Reader::new(Chunks::new()))
            .map_err(|e| format!("the store cannot be read: {e}"))?
            .ok_or("the store is empty")?;
        for host in &self.hosts {
            let held = host.adopter.active().map(|active| (active.number, active.patch()));
            if held != Some((stored.manifest.number, stored.manifest.patch)) {
                return Err(format!(
                    "{} holds {held:?}, but the store holds {}",
                    host.name, stored.manifest.number
                ));
            }
        }
        Ok(())
    }
}
