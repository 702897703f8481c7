//! Finds servers and links that are slower than reported, from the time between tokens of the
//! host's own answers.

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::clock::Millis;

/// The most servers and links of which a record is kept.
const MAX_RECORDS: usize = 4_096;

/// The half-life of a recorded excess time.
const EXCESS_HALF_LIFE: Millis = Millis(10_000);

/// The time for which an element of a chain that was fast enough gets no share of excess times.
const CLEARED_SPAN: Millis = Millis(2_000);

/// The excess over the expected time between tokens that is ignored as noise, in microseconds.
const NOISE_MARGIN_US: u64 = 5_000;

/// The observed time between tokens up to which an excess is ignored as noise, in percent of the
/// expected time.
const NOISE_LIMIT_PERCENT: u64 = 150;

/// A server or a directed link between two servers.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Element {
    Server(u16),
    Link(u16, u16),
}

/// The excess time of an element as of `at`, and until when the element counts as cleared.
#[derive(Clone, Copy, Debug)]
struct Record {
    excess_us: u64,
    cleared_until: Millis,
    at: Millis,
}

impl Record {
    fn excess_us(&self, now: Millis) -> u64 {
        let halvings = now.since(self.at).0 / EXCESS_HALF_LIFE.0;
        self.excess_us >> halvings.min(63)
    }
}

/// The excess times of servers and links.
#[derive(Clone, Debug, Default)]
pub(super) struct Outliers {
    records: HashMap<Element, Record>,
}

impl Outliers {
    /// Returns the time per token that `element` takes in excess of the reported one, in
    /// microseconds.
    pub(super) fn excess_us(&self, now: Millis, element: Element) -> u64 {
        if self.records.is_empty() {
            return 0;
        }
        self.records.get(&element).map_or(0, |record| record.excess_us(now))
    }

    /// Updates the records from the observed and the expected time between tokens of a chain, in
    /// microseconds.
    ///
    /// A chain that was fast enough clears its elements. The excess of a slow chain, less the
    /// excess already recorded for its elements, is divided among those elements that are not
    /// cleared, or among all if each is cleared.
    pub(super) fn observe(&mut self, now: Millis, chain: &[u16], observed: u64, expected: u64) {
        let elements = elements(chain);
        let noise_limit = (expected * NOISE_LIMIT_PERCENT / 100).max(expected + NOISE_MARGIN_US);
        if observed <= noise_limit {
            elements.iter().for_each(|element| self.clear(now, *element));
            return;
        }
        let excess = observed - expected;
        let known: u64 = elements.iter().map(|element| self.excess_us(now, *element)).sum();
        if known >= excess {
            return;
        }
        let is_not_cleared = |element: &&Element| {
            self.records.get(element).is_none_or(|record| record.cleared_until <= now)
        };
        let not_cleared: SmallVec<[Element; 8]> =
            elements.iter().filter(is_not_cleared).copied().collect();
        let blamed = if not_cleared.is_empty() { elements } else { not_cleared };
        let share = (excess - known) / blamed.len().max(1) as u64;
        blamed.iter().for_each(|element| self.add(now, *element, share));
    }

    fn clear(&mut self, now: Millis, element: Element) {
        let cleared_until = now + CLEARED_SPAN;
        if self.records.contains_key(&element) || self.make_room(now) {
            self.records.insert(element, Record { excess_us: 0, cleared_until, at: now });
        }
    }

    fn add(&mut self, now: Millis, element: Element, excess_us: u64) {
        let known = self.excess_us(now, element);
        if self.records.contains_key(&element) || self.make_room(now) {
            let record =
                Record { excess_us: known + excess_us, cleared_until: Millis::ZERO, at: now };
            self.records.insert(element, record);
        }
    }

    fn make_room(&mut self, now: Millis) -> bool {
        if self.records.len() >= MAX_RECORDS {
            let is_live = |record: &Record| record.excess_us(now) > 0 || record.cleared_until > now;
            self.records.retain(|_, record| is_live(record));
        }
        self.records.len() < MAX_RECORDS
    }

    pub(super) fn heap_bytes(&self) -> usize {
        self.records.capacity() * size_of::<(Element, Record)>()
    }
}

/// Returns the servers and the links of a chain, including the link back to the first stage.
fn elements(chain: &[u16]) -> SmallVec<[Element; 8]> {
    let mut list: SmallVec<[Element; 8]> = chain.iter().map(|s| Element::Server(*s)).collect();
    list.extend(chain.windows(2).map(|pair| Element::Link(pair[0], pair[1])));
    if let [first, .., last] = chain {
        list.push(Element::Link(*last, *first));
    }
    list
}
