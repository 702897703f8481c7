//! Which hosts share the rate of a server, and how much of it each may send.

use std::cmp::Reverse;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::defect::planted;
use crate::name::DomainName;
use crate::share::MilliRate;

/// The part of a server's rate that hosts use together; the rest covers requests in transit while
/// the hosts that share it change.
const USED_FRACTION: f64 = 0.95;
/// The rate of a server that takes less, so that somebody learns when it takes more again.
const LEAST_RATE: MilliRate = MilliRate(100);

/// Returns the failure domains whose hosts share the rate of a server: that of the server, and those
/// of `live` without a server of its service, whose callers have no other one. If no host of the
/// server's domain is alive, the hosts of all live domains share it.
pub fn sharing_domains<'a>(
    server_domain: &DomainName,
    live: &'a [DomainName],
    serving: &[DomainName],
) -> SmallVec<[&'a DomainName; 4]> {
    if !live.contains(server_domain) {
        return live.iter().collect();
    }
    let shares = |domain: &&DomainName| *domain == server_domain || !serving.contains(domain);
    live.iter().filter(shares).collect()
}

/// Returns how many requests a second the host `own` may send to the server with the hash `server`,
/// which takes `limit` from the hosts of `domains` failure domains; `members` are the hosts of the
/// own one, this one included.
///
/// Each domain uses an equal part, through no more hosts than requests a second, so that the requests
/// that hosts may send at once stay few.
pub fn own_share(server: u32, limit: MilliRate, own: u32, members: &[u32], domains: usize) -> f64 {
    if domains == 0 || !members.contains(&own) {
        return 0.0;
    }
    let limit = limit.max(LEAST_RATE);
    let of_domain = limit.0 as f64 / 1_000.0 / domains as f64;
    if planted!(LimitNotDivided) {
        return of_domain;
    }
    let senders = (of_domain.floor() as usize).clamp(1, members.len());
    let weight = |member: u32| xxh3_64_with_seed(&member.to_le_bytes(), u64::from(server));
    let rank = |member: u32| (Reverse(weight(member)), member);
    let before = members.iter().filter(|member| rank(**member) < rank(own)).count();
    if before >= senders {
        return 0.0;
    }
    USED_FRACTION * of_domain / senders as f64
}
