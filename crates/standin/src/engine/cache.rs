//! Prefix cache of an engine, with a capacity limit and events for insertions and evictions.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use yuccanotch_core::engine::CacheEvent;

/// The number of most recent events that are kept for readers.
const MAX_EVENTS: usize = 4096;

#[derive(Debug)]
struct TimedEvent {
    at_us: u64,
    event: CacheEvent,
}

/// A set of prefixes that evicts the least recently used one.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    capacity: usize,
    /// The number of the last use of each prefix.
    use_by_prefix: HashMap<u64, u64>,
    /// The prefix of each last use, oldest first.
    prefix_by_use: BTreeMap<u64, u64>,
    uses: u64,
    sequence: u64,
    events: VecDeque<TimedEvent>,
}

impl PrefixCache {
    /// Creates an empty cache for at most `capacity` prefixes.
    pub(crate) fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Returns the number of `prefixes`, given shortest first, that are held before the first gap.
    pub(crate) fn held_count(&self, prefixes: &[u64]) -> usize {
        prefixes.iter().take_while(|prefix| self.use_by_prefix.contains_key(prefix)).count()
    }

    /// Inserts prefixes and evicts the least recently used ones.
    ///
    /// An event for which `is_lost` returns true is not kept, but its sequence number is used up.
    pub(crate) fn insert(
        &mut self,
        now_us: u64,
        prefixes: &[u64],
        mut is_lost: impl FnMut() -> bool,
    ) {
        for &prefix in prefixes {
            self.uses += 1;
            let before = self.use_by_prefix.insert(prefix, self.uses);
            self.prefix_by_use.insert(self.uses, prefix);
            match before {
                Some(before) => {
                    self.prefix_by_use.remove(&before);
                }
                None => self.push_event(now_us, prefix, true, is_lost()),
            }
        }
        while self.use_by_prefix.len() > self.capacity {
            let Some((_, oldest)) = self.prefix_by_use.pop_first() else { return };
            self.use_by_prefix.remove(&oldest);
            self.push_event(now_us, oldest, false, is_lost());
        }
    }

    fn push_event(&mut self, at_us: u64, prefix: u64, held: bool, is_lost: bool) {
        self.sequence += 1;
        if is_lost {
            return;
        }
        let event = CacheEvent { sequence: self.sequence, prefix, held };
        self.events.push_back(TimedEvent { at_us, event });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events with a sequence number above `after` that are at least `lag_us` old.
    pub(crate) fn events(&self, now_us: u64, after: u64, lag_us: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|timed| timed.event.sequence > after && timed.at_us + lag_us <= now_us)
            .map(|timed| timed.event.clone())
            .collect()
    }
}
