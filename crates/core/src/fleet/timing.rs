//! Periods and limits of membership and observation, and the time of observations.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;

const STAMP_UNIT_MS: u64 = 64;

/// Time of an observation on its observer's wall clock, in units of 64 ms, modulo 2^32.
///
/// A stamp travels unchanged, so that an update that comes back is known to be the same one. Two
/// observers' stamps differ by the skew of their clocks, which only makes one prevail.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Stamp(pub u32);

/// Difference of two stamps; negative when the observer's clock is ahead of the sender's.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Age(pub i32);

impl Stamp {
    /// Returns the stamp of a point in time since the Unix epoch.
    pub fn at(unix: Millis) -> Self {
        Self((unix.0 / STAMP_UNIT_MS) as u32)
    }

    /// Returns the age of `earlier` at this stamp.
    pub fn age_of(self, earlier: Self) -> Age {
        Age(self.0.wrapping_sub(earlier.0) as i32)
    }

    /// Returns the stamp that had the given age at this stamp.
    pub fn before(self, age: Age) -> Self {
        Self(self.0.wrapping_sub(age.0 as u32))
    }

    /// Returns whether this stamp is later than `other`.
    pub fn is_after(self, other: Self) -> bool {
        self.age_of(other).0 > 0
    }

    /// Returns the stamp that follows this one.
    pub fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }
}

impl Age {
    /// Returns the age as a span, zero when negative.
    pub fn span(self) -> Millis {
        Millis(u64::from(self.0.max(0).unsigned_abs()) * STAMP_UNIT_MS)
    }
}

/// Periods and limits of membership and observation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time between two probes.
    pub probe_period: Millis,
    /// Time after which a probe is repeated through other hosts.
    pub direct_probe_timeout: Millis,
    /// Time after which the target of a probe is suspected.
    pub probe_timeout: Millis,
    /// Time in which a suspicion can be refuted.
    pub suspicion_timeout: Millis,
    /// Time for which a dead host is remembered.
    pub dead_retention: Millis,
    /// Time between two probes of another failure domain.
    pub cross_domain_probe_period: Millis,
    /// Time in which new changes go to other failure domains.
    pub cross_domain_urgent_delay: Millis,
    /// Silence after which another failure domain counts as cut off.
    pub domain_timeout: Millis,
    /// Time between two observations of a backend server by one observer.
    pub observe_period: Millis,
    /// Time after which an unchanged load is spread again.
    pub load_refresh_period: Millis,
    /// Time between two readings of the host list in one failure domain.
    pub host_list_period: Millis,
    /// Least time between two exchanges of whole member tables.
    pub sync_period: Millis,
    /// Time for which member tables may differ before whole tables are exchanged.
    pub mismatch_timeout: Millis,
    /// Time after which an unchanged load is sent to other failure domains again.
    pub cross_domain_load_refresh_period: Millis,
    /// Time after which unchanged holdings are sent to other failure domains again.
    pub cross_domain_detail_refresh_period: Millis,
    /// Times that one host sends a load to hosts of its own domain.
    pub max_load_sends: u32,
    /// Other hosts that repeat a probe.
    pub indirect_probes: usize,
    /// Hosts that an urgent change is sent to at once.
    pub rumor_fanout: usize,
    /// Most loads in one message.
    pub max_loads_per_message: usize,
    /// Most member changes in one message.
    pub max_members_per_message: usize,
    /// Most holdings in one message.
    pub max_details_per_message: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_period: Millis(500),
            direct_probe_timeout: Millis(200),
            probe_timeout: Millis(500),
            suspicion_timeout: Millis(2_000),
            dead_retention: Millis(60_000),
            cross_domain_probe_period: Millis(1_000),
            cross_domain_urgent_delay: Millis(100),
            domain_timeout: Millis(5_000),
            observe_period: Millis(1_000),
            load_refresh_period: Millis(4_000),
            host_list_period: Millis(1_000),
            sync_period: Millis(2_000),
            mismatch_timeout: Millis(4_000),
            cross_domain_load_refresh_period: Millis(8_000),
            cross_domain_detail_refresh_period: Millis(60_000),
            max_load_sends: 3,
            indirect_probes: 3,
            rumor_fanout: 3,
            max_loads_per_message: 100,
            max_members_per_message: 8,
            max_details_per_message: 24,
        }
    }
}
