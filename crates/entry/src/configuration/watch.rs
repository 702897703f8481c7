//! Holds the store's watch on the hosts that watch for their failure domain.

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

const WATCH_WAIT: Millis = Millis(10_000);
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const OTHERS_PAUSE: Duration = Duration::from_millis(500);

/// Starts the thread of the watch, which ends some time after the host has stopped.
pub(super) fn start(host: &Arc<Host>) {
    let mut watch = Watch {
        host: Arc::downgrade(host),
        store: Arc::clone(&host.store),
        revision: 0,
        away: false,
    };
    thread::Builder::new()
        .name("config-watch".to_owned())
        .spawn(move || while watch.step().is_some() {})
        .expect("the operating system grants a thread");
}

/// Returns the entry hosts of the own failure domain, the own one included.
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
/// Returns an error when no answer came.
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

struct Watch {
    /// Not held during a wait, so that a stopped host is dropped at once.
    host: Weak<Host>,
    store: Arc<dyn Store>,
    revision: u64,
    away: bool,
}

impl Watch {
    fn host(&self) -> Option<Arc<Host>> {
        self.host.upgrade().filter(|host| !host.is_stopped())
    }

    /// Waits once; `None` when the host has stopped.
    fn step(&mut self) -> Option<()> {
        if !self.is_due(&*self.host()?) {
            self.revision = 0;
            thread::sleep(OTHERS_PAUSE);
            return Some(());
        }
        let waited = self.store.watch(MANIFEST_KEY, self.revision, WATCH_WAIT);
        let host = self.host()?;
        match waited.and_then(|batch| self.read_change(&host, &batch)) {
            Ok(()) => self.set_away(&host, false),
            Err(_) => {
                self.set_away(&host, true);
                self.revision = 0;
            }
        }
        drop(host);
        // An empty store answers at once.
        if self.revision == 0 {
            thread::sleep(RETRY_PAUSE);
        }
        Some(())
    }

    fn is_due(&self, host: &Host) -> bool {
        let own = &host.settings.host;
        host.configuration.current().is_none()
            || is_store_watcher(&host.settings.domain, &domain_members(host), own)
    }

    fn read_change(&mut self, host: &Host, batch: &WatchBatch) -> Result<(), StoreError> {
        if self.revision == 0 || !batch.changes.is_empty() {
            if let Some(manifest) = read_manifest(host)? {
                let event = AdoptEvent::Manifest { from: Source::Store, manifest: Some(manifest) };
                let _ = host.configuration.tx.send(event);
            }
        }
        self.revision = batch.revision;
        Ok(())
    }

    fn set_away(&mut self, host: &Host, away: bool) {
        if away != self.away {
            let event = if away { Event::StoreNotAnswering } else { Event::StoreAnswersAgain };
            emit(event, format_args!("host={}", host.settings.host));
            self.away = away;
        }
    }
}
