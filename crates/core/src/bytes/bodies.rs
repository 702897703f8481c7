//! The bodies that are being read, and which of them is closed when others need its room.

use std::collections::BTreeMap;

use crate::clock::Millis;

/// The bytes that count as progress. A caller that sends single bytes makes none.
const PROGRESS_BYTES: usize = 4 << 10;
/// The time without progress after which a body may be closed for others. A caller of 16 KB/s makes
/// progress in less, so that only slower ones are affected, and only while the budget is exhausted.
const STRAGGLER_TIME: Millis = Millis(250);

/// A body that is being read.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BodyId(u64);

#[derive(Clone, Copy, Debug)]
struct OpenBody {
    /// The bytes received since the last progress.
    pending: usize,
    progressed_at: Millis,
    /// Whether the host itself holds the body up, since it has no room for more of it.
    is_held_up: bool,
}

/// The bodies that are being read, each with its progress.
#[derive(Debug, Default)]
pub struct OpenBodies {
    bodies: BTreeMap<BodyId, OpenBody>,
    next: u64,
}

impl OpenBodies {
    /// Adds a body whose reading begins at `now`.
    pub fn begin(&mut self, now: Millis) -> BodyId {
        let id = BodyId(self.next);
        self.next += 1;
        self.bodies.insert(id, OpenBody { pending: 0, progressed_at: now, is_held_up: false });
        id
    }

    /// Records `bytes` received of a body.
    pub fn on_bytes(&mut self, now: Millis, id: BodyId, bytes: usize) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.pending += bytes;
            if body.pending >= PROGRESS_BYTES {
                body.pending = 0;
                body.progressed_at = now;
            }
        }
    }

    /// Records that the host holds a body up, or reads it again. It makes no progress meanwhile, which
    /// is not the fault of its caller.
    pub fn set_held_up(&mut self, now: Millis, id: BodyId, is_held_up: bool) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.is_held_up = is_held_up;
            body.progressed_at = now;
        }
    }

    /// Removes a body that is complete or given up.
    pub fn end(&mut self, id: BodyId) {
        self.bodies.remove(&id);
    }

    /// Returns the number of bodies that are being read.
    pub fn count(&self) -> usize {
        self.bodies.len()
    }

    /// Removes and returns the body that has made no progress for the longest time; `None` if all make
    /// progress.
    pub fn take_straggler(&mut self, now: Millis) -> Option<BodyId> {
        let stragglers = self.bodies.iter().filter(|(_, body)| {
            !body.is_held_up && now.since(body.progressed_at) >= STRAGGLER_TIME
        });
        let (id, _) = stragglers.min_by_key(|(_, body)| body.progressed_at)?;
        let id = *id;
        self.bodies.remove(&id);
        Some(id)
    }
}
