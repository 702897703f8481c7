//! Decides which configuration a host adopts and from which source it fetches it.
//!
//! A host adopts only a configuration with a higher number than its own, and only once it has every
//! chunk and each chunk matches its digest. A store with a lower number, two configurations with
//! the same number, and bytes that do not match are reported to the operators.

use std::collections::BTreeMap;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::clock::Millis;
use crate::config::manifest::ChunkRef;
use crate::config::manifest::Manifest;
use crate::config::manifest::PatchId;
use crate::config::messages::WireChunk;
use crate::config::reader::Chunks;
use crate::config::ActiveConfig;
use crate::defect::planted;
use crate::digest::Digest;
use crate::ids::ConfigNumber;
use crate::name::HostName;

/// Time without a valid chunk or manifest after which a fetch is abandoned.
const FETCH_TIMEOUT: Millis = Millis(5_000);
/// Time from a failed fetch until the same source may be asked again.
const FAILED_SOURCE_PAUSE: Millis = Millis(1_000);
/// Maximum number of peers whose announced numbers are kept; further peers are ignored.
const MAX_PEER_NUMBERS: usize = 16;

/// A source that configurations are fetched from.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// The platform's store.
    Store,
    /// Another entry host.
    Peer(HostName),
}

/// An input to [`Adopter::on_event`].
#[derive(Clone, Debug)]
pub enum AdoptEvent {
    /// A peer announced the number that it has adopted.
    PeerNumber {
        /// The peer.
        from: HostName,
        /// Number that the peer has adopted.
        number: ConfigNumber,
    },
    /// A source answered a request for its manifest.
    Manifest {
        /// The source.
        from: Source,
        /// Its manifest, if it has one.
        manifest: Option<Manifest>,
    },
    /// A source sent chunks.
    Chunks {
        /// The source.
        from: Source,
        /// The chunks; those that the source does not have are left out.
        chunks: Vec<WireChunk>,
    },
    /// A source did not answer a request.
    Failed {
        /// The source.
        from: Source,
    },
    /// Periodic check for fetches that made no progress.
    Tick,
}

/// An action that the caller of [`Adopter::on_event`] performs.
#[derive(Clone, Debug)]
pub enum AdoptAction {
    /// Asks a source for its manifest.
    FetchManifest(Source),
    /// Asks a source for chunks.
    FetchChunks {
        /// The source.
        from: Source,
        /// The chunks that are missing.
        chunks: Vec<ChunkRef>,
    },
    /// Applies a configuration and notifies other hosts of its number.
    Adopt(Arc<ActiveConfig>),
    /// Writes into the store's manifest that the store is behind this number.
    ///
    /// It is the number that this host has adopted, or the next one if the store has another
    /// configuration with that same number.
    MarkStoreBehind(ConfigNumber),
    /// Reports a problem that operators have to look into.
    Report(ConfigProblem),
}

/// Actions that follow from one event, in order.
pub type AdoptActions = SmallVec<[AdoptAction; 2]>;

/// A problem with a configuration that operators have to look into.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigProblem {
    /// The store holds a lower number than the one that this host has adopted.
    StoreBehind {
        /// Number in the store.
        store: ConfigNumber,
        /// Number that this host has adopted.
        held: ConfigNumber,
    },
    /// A source has another configuration with the number that this host has adopted.
    NumberConflict {
        /// Number that both configurations have.
        number: ConfigNumber,
        /// Source of the other configuration.
        from: Source,
    },
    /// This version of the program cannot read a configuration with a higher number.
    Unreadable {
        /// Number of the configuration.
        number: ConfigNumber,
        /// The error.
        text: String,
    },
    /// A source sent a chunk whose bytes do not match its digest.
    BadChunk {
        /// The source.
        from: Source,
        /// Digest that the chunk was requested by.
        digest: Digest,
    },
}

/// A fetch in progress; at most one runs at a time.
#[derive(Debug)]
struct Fetch {
    from: Source,
    /// Time of the start, of the manifest or of the last valid chunk, whichever is latest.
    last_progress: Millis,
    /// `None` until the source has sent its manifest.
    manifest: Option<Manifest>,
    chunks: Chunks,
}

impl Fetch {
    fn number(&self) -> ConfigNumber {
        self.manifest.as_ref().map(|manifest| manifest.number).unwrap_or_default()
    }

    fn missing(&self) -> Vec<ChunkRef> {
        let chunks = self.manifest.iter().flat_map(|manifest| manifest.chunks());
        let missing = chunks.filter(|(_, chunk)| !self.chunks.contains_key(&chunk.digest));
        missing.map(|(_, chunk)| chunk).collect()
    }
}

