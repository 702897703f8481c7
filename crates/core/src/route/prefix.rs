//! Remembers which servers ran which prompt prefixes recently and so may have them cached.

use std::collections::HashMap;
use std::collections::VecDeque;

use smallvec::SmallVec;

/// The most prefixes that are remembered.
const MAX_PREFIXES: usize = 16_384;

/// The most servers that are remembered for one prefix.
const MAX_HOLDERS: usize = 8;

/// Servers by hash of a prompt prefix. The oldest prefixes are dropped first.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixIndex {
    holders: HashMap<u64, SmallVec<[u16; 8]>>,
    order: VecDeque<u64>,
}

/// The servers that ran the longest known prefix of a prompt.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixMatch<'a> {
    /// The indices of the servers.
    pub(super) servers: &'a [u16],
    /// The number of whole blocks of the prompt in that prefix.
    pub(super) blocks: u32,
}

impl PrefixIndex {
    /// Records that `servers` ran a prompt with the given prefixes.
    pub(super) fn record(&mut self, prefixes: &[u64], servers: &[u16]) {
        for prefix in prefixes {
            if !self.holders.contains_key(prefix) {
                self.make_room();
                self.order.push_back(*prefix);
            }
            let holders = self.holders.entry(*prefix).or_default();
            for server in servers {
                holders.retain(|holder| holder != server);
                if holders.len() == MAX_HOLDERS {
                    holders.remove(0);
                }
                holders.push(*server);
            }
        }
    }

    fn make_room(&mut self) {
        if self.order.len() >= MAX_PREFIXES {
            if let Some(oldest) = self.order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }

    /// Returns the servers that ran the longest known one of `prefixes`, which are sorted by
    /// length.
    pub(super) fn find(&self, prefixes: &[u64]) -> PrefixMatch<'_> {
        let found = prefixes.iter().enumerate().rev().find_map(|(place, prefix)| {
            let servers = self.holders.get(prefix)?;
            Some(PrefixMatch { servers, blocks: place as u32 + 1 })
        });
        found.unwrap_or_default()
    }

    pub(super) fn heap_bytes(&self) -> usize {
        self.holders.capacity() * size_of::<(u64, SmallVec<[u16; 8]>)>()
            + self.order.capacity() * size_of::<u64>()
    }
}
