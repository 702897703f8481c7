//! Servers and links that are slower than they report, found from the pace of own answers.

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::clock::Millis;

/// Most servers and links that are remembered as slow.
const MAX_RECORDS: usize = 4_096;

/// Time in which an excess loses half of its weight.
const EXCESS_HALF_LIFE: Millis = Millis(10_000);

/// Time for which an element that took part in a fast chain counts as clean.
const CLEARED_SPAN: Millis = Millis(2_000);

/// Excess over the expected time between tokens that is put down to noise, in microseconds.
const NOISE_MARGIN_US: u64 = 5_000;

/// Multiple of the expected time between tokens that is put down to noise, in percent.
const NOISE_LIMIT_PERCENT: u64 = 150;

/// A server or a directed link between two servers.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Element {
    Server(u16),
    Link(u16, u16),
}

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

/// Excess times of servers and links.
#[derive(Clone, Debug, Default)]
pub(super) struct Outliers {
    records: HashMap<Element, Record>,
}

impl Outliers {
    /// Returns the time beyond the reported one that `element` takes per token, in microseconds.
    pub(super) fn excess_us(&self, now: Millis, element: Element) -> u64 {
        if self.records.is_empty() {
            return 0;
        }
        self.records.get(&element).map_or(0, |record| record.excess_us(now))
    }

    /// Learns from the pace of a chain.
    ///
    /// The excess of a slow chain goes to those of its elements that no fast chain has cleared; a
    /// fast chain clears its elements.
    pub(super) fn observe(&mut self, now: Millis, chain: &[u16], observed: u64, expected: u64) {
        let elements = elements(chain);
        let noise = (expected * NOISE_LIMIT_PERCENT / 100).max(expected + NOISE_MARGIN_US);
        if observed <= noise {
            elements.iter().for_each(|element| self.clear(now, *element));
            return;
        }
        let excess = observed - expected;
        let known: u64 = elements.iter().map(|element| self.excess_us(now, *element)).sum();
        if known >= excess {
            return;
        }
        let is_open = |element: &&Element| {
            self.records.get(element).is_none_or(|record| record.cleared_until <= now)
        };
        let not_cleared: SmallVec<[Element; 8]> =
            elements.iter().filter(is_open).copied().collect();
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

/// Returns the servers of a chain and its links, the one back to the first stage included.
fn elements(chain: &[u16]) -> SmallVec<[Element; 8]> {
    let mut list: SmallVec<[Element; 8]> = chain.iter().map(|s| Element::Server(*s)).collect();
    list.extend(chain.windows(2).map(|pair| Element::Link(pair[0], pair[1])));
    if let [first, .., last] = chain {
        list.push(Element::Link(*last, *first));
    }
    list
}
