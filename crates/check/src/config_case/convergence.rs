//! Recovery after the faults, after which all hosts hold what the store holds.

use serde_json::json;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::adopter::AdoptAction;
use yuccanotch_core::config::adopter::AdoptEvent;
use yuccanotch_core::config::adopter::Source;
use yuccanotch_core::config::manifest::Manifest;
use yuccanotch_core::config::publisher::ConfigChange;
use yuccanotch_core::config::reader::Chunks;
use yuccanotch_core::config::reader::Reader;
use yuccanotch_core::config::ConfigError;
use yuccanotch_core::ids::ConfigNumber;

use super::first_document;
use super::Simulation;
use crate::case::CaseResult;

/// Rounds without faults after which the hosts must have fetched everything they began on.
const RECOVERY_ROUNDS: usize = 40;

impl Simulation<'_> {
    /// Stops the faults and checks that all hosts converge on the configuration in the store.
    pub(super) fn recover_and_check_convergence(&mut self) -> CaseResult {
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
