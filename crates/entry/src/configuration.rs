//! Configuration in force on this host.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::RwLock;
use std::thread;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use yuccanotch_core::config::Declaration;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::event::emit;
use yuccanotch_core::event::Event;
use yuccanotch_core::ids::ConfigNumber;
use yuccanotch_core::name::TeamName;

use crate::host::Host;

/// Key of the configuration in the store.
pub const CONFIG_KEY: &str = "config/current";

const POLL: Duration = Duration::from_millis(100);

/// A configuration with its number, as kept in the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Numbered {
    /// Number.
    pub number: ConfigNumber,
    /// Declaration.
    pub declaration: Declaration,
}

/// The configuration in force.
#[derive(Debug)]
pub struct Active {
    /// Number.
    pub number: ConfigNumber,
    /// Declaration.
    pub declaration: Declaration,
    /// Teams by the digest of their keys.
    pub team_by_key: HashMap<Digest, TeamName>,
}

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
    pub fn adopt(&self, numbered: Numbered) -> bool {
        let mut active = self.active.write().expect("no panic while adopting");
        if active.as_ref().is_some_and(|active| active.number >= numbered.number) {
            return false;
        }
        let teams = &numbered.declaration.teams;
        let team_by_key = teams
            .iter()
            .flat_map(|(name, team)| team.keys.iter().map(|key| (*key, name.clone())))
            .collect();
        let Numbered { number, declaration } = numbered;
        *active = Some(Arc::new(Active { number, declaration, team_by_key }));
        true
    }
}

/// Follows the store until the host stops.
pub fn run(host: &Arc<Host>) {
    while !host.is_stopped() {
        if let Ok(Some(found)) = host.store.get(CONFIG_KEY) {
            if let Ok(numbered) = serde_json::from_slice::<Numbered>(&found.value) {
                let number = numbered.number;
                if host.configuration.adopt(numbered) {
                    let name = &host.settings.host;
                    emit(Event::ConfigAdopted, format_args!("host={name} number={number}"));
                }
            }
        }
        thread::sleep(POLL);
    }
}
