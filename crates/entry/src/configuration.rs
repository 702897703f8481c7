//! Configuration in force on this host.

use std::sync::Arc;
use std::sync::RwLock;
use std::thread;
use std::time::Duration;

use yuccanotch_core::config::read_current;
use yuccanotch_core::config::Active;
use yuccanotch_core::event::emit;
use yuccanotch_core::event::Event;

use crate::host::Host;

const POLL: Duration = Duration::from_millis(100);

/// Holds the configuration in force.
#[derive(Debug, Default)]
pub struct Configuration {
    active: RwLock<Option<Arc<Active>>>,
}

impl Configuration {
    /// Creates a holder without a configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Option<Arc<Active>> {
        self.active.read().expect("no panic while adopting").clone()
    }

    /// Adopts a configuration if its number is higher than the one in force.
    pub fn adopt(&self, found: Active) -> bool {
        let mut active = self.active.write().expect("no panic while adopting");
        if active.as_ref().is_some_and(|active| active.number >= found.number) {
            return false;
        }
        *active = Some(Arc::new(found));
        true
    }
}

/// Follows the store until the host stops.
pub fn run(host: &Arc<Host>) {
    while !host.is_stopped() {
        if let Ok(Some(found)) = read_current(&*host.store) {
            let number = found.number;
            if host.configuration.adopt(found) {
                host.peers.set_config(number);
                let name = &host.settings.host;
                emit(Event::ConfigAdopted, format_args!("host={name} number={number}"));
            }
        }
        thread::sleep(POLL);
    }
}
