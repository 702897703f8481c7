//! Executes the actions of the configuration adopter: fetches configurations from the store and
//! from peers, puts them in force and tells peers.

use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::adopter::AdoptAction;
use yuccanotch_core::config::adopter::AdoptEvent;
use yuccanotch_core::config::adopter::Adopter;
use yuccanotch_core::config::adopter::ConfigProblem;
use yuccanotch_core::config::adopter::Source;
use yuccanotch_core::config::behind_mark::BehindMarkWriter;
use yuccanotch_core::config::manifest::BehindMark;
use yuccanotch_core::config::manifest::ChunkRef;
use yuccanotch_core::config::manifest::Manifest;
use yuccanotch_core::config::messages::WireChunk;
use yuccanotch_core::config::messages::MAX_CHUNKS_PER_REQUEST;
use yuccanotch_core::config::notice_tree::notice_targets;
use yuccanotch_core::config::store_call::drive;
use yuccanotch_core::config::ActiveConfig;
use yuccanotch_core::config::ConfigMessage;
use yuccanotch_core::config::ConfigReply;
use yuccanotch_core::event::emit;
use yuccanotch_core::event::Event;
use yuccanotch_core::ids::ConfigNumber;
use yuccanotch_core::name::HostName;
use yuccanotch_core::peer::PeerReply;
use yuccanotch_core::peer::PeerRequest;
use yuccanotch_core::store::StoreError;

use crate::configuration::watch;
use crate::host::Host;

const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Ticks from one query of a random peer's configuration number to the next.
const TICKS_PER_PEER_QUERY: u32 = 12;
const PEER_TIMEOUT: Millis = Millis(1_000);
/// Largest number of chunks read from the store for one step of the adopter.
const MAX_STORE_CHUNKS_PER_STEP: usize = 16;
/// Longest wait of a starting host until it knows a peer.
const FIRST_PEER_TIMEOUT: Duration = Duration::from_millis(500);
const FIRST_PEER_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Largest number of peers that a starting host queries before it reads the store.
const MAX_INITIAL_QUERIES: usize = 3;

/// Keeps the configuration up to date with the store and the peers until the host stops.
pub fn run(host: &Arc<Host>) {
    let Some(rx) = host.configuration.take_events() else { return };
    query_initial_peers(host);
    watch::start(host);
    let mut driver = Driver { host, adopter: Adopter::new() };
    let mut ticks = 0;
    while !host.is_stopped() {
        match next_event(&rx) {
            Some(AdoptEvent::Tick) => {
                ticks += 1;
                if ticks % TICKS_PER_PEER_QUERY == 0 {
                    query_random_peer(host);
                }
                driver.on_event(AdoptEvent::Tick);
            }
            Some(event) => driver.on_event(event),
            None => return,
        }
    }
}

fn next_event(rx: &Receiver<AdoptEvent>) -> Option<AdoptEvent> {
    match rx.recv_timeout(TICK_INTERVAL) {
        Ok(event) => Some(event),
        Err(RecvTimeoutError::Timeout) => Some(AdoptEvent::Tick),
        Err(RecvTimeoutError::Disconnected) => None,
    }
}

/// Asks peers for their configuration numbers before the store is read, since the store may be
/// unavailable or restored from an old copy.
fn query_initial_peers(host: &Host) {
    let end = host.clock.now() + FIRST_PEER_TIMEOUT.into();
    while host.peers.known_peers().is_empty() && host.clock.now() < end && !host.is_stopped() {
        thread::sleep(FIRST_PEER_POLL_INTERVAL);
    }
    for peer in host.peers.known_peers().iter().take(MAX_INITIAL_QUERIES) {
        query_peer(host, peer);
    }
}

fn query_random_peer(host: &Host) {
    let known = host.peers.known_peers();
    if known.is_empty() {
        return;
    }
    let i = host.random_u64() % known.len() as u64;
    query_peer(host, &known[usize::try_from(i).unwrap_or(0)]);
}

/// Asks a peer for its configuration number and passes the answer on to the adopter.
fn query_peer(host: &Host, peer: &HostName) {
    let notice = ConfigMessage::Notice(host.configuration.number());
    let reply = host.peers.call(peer, PeerRequest::Config(notice), PEER_TIMEOUT);
    if let Ok(PeerReply::Config(ConfigReply::Held(number))) = reply {
        host.configuration.record_peer_number(peer, number);
    }
}

struct Driver<'a> {
    host: &'a Arc<Host>,
    adopter: Adopter,
}

