//! Configuration in force on this host: holds it, serves it to peers and replaces it by newer ones.

mod driver;
mod watch;

use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;

use yuccanotch_core::config::adopter::AdoptEvent;
use yuccanotch_core::config::messages::WireChunk;
use yuccanotch_core::config::messages::MAX_CHUNKS_PER_REQUEST;
use yuccanotch_core::config::messages::MAX_REPLY_CHUNK_BYTES;
use yuccanotch_core::config::ActiveConfig;
use yuccanotch_core::config::ConfigMessage;
use yuccanotch_core::config::ConfigReply;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::ids::ConfigNumber;
use yuccanotch_core::name::HostName;

pub use driver::run;
pub(crate) use watch::domain_members;

/// Holds the configuration in force.
#[derive(Debug)]
pub struct Configuration {
    active: RwLock<Option<Arc<ActiveConfig>>>,
    tx: Sender<AdoptEvent>,
    rx: Mutex<Option<Receiver<AdoptEvent>>>,
}

impl Default for Configuration {
    fn default() -> Self {
        Self::new()
    }
}

impl Configuration {
    /// Creates a holder without a configuration.
    pub fn new() -> Self {
        let (tx, rx) = mpsc::channel();
        Self { active: RwLock::default(), tx, rx: Mutex::new(Some(rx)) }
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Option<Arc<ActiveConfig>> {
        self.active.read().expect("lock is not poisoned").clone()
    }

    /// Returns the number of the configuration in force, or 0 if there is none.
    pub fn number(&self) -> ConfigNumber {
        self.current().map(|active| active.number).unwrap_or_default()
    }

    /// Passes the configuration number of a peer on to the adopter if it is higher than this
    /// host's; never blocks.
    pub fn record_peer_number(&self, from: &HostName, number: ConfigNumber) {
        if number > self.number() {
            let _ = self.tx.send(AdoptEvent::PeerNumber { from: from.clone(), number });
        }
    }

    /// Answers a message of a peer.
    pub fn on_peer(&self, from: &HostName, message: ConfigMessage) -> ConfigReply {
        let active = self.current();
        match message {
            ConfigMessage::Notice(number) => {
                self.record_peer_number(from, number);
                ConfigReply::Held(active.map(|active| active.number).unwrap_or_default())
            }
            ConfigMessage::GetManifest => {
                ConfigReply::Manifest(active.map(|active| active.manifest().encode()))
            }
            ConfigMessage::GetChunks(digests) => {
                let chunks = active.map(|active| available_chunks(&active, &digests));
                ConfigReply::Chunks(chunks.unwrap_or_default())
            }
        }
    }

    fn set(&self, next: Arc<ActiveConfig>) {
        let mut active = self.active.write().expect("lock is not poisoned");
        assert!(
            active.as_ref().is_none_or(|active| active.number < next.number),
            "a configuration is replaced only by one with a higher number"
        );
        *active = Some(next);
    }

    fn take_events(&self) -> Option<Receiver<AdoptEvent>> {
        self.rx.lock().expect("lock is not poisoned").take()
    }
}

/// Returns those of the chunks that this host holds, up to the size limit of a reply.
fn available_chunks(active: &ActiveConfig, digests: &[Digest]) -> Vec<WireChunk> {
    let mut chunks = Vec::new();
    let mut total_bytes = 0;
    for digest in digests.iter().take(MAX_CHUNKS_PER_REQUEST) {
        let Some(bytes) = active.chunks().get(digest) else { continue };
        total_bytes += bytes.len();
        if total_bytes > MAX_REPLY_CHUNK_BYTES && !chunks.is_empty() {
            break;
        }
        chunks.push(WireChunk { digest: *digest, bytes: bytes.to_vec() });
    }
    chunks
}
