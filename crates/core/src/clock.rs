//! The clock and time types shared by all modules, in milliseconds.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;

/// A point in time or a span, in milliseconds.
///
/// Points in time are counted from the start of a [`Clock`], or from the Unix epoch for values that
/// are written to the platform's store.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The start of a clock, or a span of zero length.
    pub const ZERO: Self = Self(0);

    /// Returns the span from `earlier` to `self`, or zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Converts the span to a standard duration.
    pub fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

impl From<Duration> for Millis {
    fn from(span: Duration) -> Self {
        Self(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}

/// A source of time for the parts of a process that perform I/O.
#[derive(Clone, Debug)]
pub enum Clock {
    /// The monotonic clock of the machine, counted from the creation of this value.
    Monotonic(Instant),
    /// A clock that moves only when a test advances it.
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// Creates a monotonic clock that starts at zero.
    pub fn monotonic() -> Self {
        Self::Monotonic(Instant::now())
    }

    /// Creates a manual clock that starts at zero.
    pub fn manual() -> Self {
        Self::Manual(Arc::new(AtomicU64::new(0)))
    }

    /// Returns the time since the start of the clock.
    pub fn now(&self) -> Millis {
        match self {
            Self::Monotonic(start) => start.elapsed().into(),
            Self::Manual(now) => Millis(now.load(Ordering::SeqCst)),
        }
    }

    /// Returns the time since the Unix epoch.
    ///
    /// A manual clock returns the time since its start, so that tests are reproducible.
    pub fn unix_now(&self) -> Millis {
        match self {
            Self::Monotonic(_) => {
                SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().into()
            }
            Self::Manual(_) => self.now(),
        }
    }

    /// Advances a manual clock by `span`; has no effect on a monotonic clock.
    pub fn advance(&self, span: Millis) {
        if let Self::Manual(now) = self {
            now.fetch_add(span.0, Ordering::SeqCst);
        }
    }
}
