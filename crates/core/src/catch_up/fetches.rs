//! The fetches of a host that is behind.

use std::net::SocketAddrV4;

use smallvec::SmallVec;

use crate::catch_up::Waits;
use crate::clock::Millis;
use crate::defect::planted;

/// The most fetches at a time.
const MAX_RUNNING: usize = 2;

/// How a fetch ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FetchEnd {
    /// The changes came and are applied.
    Applied,
    /// The source is busy and names another host that has the changes.
    Referred(SocketAddrV4),
    /// No usable answer came.
    Failed,
}

/// A fetch in progress.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    source: SocketAddrV4,
    is_referred: bool,
    /// When the last bytes came, or else when the fetch began.
    heard_at: Millis,
    has_bytes: bool,
}

/// The fetches in progress and what earlier ones have shown about the sources.
#[derive(Debug)]
pub struct Fetches {
    waits: Waits,
    running: SmallVec<[Fetch; MAX_RUNNING]>,
    /// Sources from which a fetch failed, and until when others are asked first.
    aside: SmallVec<[(SocketAddrV4, Millis); 4]>,
    /// A host that is asked next, since a source or its own answer has named it.
    referral: Option<SocketAddrV4>,
}

impl Fetches {
    /// Creates the state of a host that has fetched nothing.
    pub fn new(waits: Waits) -> Self {
        Self { waits, running: SmallVec::new(), aside: SmallVec::new(), referral: None }
    }

    /// Returns the source to ask now, if any, and counts the fetch as begun. `sources` are the hosts
    /// with newer changes, the best one first.
    ///
    /// While a source leaves a request without a first byte, another one is asked beside it.
    pub fn next(&mut self, now: Millis, sources: &[SocketAddrV4]) -> Option<SocketAddrV4> {
        self.aside.retain(|(_, until)| now < *until);
        let is_waiting = |fetch: &Fetch| {
            !fetch.has_bytes && now.since(fetch.heard_at) >= self.waits.first_byte()
        };
        let has_room = match self.running.len() {
            0 => true,
            running => running < MAX_RUNNING && !planted!(CatchUpAsksOneSource),
        };
        if !has_room || !self.running.iter().all(is_waiting) {
            return None;
        }
        let referral = self.referral.take().filter(|source| self.may_ask(*source));
        let source = referral.or_else(|| self.best_of(sources))?;
        let is_referred = referral.is_some();
        self.running.push(Fetch { source, is_referred, heard_at: now, has_bytes: false });
        Some(source)
    }

    /// Makes the next fetch one from `source`, which is known to have newer changes.
    pub fn refer(&mut self, source: SocketAddrV4) {
        self.referral = Some(source);
    }

    fn best_of(&self, sources: &[SocketAddrV4]) -> Option<SocketAddrV4> {
        let is_idle = |source: &&SocketAddrV4| !self.is_running(**source);
        let preferred = sources.iter().find(|source| self.may_ask(**source));
        preferred.or_else(|| sources.iter().find(is_idle)).copied()
    }

    fn may_ask(&self, source: SocketAddrV4) -> bool {
        let is_aside = self.aside.iter().any(|(aside, _)| *aside == source);
        !self.is_running(source) && (!is_aside || planted!(CatchUpForgetsFailures))
    }

    fn is_running(&self, source: SocketAddrV4) -> bool {
        self.running.iter().any(|fetch| fetch.source == source)
    }

    /// Returns whether the fetch in progress from `source` follows a referral.
    pub fn is_referred(&self, source: SocketAddrV4) -> bool {
        self.running.iter().any(|fetch| fetch.source == source && fetch.is_referred)
    }

    /// Records that a source has sent bytes.
    pub fn on_bytes(&mut self, now: Millis, source: SocketAddrV4) {
        for fetch in self.running.iter_mut().filter(|fetch| fetch.source == source) {
            fetch.heard_at = now;
            fetch.has_bytes = true;
        }
    }

    /// Records the end of a fetch.
    pub fn on_end(&mut self, now: Millis, source: SocketAddrV4, end: FetchEnd) {
        self.running.retain(|fetch| fetch.source != source);
        match end {
            FetchEnd::Applied => {}
            FetchEnd::Referred(to) => self.referral = Some(to),
            FetchEnd::Failed => self.aside.push((source, now + self.waits.source_backoff())),
        }
    }

    /// Returns the sources that have sent nothing for so long that their fetches are to be given up.
    pub fn overdue(&self, now: Millis) -> SmallVec<[SocketAddrV4; MAX_RUNNING]> {
        let is_overdue = |fetch: &&Fetch| {
            // A request may wait for its turn while the source serves others.
            let limit =
                if fetch.has_bytes { self.waits.silence() } else { self.waits.queue_wait() };
            now.since(fetch.heard_at) >= limit
        };
        self.running.iter().filter(is_overdue).map(|fetch| fetch.source).collect()
    }
}
