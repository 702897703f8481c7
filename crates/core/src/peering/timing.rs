//! The time limits of the exchange between hosts.

use crate::clock::Millis;

/// The time between rounds, in which a host reports to its first aggregator and gets a digest. Many
/// hosts choose among the same servers meanwhile, so a long round overfills the best of them.
pub const ROUND_INTERVAL: Millis = Millis(50);
/// A host reports to its other aggregator, and an aggregator sends the surroundings of the domain,
/// in every round that is a multiple of this number.
pub const ROUNDS_PER_FULL_EXCHANGE: u32 = 10;
/// The time without a message after which a host no longer counts as alive.
pub const PEER_TIMEOUT: Millis = Millis(2_000);
/// The time without a digest of the first aggregator after which the loads of the other one count.
pub const FIRST_DIGEST_TIMEOUT: Millis = Millis(350);
/// How long an aggregator may leave reports without a digest before it is avoided.
pub const DIGEST_TIMEOUT: Millis = Millis(1_250);
/// How long a host is not chosen as an aggregator after it has sent no digest in time.
pub const AVOIDANCE: Millis = Millis(4_000);
/// How long a starting host looks for an aggregator before it may become one.
pub const LONE_WAIT: Millis = Millis(350);
/// How long a starting host does not count on what it knows of the hosts of its domain.
pub const MEMBERS_WAIT: Millis = Millis(2_000);
/// How long a host that has heard nobody waits before it looks up the listed hosts.
pub const LISTING_WAIT: Millis = Millis(600);
/// How long reports and digests count, from their arrival.
pub const REPORT_TTL: Millis = Millis(1_500);
/// The time between summaries to another failure domain.
pub const SUMMARY_INTERVAL: Millis = Millis(500);
/// How long a summary of another failure domain counts, from its arrival.
pub const SUMMARY_TTL: Millis = Millis(4_000);
/// The time between an aggregator's calls to a seed, which join separated parts of a cluster.
pub const SEED_INTERVAL: Millis = Millis(2_000);
/// The time without any sign of a host after which it is forgotten.
pub const FORGET_AFTER: Millis = Millis(60_000);
/// How long no issuer is heard before hosts that are no aggregators try to become one.
pub const ISSUER_TIMEOUT: Millis = Millis(8_000);