/// Adopts configurations for one host.
#[derive(Debug, Default)]
pub struct Adopter {
    active: Option<Arc<ActiveConfig>>,
    /// Numbers above the own one that peers have announced.
    peer_numbers: BTreeMap<HostName, ConfigNumber>,
    fetch: Option<Fetch>,
    /// Sources whose last fetch failed, with the time until which they are not asked.
    paused_until: BTreeMap<Source, Millis>,
    store_failed: bool,
    /// The configuration that failed to decode last; it is not fetched again.
    unreadable: Option<(ConfigNumber, PatchId)>,
    /// The problem reported last, which is not reported again in a row.
    reported: Option<ConfigProblem>,
}

impl Adopter {
    /// Creates the state of a host without a configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number that this host has adopted, 0 without a configuration.
    pub fn number(&self) -> ConfigNumber {
        self.active.as_ref().map(|active| active.number).unwrap_or_default()
    }

    /// Returns the configuration that this host has adopted.
    pub fn active(&self) -> Option<&Arc<ActiveConfig>> {
        self.active.as_ref()
    }

    /// Updates the state with an event and returns the actions to perform.
    pub fn on_event(&mut self, now: Millis, event: AdoptEvent) -> AdoptActions {
        let mut actions = AdoptActions::new();
        match event {
            AdoptEvent::PeerNumber { from, number } => self.on_peer_number(from, number),
            AdoptEvent::Manifest { from, manifest } => {
                self.on_manifest(now, from, manifest, &mut actions);
            }
            AdoptEvent::Chunks { from, chunks } => self.on_chunks(now, from, chunks, &mut actions),
            AdoptEvent::Failed { from } => self.on_failed(now, from),
            AdoptEvent::Tick => self.on_tick(now),
        }
        self.begin_fetch(now, &mut actions);
        actions
    }

    fn on_peer_number(&mut self, from: HostName, number: ConfigNumber) {
        let known = self.peer_numbers.contains_key(&from);
        if number > self.number() && (known || self.peer_numbers.len() < MAX_PEER_NUMBERS) {
            self.peer_numbers.insert(from, number);
        }
    }

    fn on_manifest(
        &mut self,
        now: Millis,
        from: Source,
        manifest: Option<Manifest>,
        actions: &mut AdoptActions,
    ) {
        self.end_manifest_wait(&from);
        let Some(manifest) = manifest else {
            self.forget_peer_number(&from);
            return;
        };
        if !self.is_wanted(&from, &manifest, actions) {
            self.forget_peer_number(&from);
            return;
        }
        if self.fetch.as_ref().is_some_and(|fetch| fetch.number() >= manifest.number) {
            return;
        }
        let chunks = self.reusable_chunks(&manifest);
        self.fetch = Some(Fetch { from, last_progress: now, manifest: Some(manifest), chunks });
        self.adopt_or_fetch_chunks(actions);
    }

    /// Ends a fetch that is waiting for the manifest of `from`.
    fn end_manifest_wait(&mut self, from: &Source) {
        let answered = |fetch: &Fetch| fetch.from == *from && fetch.manifest.is_none();
        if self.fetch.as_ref().is_some_and(answered) {
            self.fetch = None;
        }
    }

    /// Returns whether `manifest` should be adopted, and reports it where it contradicts the
    /// configuration that this host has adopted.
    fn is_wanted(
        &mut self,
        from: &Source,
        manifest: &Manifest,
        actions: &mut AdoptActions,
    ) -> bool {
        let held = self.number();
        let Some(active) = &self.active else {
            return self.unreadable != Some((manifest.number, manifest.patch));
        };
        if manifest.number == held {
            if manifest.patch != active.patch() {
                if *from == Source::Store && manifest.newer_host_number().is_none() {
                    actions.push(AdoptAction::MarkStoreBehind(held.next()));
                }
                let problem = ConfigProblem::NumberConflict { number: held, from: from.clone() };
                self.report(problem, actions);
            }
            return false;
        }
        if manifest.number < held && !planted!(AdoptLowerNumber) {
            if *from == Source::Store {
                if manifest.newer_host_number() < Some(held) {
                    actions.push(AdoptAction::MarkStoreBehind(held));
                }
                let problem = ConfigProblem::StoreBehind { store: manifest.number, held };
                self.report(problem, actions);
            }
            return false;
        }
        self.unreadable != Some((manifest.number, manifest.patch))
    }

    /// Returns the chunks of `manifest` that the adopted configuration already has.
    fn reusable_chunks(&self, manifest: &Manifest) -> Chunks {
        let Some(active) = &self.active else { return Chunks::new() };
        let held = active.chunks();
        let reusable = |digest: Digest| held.get(&digest).map(|bytes| (digest, Arc::clone(bytes)));
        manifest.chunks().filter_map(|(_, chunk)| reusable(chunk.digest)).collect()
    }