impl Driver<'_> {
    fn on_event(&mut self, event: AdoptEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.adopter.on_event(self.host.clock.now(), event) {
                events.extend(self.execute(action));
            }
        }
    }

    fn execute(&self, action: AdoptAction) -> Option<AdoptEvent> {
        match action {
            AdoptAction::FetchManifest(from) => Some(self.fetch_manifest(from)),
            AdoptAction::FetchChunks { from, chunks } => Some(self.fetch_chunks(from, &chunks)),
            AdoptAction::Adopt(active) => {
                self.adopt(&active);
                None
            }
            AdoptAction::MarkStoreBehind(number) => {
                self.write_behind_mark(number);
                None
            }
            AdoptAction::Report(problem) => {
                self.report(&problem);
                None
            }
        }
    }

    fn fetch_manifest(&self, from: Source) -> AdoptEvent {
        let manifest = match &from {
            Source::Store => watch::read_manifest(self.host).ok(),
            Source::Peer(peer) => self.manifest_from_peer(peer),
        };
        match manifest {
            Some(manifest) => AdoptEvent::Manifest { from, manifest },
            None => AdoptEvent::Failed { from },
        }
    }

    fn manifest_from_peer(&self, peer: &HostName) -> Option<Option<Manifest>> {
        match self.call_peer(peer, ConfigMessage::GetManifest)? {
            ConfigReply::Manifest(None) => Some(None),
            ConfigReply::Manifest(Some(bytes)) => Manifest::decode(&bytes).ok().map(Some),
            _ => None,
        }
    }

    fn fetch_chunks(&self, from: Source, chunks: &[ChunkRef]) -> AdoptEvent {
        let fetched = match &from {
            Source::Store => self.chunks_from_store(chunks).ok(),
            Source::Peer(peer) => self.chunks_from_peer(peer, chunks),
        };
        match fetched {
            Some(chunks) => AdoptEvent::Chunks { from, chunks },
            None => AdoptEvent::Failed { from },
        }
    }

    fn chunks_from_store(&self, chunks: &[ChunkRef]) -> Result<Vec<WireChunk>, StoreError> {
        let mut fetched = Vec::new();
        for chunk in chunks.iter().take(MAX_STORE_CHUNKS_PER_STEP) {
            if let Some(found) = self.host.store.get(&chunk.key())? {
                fetched.push(WireChunk { digest: chunk.digest, bytes: found.value });
            }
        }
        Ok(fetched)
    }

    fn chunks_from_peer(&self, peer: &HostName, chunks: &[ChunkRef]) -> Option<Vec<WireChunk>> {
        let digests =
            chunks.iter().take(MAX_CHUNKS_PER_REQUEST).map(|chunk| chunk.digest).collect();
        match self.call_peer(peer, ConfigMessage::GetChunks(digests))? {
            ConfigReply::Chunks(chunks) => Some(chunks),
            _ => None,
        }
    }

    fn call_peer(&self, peer: &HostName, message: ConfigMessage) -> Option<ConfigReply> {
        match self.host.peers.call(peer, PeerRequest::Config(message), PEER_TIMEOUT) {
            Ok(PeerReply::Config(reply)) => Some(reply),
            _ => None,
        }
    }

    fn adopt(&self, active: &Arc<ActiveConfig>) {
        let host = self.host;
        let number = active.number;
        host.configuration.set(Arc::clone(active));
        host.peers.set_config_number(number);
        host.telemetry.set_gauge("yuccanotch_config_number", number.0 as f64);
        let name = &host.settings.host;
        emit(
            Event::ConfigAdopted,
            format_args!("host={name} number={number} patch={}", active.patch()),
        );
        let notice = PeerRequest::Config(ConfigMessage::Notice(number));
        for peer in notice_targets(&host.settings.domain, &watch::domain_members(host), name) {
            host.peers.send(&peer, notice.clone());
        }
    }

    fn write_behind_mark(&self, number: ConfigNumber) {
        let mark = BehindMark { number, host: self.host.settings.host.clone() };
        let sleep = &mut |pause: Millis| thread::sleep(pause.to_duration());
        drive(BehindMarkWriter::new(mark), &*self.host.store, sleep);
    }

    fn report(&self, problem: &ConfigProblem) {
        let (event, reason, detail) = describe(problem);
        self.host.telemetry.increment_counter("yuccanotch_config_troubles_total", reason);
        emit(event, format_args!("host={} {detail}", self.host.settings.host));
    }
}

fn describe(problem: &ConfigProblem) -> (Event, &'static str, String) {
    match problem {
        ConfigProblem::StoreBehind { store, held } => {
            (Event::StoreConfigOlder, "store_behind", format!("store={store} held={held}"))
        }
        ConfigProblem::NumberConflict { number, from } => (
            Event::ConfigNumberConflict,
            "forked",
            format!("number={number} from={}", source_name(from)),
        ),
        ConfigProblem::Unreadable { number, text } => {
            (Event::ConfigInvalid, "unreadable", format!("number={number}: {text}"))
        }
        ConfigProblem::BadChunk { from, digest } => (
            Event::ConfigBadChunk,
            "bad_chunk",
            format!("digest={digest} from={}", source_name(from)),
        ),
    }
}

fn source_name(from: &Source) -> &str {
    match from {
        Source::Store => "the store",
        Source::Peer(host) => host.as_str(),
    }
}
