//! Watches the configuration manifest in the store; only some hosts of a failure domain do so.

use std::sync::Arc;
use std::sync::Weak;
use std::thread;
use std::time::Duration;

use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::adopter::AdoptEvent;
use yuccanotch_core::config::adopter::Source;
use yuccanotch_core::config::manifest::Manifest;
use yuccanotch_core::config::manifest::MANIFEST_KEY;
use yuccanotch_core::config::notice_tree::is_store_watcher;
use yuccanotch_core::event::emit;
use yuccanotch_core::event::Event;
use yuccanotch_core::name::HostName;
use yuccanotch_core::store::Store;
use yuccanotch_core::store::StoreError;
use yuccanotch_core::store::WatchBatch;

use crate::host::Host;

const WATCH_TIMEOUT: Millis = Millis(10_000);
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time between two checks whether this host has to watch, while it does not.
const NON_WATCHER_PAUSE: Duration = Duration::from_millis(500);

/// Starts the thread that watches the manifest; it ends some time after the host has stopped.
pub(super) fn start(host: &Arc<Host>) {
    let mut watch = ManifestWatch {
        host: Arc::downgrade(host),
        store: Arc::clone(&host.store),
        revision: 0,
        store_unavailable: false,
    };
    thread::Builder::new()
        .name("config-watch".to_owned())
        .spawn(move || while watch.step().is_some() {})
        .expect("the thread can be spawned");
}

/// Returns the usable entry hosts of this host's failure domain, this host included.
pub(crate) fn domain_members(host: &Host) -> Vec<HostName> {
    let own = &host.settings.host;
    let known = host.fleet.members();
    let usable = known.usable_in(&host.settings.domain).map(|(name, _)| name.clone());
    let mut members: Vec<HostName> = usable.filter(|name| name != own).collect();
    members.push(own.clone());
    members
}

/// Reads the manifest in the store.
///
/// # Errors
///
/// Returns an error when the store does not answer.
pub(super) fn read_manifest(host: &Host) -> Result<Option<Manifest>, StoreError> {
    let found = host.store.get(MANIFEST_KEY)?;
    Ok(found.and_then(|found| match Manifest::decode(&found.value) {
        Ok(manifest) => Some(manifest),
        Err(e) => {
            emit(Event::ConfigInvalid, format_args!("host={} {e}", host.settings.host));
            None
        }
    }))
}

struct ManifestWatch {
    /// A weak reference, so that a stopped host is dropped even while this thread waits.
    host: Weak<Host>,
    store: Arc<dyn Store>,
    revision: u64,
    store_unavailable: bool,
}

impl ManifestWatch {
    fn host(&self) -> Option<Arc<Host>> {
        self.host.upgrade().filter(|host| !host.is_stopped())
    }

    /// Waits for one change or a timeout; returns `None` when the host has stopped.
    fn step(&mut self) -> Option<()> {
        if !self.should_watch(&*self.host()?) {
            self.revision = 0;
            thread::sleep(NON_WATCHER_PAUSE);
            return Some(());
        }
        let waited = self.store.watch(MANIFEST_KEY, self.revision, WATCH_TIMEOUT);
        let host = self.host()?;
        match waited.and_then(|batch| self.forward_change(&host, &batch)) {
            Ok(()) => self.set_store_unavailable(&host, false),
            Err(_) => {
                self.set_store_unavailable(&host, true);
                self.revision = 0;
            }
        }
        drop(host);
        // A watch of an empty store returns at once.
        if self.revision == 0 {
            thread::sleep(RETRY_PAUSE);
        }
        Some(())
    }

    /// Returns whether this host watches now: as a watcher of its failure domain, or because it has
    /// no configuration yet.
    fn should_watch(&self, host: &Host) -> bool {
        let own = &host.settings.host;
        host.configuration.current().is_none()
            || is_store_watcher(&host.settings.domain, &domain_members(host), own)
    }

    fn forward_change(&mut self, host: &Host, batch: &WatchBatch) -> Result<(), StoreError> {
        if self.revision == 0 || !batch.changes.is_empty() {
            if let Some(manifest) = read_manifest(host)? {
                let event = AdoptEvent::Manifest { from: Source::Store, manifest: Some(manifest) };
                let _ = host.configuration.tx.send(event);
            }
        }
        self.revision = batch.revision;
        Ok(())
    }

    fn set_store_unavailable(&mut self, host: &Host, store_unavailable: bool) {
        if store_unavailable != self.store_unavailable {
            let event =
                if store_unavailable { Event::StoreNotAnswering } else { Event::StoreAnswersAgain };
            emit(event, format_args!("host={}", host.settings.host));
            self.store_unavailable = store_unavailable;
        }
    }
}