    fn on_chunks(
        &mut self,
        now: Millis,
        from: Source,
        chunks: Vec<WireChunk>,
        actions: &mut AdoptActions,
    ) {
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.from == from) else { return };
        let missing: Vec<Digest> = fetch.missing().iter().map(|chunk| chunk.digest).collect();
        let mut progress = false;
        let mut bad = None;
        for chunk in chunks {
            if !missing.contains(&chunk.digest) {
                continue;
            }
            if Digest::of(&chunk.bytes) != chunk.digest && !planted!(AdoptUncheckedChunk) {
                bad = Some(chunk.digest);
                continue;
            }
            fetch.chunks.insert(chunk.digest, chunk.bytes.into());
            progress = true;
        }
        if progress {
            fetch.last_progress = now;
        }
        if let Some(digest) = bad {
            self.report(ConfigProblem::BadChunk { from: from.clone(), digest }, actions);
        }
        if bad.is_some() || !progress {
            self.on_failed(now, from);
        } else {
            self.adopt_or_fetch_chunks(actions);
        }
    }

    /// Adopts the fetched configuration if it is complete, or requests its missing chunks.
    fn adopt_or_fetch_chunks(&mut self, actions: &mut AdoptActions) {
        let Some(fetch) = self.fetch.take() else { return };
        let missing = fetch.missing();
        if !missing.is_empty() {
            let from = fetch.from.clone();
            self.fetch = Some(fetch);
            actions.push(AdoptAction::FetchChunks { from, chunks: missing });
            return;
        }
        let Some(manifest) = fetch.manifest else { return };
        let (number, patch) = (manifest.number, manifest.patch);
        match ActiveConfig::new(manifest, fetch.chunks) {
            Ok(active) => self.adopt(Arc::new(active), actions),
            Err(e) => {
                self.unreadable = Some((number, patch));
                self.forget_peer_number(&fetch.from);
                self.report(ConfigProblem::Unreadable { number, text: e.to_string() }, actions);
            }
        }
    }

    fn adopt(&mut self, active: Arc<ActiveConfig>, actions: &mut AdoptActions) {
        let held = self.number();
        assert!(
            active.number > held || planted!(AdoptLowerNumber),
            "configuration {} must not replace configuration {held}, whose number is not lower",
            active.number
        );
        self.peer_numbers.retain(|_, number| *number > active.number);
        self.active = Some(Arc::clone(&active));
        self.reported = None;
        actions.push(AdoptAction::Adopt(active));
    }

    fn report(&mut self, problem: ConfigProblem, actions: &mut AdoptActions) {
        if self.reported.as_ref() != Some(&problem) {
            self.reported = Some(problem.clone());
            actions.push(AdoptAction::Report(problem));
        }
    }

    fn on_failed(&mut self, now: Millis, from: Source) {
        if self.fetch.as_ref().is_none_or(|fetch| fetch.from != from) {
            return;
        }
        self.fetch = None;
        self.forget_peer_number(&from);
        self.store_failed |= from == Source::Store;
        self.paused_until.insert(from, now + FAILED_SOURCE_PAUSE);
    }

    fn forget_peer_number(&mut self, from: &Source) {
        if let Source::Peer(host) = from {
            self.peer_numbers.remove(host);
        }
    }

    fn on_tick(&mut self, now: Millis) {
        self.paused_until.retain(|_, until| *until > now);
        let timed_out = |fetch: &Fetch| now.since(fetch.last_progress) >= FETCH_TIMEOUT;
        if let Some(fetch) = self.fetch.as_ref().filter(|fetch| timed_out(fetch)) {
            let from = fetch.from.clone();
            self.on_failed(now, from);
        }
    }

    /// Starts a fetch from the peer with the highest number if none is in progress.
    ///
    /// Without such a peer the store is asked again if its last fetch failed.
    fn begin_fetch(&mut self, now: Millis, actions: &mut AdoptActions) {
        if self.fetch.is_some() {
            return;
        }
        let usable = |from: &Source| !self.paused_until.contains_key(from);
        let peers =
            self.peer_numbers.iter().map(|(host, number)| (*number, Source::Peer(host.clone())));
        let peer = peers.filter(|(_, from)| usable(from)).max();
        let store = (self.store_failed && usable(&Source::Store)).then_some(Source::Store);
        let Some(from) = peer.map(|(_, from)| from).or(store) else { return };
        if from == Source::Store {
            self.store_failed = false;
        }
        actions.push(AdoptAction::FetchManifest(from.clone()));
        self.fetch =
            Some(Fetch { from, last_progress: now, manifest: None, chunks: Chunks::new() });
    }
}
