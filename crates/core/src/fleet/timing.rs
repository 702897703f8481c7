//! Periods and limits of membership and observation, and timestamps of observations.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;

const STAMP_UNIT_MS: u64 = 64;

/// Timestamp of an observation on the observer's wall clock, in units of 64 ms, modulo 2^32.
///
/// Hosts forward a stamp unchanged, so that they recognize an update that they already have. Clock
/// skew between two observers of one server only decides whose observation prevails.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Stamp(pub u32);

/// Difference of two stamps, in units of 64 ms; negative when the observer's clock is ahead of
/// the sender's.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Age(pub i32);

impl Stamp {
    /// Returns the stamp of `unix`, the time since the Unix epoch.
    pub fn at(unix: Millis) -> Self {
        Self((unix.0 / STAMP_UNIT_MS) as u32)
    }

    /// Returns the time from `earlier` to this stamp.
    pub fn age_of(self, earlier: Self) -> Age {
        Age(self.0.wrapping_sub(earlier.0) as i32)
    }

    /// Returns the stamp that lies `age` before this one.
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
    /// Returns the age in milliseconds, or zero when it is negative.
    pub fn span(self) -> Millis {
        Millis(u64::from(self.0.max(0).unsigned_abs()) * STAMP_UNIT_MS)
    }
}

/// Periods and limits of membership and observation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time between two probes of hosts of the own failure domain.
    pub probe_period: Millis,
    /// Time from a direct probe without an answer to the indirect probes through other hosts.
    pub direct_probe_timeout: Millis,
    /// Time from a direct probe without any answer until its target is suspected.
    pub probe_timeout: Millis,
    /// Time for which a suspected host can refute the suspicion before it counts as dead.
    pub suspicion_timeout: Millis,
    /// Time for which a dead host stays in the member table.
    pub dead_retention: Millis,
    /// Time between two probes of the same other failure domain by one host.
    pub cross_domain_probe_period: Millis,
    /// Longest delay of the next probe of other failure domains after an urgent change.
    pub cross_domain_urgent_delay: Millis,
    /// Time since its last answer after which another failure domain counts as unreachable.
    pub domain_timeout: Millis,
    /// Time between two observations of a backend server by one observer.
    pub observe_period: Millis,
    /// Time after which an observer sends an unchanged load to its own failure domain again.
    pub load_refresh_period: Millis,
    /// Time between two readings of the platform's host list in one failure domain.
    pub host_list_period: Millis,
    /// Shortest time between two exchanges of complete member tables.
    pub sync_period: Millis,
    /// Time for which the digests of member tables may differ before complete tables are
    /// exchanged.
    pub mismatch_timeout: Millis,
    /// Time after which an unchanged load is sent to other failure domains again.
    pub cross_domain_load_refresh_period: Millis,
    /// Time after which unchanged details of servers and host list entries are sent to other
    /// failure domains again.
    pub cross_domain_detail_refresh_period: Millis,
    /// Most times that one host sends the same load to hosts of its own failure domain.
    pub max_load_sends: u32,
    /// Number of other hosts that are asked to probe a host that did not answer.
    pub indirect_probes: usize,
    /// Number of hosts that an urgent change is sent to immediately.
    pub rumor_fanout: usize,
    /// Most loads in one message.
    pub max_loads_per_message: usize,
    /// Most changes of entry hosts in one message.
    pub max_members_per_message: usize,
    /// Most details of servers in one message.
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
