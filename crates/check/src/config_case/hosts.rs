//! Entry hosts, which adopt configurations from the store and from each other.

use rand::seq::IndexedRandom;
use rand::Rng;
use yuccanotch_core::config::adopter::AdoptAction;
use yuccanotch_core::config::adopter::AdoptEvent;
use yuccanotch_core::config::adopter::Adopter;
use yuccanotch_core::config::adopter::Source;
use yuccanotch_core::config::behind_mark::BehindMarkWriter;
use yuccanotch_core::config::manifest::BehindMark;
use yuccanotch_core::config::ActiveConfig;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::ids::ConfigNumber;
use yuccanotch_core::name::HostName;

use super::Simulation;
use crate::case::CaseResult;
use crate::config_store::FakeStore;

/// Entry host, reduced to its adopter.
pub(super) struct FakeHost {
    pub(super) name: HostName,
    pub(super) adopter: Adopter,
    /// Actions of the adopter that have not been carried out.
    pub(super) pending_actions: Vec<AdoptAction>,
}

impl Simulation<'_> {
    /// Passes an event to the adopter of a host and checks what it adopts.
    pub(super) fn on_event(&mut self, i: usize, event: AdoptEvent) -> CaseResult {
        let host = &mut self.hosts[i];
        let before = host.adopter.number();
        for action in host.adopter.on_event(self.now, event) {
            match action {
                AdoptAction::Adopt(active) => {
                    self.trace.add(format!("{} adopts {}", host.name, active.number));
                    check_adoption(&host.name, before, &active, &self.store)?;
                }
                other => host.pending_actions.push(other),
            }
        }
        Ok(())
    }

    /// Performs the oldest pending action of a random host.
    pub(super) fn step_host(&mut self) -> CaseResult {
        let i = self.rng.random_range(0..self.hosts.len());
        if self.hosts[i].pending_actions.is_empty() {
            return Ok(());
        }
        let action = self.hosts[i].pending_actions.remove(0);
        match action {
            AdoptAction::FetchManifest(from) => {
                let event = match self.fetch_manifest(&from) {
                    Some(manifest) => AdoptEvent::Manifest { from, manifest },
                    None => AdoptEvent::Failed { from },
                };
                self.on_event(i, event)
            }
            AdoptAction::FetchChunks { from, chunks } => {
                let found = self.fetch_chunks(&from, &chunks);
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

    /// Lets a random host read the manifest from the store.
    pub(super) fn notify_manifest_watch(&mut self) {
        let i = self.rng.random_range(0..self.hosts.len());
        self.hosts[i].pending_actions.push(AdoptAction::FetchManifest(Source::Store));
    }

    /// Tells a random host the configuration number of another one.
    pub(super) fn gossip_number(&mut self) {
        let indexes: Vec<usize> = (0..self.hosts.len()).collect();
        let (Some(&to), Some(&from)) =
            (indexes.choose(&mut self.rng), indexes.choose(&mut self.rng))
        else {
            return;
        };
        self.deliver_peer_number(to, from);
    }

    /// Tells the host `to` the configuration number of the host `from`.
    pub(super) fn deliver_peer_number(&mut self, to: usize, from: usize) {
        if to == from {
            return;
        }
        let number = self.hosts[from].adopter.number();
        let event = AdoptEvent::PeerNumber { from: self.hosts[from].name.clone(), number };
        let actions = self.hosts[to].adopter.on_event(self.now, event);
        self.hosts[to].pending_actions.extend(actions);
    }

    /// Ticks a random host.
    pub(super) fn tick_host(&mut self) -> CaseResult {
        let i = self.rng.random_range(0..self.hosts.len());
        self.on_event(i, AdoptEvent::Tick)
    }

    /// Restarts a random host without its state.
    pub(super) fn restart_host(&mut self) {
        let i = self.rng.random_range(0..self.hosts.len());
        self.trace.add(format!("{} restarts", self.hosts[i].name));
        self.hosts[i].adopter = Adopter::new();
        self.hosts[i].pending_actions.clear();
    }
}

/// Checks an adoption: newer than `before`, accepted by the store and with intact chunks.
fn check_adoption(
    host: &HostName,
    before: ConfigNumber,
    active: &ActiveConfig,
    store: &FakeStore,
) -> CaseResult {
    if active.number <= before {
        return Err(format!("{host} adopted a configuration that is not newer than {before}"));
    }
    if !store.manifest_history.contains(&(active.number, active.patch())) {
        return Err(format!("{} was adopted but never accepted", active.number));
    }
    let mut chunks = active.chunks().iter();
    if chunks.any(|(digest, bytes)| Digest::of(bytes) != *digest) {
        return Err(format!("{host} adopts a chunk whose bytes do not match its digest"));
    }
    Ok(())
}
