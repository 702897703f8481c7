//! Reservations of bytes by kind of use.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// The memory set aside for a process that buffers nothing, in bytes. One with a small configuration has
/// 6 to 8 MB; the rest is for large configurations.
const BASE_BYTES: usize = 24_000_000;
/// The part of the remaining memory that buffered bytes may take. The rest is for the free blocks of the
/// allocator.
const BUDGET_SHARE: (usize, usize) = (7, 8);
/// The least part of the memory limit that is the budget, as a divisor, for limits close to
/// [`BASE_BYTES`].
const MIN_BUDGET_SHARE: usize = 4;
/// The largest reservation that may use the last [`RESERVED_SHARE`] of its kind, in bytes. Ordinary
/// requests find room there while large bodies take all the rest.
pub const SMALL_BYTES: usize = 64 << 10;
/// The part of each kind that only small reservations may use, as a divisor.
const RESERVED_SHARE: usize = 8;
/// The number of kinds of use.
const KIND_COUNT: usize = 4;

/// What buffered bytes are used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UseKind {
    /// Bodies of requests, until the requests have ended.
    Bodies,
    /// Connections of callers, with the buffers for heads.
    Connections,
    /// Answers that are kept whole, until they are written to the caller.
    Answers,
    /// Parts of streamed answers that wait for slow callers.
    Chunks,
}

impl UseKind {
    /// All kinds.
    pub const ALL: [Self; KIND_COUNT] =
        [Self::Bodies, Self::Connections, Self::Answers, Self::Chunks];

    /// Returns the name of the kind in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Bodies => "bodies",
            Self::Connections => "connections",
            Self::Answers => "answers",
            Self::Chunks => "chunks",
        }
    }

    /// Returns the part of the budget for this kind, in sixteenths. Bodies are the largest, and are held
    /// for as long as their requests run, since they may be sent again.
    fn sixteenths(self) -> usize {
        match self {
            Self::Bodies => 10,
            Self::Answers => 3,
            Self::Connections => 2,
            Self::Chunks => 1,
        }
    }
}

/// Why bytes are not reserved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoRoom {
    /// Others use the room at present.
    Now,
    /// The kind has less room than asked for, even without other uses.
    Ever,
}

#[derive(Debug, Default)]
struct Account {
    /// The most bytes of each kind; [`usize::MAX`] without a memory limit.
    limits: [usize; KIND_COUNT],
    used: [AtomicUsize; KIND_COUNT],
}

/// Returns the bytes that a process with the memory limit `memory_bytes` may buffer.
fn budget_bytes(memory_bytes: u64) -> usize {
    let (numerator, denominator) = BUDGET_SHARE;
    let memory = usize::try_from(memory_bytes).unwrap_or(usize::MAX);
    let budget = memory.saturating_sub(BASE_BYTES) / denominator * numerator;
    budget.max(memory / MIN_BUDGET_SHARE)
}

/// Returns the largest single reservation of a kind that has `whole` bytes.
fn largest(whole: usize) -> usize {
    whole - whole / RESERVED_SHARE
}

/// The bytes that a process may buffer, and those that it does.
///
/// Reservations may be dropped in other threads, since buffers of answers may.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    account: Arc<Account>,
}

impl ByteBudget {
    /// Creates the budget of a process with the memory limit `memory_bytes`; `None` sets no bound.
    pub fn new(memory_bytes: Option<u64>) -> Self {
        let limits = UseKind::ALL.map(|kind| match memory_bytes {
            None => usize::MAX,
            Some(bytes) => budget_bytes(bytes) / 16 * kind.sixteenths(),
        });
        Self { account: Arc::new(Account { limits, used: Default::default() }) }
    }

    /// Returns the most bytes of `kind`; [`usize::MAX`] without a memory limit.
    pub fn limit(&self, kind: UseKind) -> usize {
        self.account.limits[kind as usize]
    }

    /// Returns the largest single reservation of `kind` that can ever be made.
    pub fn largest(&self, kind: UseKind) -> usize {
        largest(self.limit(kind))
    }

    /// Returns the reserved bytes of `kind`.
    pub fn used(&self, kind: UseKind) -> usize {
        self.account.used[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns an empty reservation of `kind`.
    pub fn reservation(&self, kind: UseKind) -> Reservation {
        Reservation { account: self.account.clone(), kind, bytes: 0 }
    }

    /// Reserves `bytes` of `kind`.
    ///
    /// # Errors
    ///
    /// Returns an error when the kind has too little room, at present or ever.
    pub fn reserve(&self, kind: UseKind, bytes: usize) -> Result<Reservation, NoRoom> {
        let mut reservation = self.reservation(kind);
        reservation.grow(bytes)?;
        Ok(reservation)
    }
}

/// Reserved bytes, which are free again when the value is dropped.
#[derive(Debug)]
pub struct Reservation {
    account: Arc<Account>,
    kind: UseKind,
    bytes: usize,
}

impl Reservation {
    /// Returns the reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves `more` bytes in addition.
    ///
    /// # Errors
    ///
    /// Returns an error when the kind has too little room, at present or ever; what was reserved before
    /// stays.
    pub fn grow(&mut self, more: usize) -> Result<(), NoRoom> {
        let whole = self.account.limits[self.kind as usize];
        let bytes = self.bytes.saturating_add(more);
        let limit = if bytes > SMALL_BYTES { largest(whole) } else { whole };
        if bytes > limit {
            return Err(NoRoom::Ever);
        }
        let used = &self.account.used[self.kind as usize];
        let add = |used: usize| used.checked_add(more).filter(|sum| *sum <= limit);
        match used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add) {
            Ok(_) => {
                self.bytes = bytes;
                Ok(())
            }
            Err(_) => Err(NoRoom::Now),
        }
    }

    /// Reserves `more` bytes in addition, also beyond the limit. For the least that a request needs to
    /// go on.
    pub fn grow_beyond(&mut self, more: usize) {
        self.account.used[self.kind as usize].fetch_add(more, Ordering::Relaxed);
        self.bytes = self.bytes.saturating_add(more);
    }

    /// Frees all but `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let freed = self.bytes.saturating_sub(bytes);
        self.account.used[self.kind as usize].fetch_sub(freed, Ordering::Relaxed);
        self.bytes -= freed;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
