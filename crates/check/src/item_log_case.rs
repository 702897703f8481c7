//! Randomised case of the changes that hosts pass to each other: whatever the order in which hosts
//! read from the store and from each other, none goes back, each has the items of the store as of the
//! revision that it names, and all end with the items of the store, also when the store comes back
//! from an older copy.

use std::collections::BTreeMap;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::forward::item_log::Changes;
use yuccanotch_core::forward::item_log::ItemChange;
use yuccanotch_core::forward::item_log::ItemLog;
use yuccanotch_core::forward::revision::era_of;
use yuccanotch_core::forward::revision::order_over_eras;

use crate::case::CaseResult;
use crate::trace::Trace;

/// The number of steps of a run.
const STEPS: u32 = 120;
/// The number of kinds of steps beside copies of the store and returns from them.
const COMMON_STEPS: u32 = 28;
/// The number of keys.
const KEYS: u32 = 6;

/// A host: its log, and the items as its readers saw them change.
#[derive(Debug, Default)]
struct Host {
    log: ItemLog,
    items: BTreeMap<String, (u64, Bytes)>,
}

impl Host {
    fn merge(&mut self, changes: Changes) -> CaseResult {
        for change in self.log.merge(changes) {
            let known = self.items.get(&change.key).map_or(0, |(revision, _)| *revision);
            if change.revision < known {
                return Err(format!("{} goes from {known} to {}", change.key, change.revision));
            }
            match change.value {
                Some(value) => {
                    self.items.insert(change.key, (change.revision, value));
                }
                None => {
                    self.items.remove(&change.key);
                }
            }
        }
        Ok(())
    }
}

/// The store: the present items, every change, and the items as of each revision, in the present era.
#[derive(Clone, Debug, Default)]
struct Store {
    items: BTreeMap<String, (u64, Bytes)>,
    history: Vec<ItemChange>,
    past_items: BTreeMap<u64, BTreeMap<String, (u64, Bytes)>>,
    era: u64,
    own_revision: u64,
}

impl Store {
    /// Returns the present revision as hosts order it.
    fn revision(&self) -> u64 {
        order_over_eras(self.era, self.own_revision)
    }

    fn change(&mut self, key: String, value: Option<Bytes>) {
        self.own_revision += 1;
        let revision = self.revision();
        match &value {
            Some(value) => {
                self.items.insert(key.clone(), (revision, value.clone()));
            }
            None => {
                self.items.remove(&key);
            }
        }
        self.history.push(ItemChange { key, revision, value });
        self.past_items.insert(revision, self.items.clone());
    }

    /// Returns the items as of a revision.
    fn items_at(&self, revision: u64) -> BTreeMap<String, (u64, Bytes)> {
        self.past_items.get(&revision).cloned().unwrap_or_default()
    }

    /// Comes back from `copy`, in the next era, with the revisions of the copy.
    fn restore(&mut self, copy: &Self) {
        let era = self.era + 1;
        let earlier_items = std::mem::take(&mut self.past_items);
        *self = copy.clone();
        self.era = era;
        let own_revision = |ordered: u64| ordered - order_over_eras(copy.era, 0);
        for (revision, _) in self.items.values_mut() {
            *revision = order_over_eras(era, own_revision(*revision));
        }
        for change in &mut self.history {
            change.revision = order_over_eras(era, own_revision(change.revision));
        }
        self.past_items = earlier_items;
        self.past_items.insert(self.revision(), self.items.clone());
    }

    fn all(&self) -> Changes {
        let items = self.items.iter().map(|(key, (revision, value))| ItemChange {
            key: key.clone(),
            revision: *revision,
            value: Some(value.clone()),
        });
        Changes { is_complete: true, revision: self.revision(), items: items.collect() }
    }

    /// Returns the answer to a host that has read up to `revision` in `era`; a host that has read an
    /// earlier era reads everything.
    fn after(&self, revision: u64, era: u64) -> Changes {
        if era != self.era {
            return self.all();
        }
        let items = self.history.iter().filter(|c| c.revision > revision).cloned().collect();
        Changes { is_complete: false, revision: self.revision(), items }
    }
}

/// Runs the case.
///
/// # Errors
///
/// Returns the violated invariant.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut store = Store::default();
    let mut copy = store.clone();
    let mut hosts: Vec<Host> = (0..rng.random_range(2..5)).map(|_| Host::default()).collect();
    // Answers of the store that are still on their way, with the index of the receiver.
    let mut delayed: Vec<(usize, Changes)> = Vec::new();
    for _ in 0..STEPS {
        let index = rng.random_range(0..hosts.len());
        match rng.random_range(0..COMMON_STEPS + 1) {
            0..=11 => {
                let key = format!("k{}", rng.random_range(0..KEYS));
                let is_removal = rng.random_bool(0.3) && store.items.contains_key(&key);
                let value = Bytes::from(format!("v{}-{}", store.era, store.own_revision + 1));
                trace.add(format!("change {key} removal {is_removal}"));
                store.change(key, (!is_removal).then_some(value));
            }
            12..=15 => {
                trace.add(format!("host {index} reads all"));
                delayed.push((index, store.all()));
            }
            16..=19 => {
                trace.add(format!("host {index} watches"));
                let revision = hosts[index].log.revision();
                delayed.push((index, store.after(revision, era_of(revision))));
            }
            20..=23 => {
                if let Some((to, changes)) = delayed.pop() {
                    trace.add(format!("answer to host {to}"));
                    hosts[to].merge(changes)?;
                    check_items(&store, &hosts[to], to)?;
                }
            }
            COMMON_STEPS if rng.random_bool(0.5) => copy = store.clone(),
            COMMON_STEPS => {
                trace.add(format!("the store comes back from revision {}", copy.own_revision));
                store.restore(&copy);
            }
            _ => {
                let from = rng.random_range(0..hosts.len());
                trace.add(format!("host {index} fetches from host {from}"));
                fetch(&mut hosts, index, from)?;
                check_items(&store, &hosts[index], index)?;
            }
        }
    }
    for (to, changes) in delayed {
        hosts[to].merge(changes)?;
    }
    let revision = hosts[0].log.revision();
    hosts[0].merge(store.after(revision, era_of(revision)))?;
    for index in 1..hosts.len() {
        fetch(&mut hosts, index, index - 1)?;
        if hosts[index].items != store.items {
            return Err(format!("host {index} has {:?}, the store {:?}", hosts[index], store));
        }
    }
    Ok(())
}

fn fetch(hosts: &mut [Host], to: usize, from: usize) -> CaseResult {
    let changes = hosts[from].log.changes_after(hosts[to].log.revision());
    hosts[to].merge(changes)
}

/// Checks that a host has the items of the store as of the revision that its log names.
fn check_items(store: &Store, host: &Host, index: usize) -> CaseResult {
    let revision = host.log.revision();
    let expected = store.items_at(revision);
    if host.items == expected {
        return Ok(());
    }
    Err(format!("host {index} at {revision} has {:?} instead of {expected:?}", host.items))
}
