//! The items that a host has read from the store, with their revisions, so that it can tell other
//! hosts what has changed since a revision that they name.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::defect::planted;

/// The most removals that are remembered; a host that is further behind gets all items.
const MAX_REMOVALS: usize = 2_000;

/// A change of one item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ItemChange {
    /// The key of the item.
    pub key: String,
    /// The revision of the change.
    pub revision: u64,
    /// The value that was written; `None` if the item was removed.
    pub value: Option<Bytes>,
}

/// The changes up to a revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Changes {
    /// Whether the changes are all present items, so that any other item is gone.
    pub is_complete: bool,
    /// The revision up to which the changes are complete.
    pub revision: u64,
    /// The last change of each item, in no particular order.
    pub items: Vec<ItemChange>,
}

/// An item that is present.
#[derive(Clone, Debug)]
struct LoggedItem {
    revision: u64,
    value: Bytes,
}

/// The items as of a revision, and the removals before it.
#[derive(Debug, Default)]
pub struct ItemLog {
    items: BTreeMap<String, LoggedItem>,
    removals: VecDeque<(u64, String)>,
    // The revision up to which removals may not be remembered.
    forgotten: u64,
    revision: u64,
}

impl ItemLog {
    /// Returns the revision up to which all changes are applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a change unless it is known; returns whether it changed an item.
    ///
    /// All changes up to the revision of the log are known, also those of items that are gone.
    fn apply(&mut self, change: &ItemChange) -> bool {
        let known = self.items.get(&change.key).map_or(0, |item| item.revision);
        let is_known = change.revision <= self.revision.max(known);
        if is_known && !planted!(ItemLogOlderChange) {
            return false;
        }
        match &change.value {
            Some(value) => {
                let item = LoggedItem { revision: change.revision, value: value.clone() };
                self.items.insert(change.key.clone(), item);
                true
            }
            None => self.remove(change.revision, change.key.clone()),
        }
    }

    fn remove(&mut self, revision: u64, key: String) -> bool {
        let was_present = self.items.remove(&key).is_some();
        self.record_removal(revision, key);
        was_present
    }

    fn record_removal(&mut self, revision: u64, key: String) {
        self.removals.push_back((revision, key));
        if self.removals.len() > MAX_REMOVALS {
            if let Some((revision, _)) = self.removals.pop_front() {
                self.forgotten = self.forgotten.max(revision);
            }
        }
    }

    /// Applies changes; returns those that were not known yet. If `changes` are complete and not
    /// older than the log, items that are missing there are removed.
    pub fn merge(&mut self, changes: Changes) -> Vec<ItemChange> {
        let mut applied = Vec::new();
        if changes.is_complete && changes.revision >= self.revision {
            for key in self.missing_in(&changes) {
                self.remove(changes.revision, key.clone());
                applied.push(ItemChange { key, revision: changes.revision, value: None });
            }
            // Items that came and went in the meantime have never been seen here.
            if !planted!(ItemLogOmitsRemovals) {
                self.forgotten = changes.revision;
            }
        }
        for change in changes.items {
            if self.apply(&change) {
                applied.push(change);
            }
        }
        self.revision = self.revision.max(changes.revision);
        applied
    }

    /// Returns the keys of the items that complete changes would hold if they were still present.
    fn missing_in(&self, changes: &Changes) -> Vec<String> {
        let present: HashSet<&str> = changes.items.iter().map(|c| c.key.as_str()).collect();
        let missing = self.items.iter().filter(|(key, item)| {
            item.revision <= changes.revision && !present.contains(key.as_str())
        });
        missing.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the changes after `revision`, or all items if not all removals since then are
    /// remembered.
    pub fn changes_after(&self, revision: u64) -> Changes {
        let is_complete = revision == 0 || revision < self.forgotten;
        let after = if is_complete { 0 } else { revision };
        let written = self.items.iter().filter(|(_, item)| item.revision > after);
        let mut items: Vec<ItemChange> = written
            .map(|(key, item)| ItemChange {
                key: key.clone(),
                revision: item.revision,
                value: Some(item.value.clone()),
            })
            .collect();
        if !is_complete {
            let removed = self
                .removals
                .iter()
                .filter(|(at, key)| *at > after && !self.items.contains_key(key));
            items.extend(removed.map(|(at, key)| ItemChange {
                key: key.clone(),
                revision: *at,
                value: None,
            }));
        }
        Changes { is_complete, revision: self.revision, items }
    }
}
