//! Which failure domains the planner may act on: those whose servers have stopped coming and going.
//!
//! A partition or a store outage makes many entries lapse that come back within seconds; a plan made
//! meanwhile would move layers for nothing.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::clock::Millis;
use crate::name::DomainName;
use crate::name::ServerName;

/// How long the servers of a domain must stay the same before the first plan.
const FIRST_PLAN_SETTLE_TIME: Millis = Millis(1_300);
/// How long they must stay the same afterwards.
const SETTLE_TIME: Millis = Millis(500);
/// How long they must stay the same when many are missing at once.
const MASS_LOSS_SETTLE_TIME: Millis = Millis(3_500);
/// The part of the servers of a domain whose absence counts as many.
const MASS_LOSS_RATIO: f64 = 0.25;

#[derive(Debug, Default)]
struct DomainServers {
    servers: BTreeSet<ServerName>,
    changed_at: Millis,
    last_settled_count: usize,
    has_held_layers: bool,
}

/// What the planner knows of the coming and going of servers.
#[derive(Debug, Default)]
pub struct MembershipTracker {
    domains: HashMap<DomainName, DomainServers>,
}

impl MembershipTracker {
    /// Takes in the servers of a domain that count now.
    pub fn observe(&mut self, now: Millis, domain: &DomainName, servers: BTreeSet<ServerName>) {
        let known = self.domains.entry(domain.clone()).or_default();
        if known.servers != servers {
            known.servers = servers;
            known.changed_at = now;
        }
    }

    /// Returns whether the servers of `domain` may be planned now; `holds_layers` tells that some of them
    /// hold layers.
    pub fn is_settled(&mut self, now: Millis, domain: &DomainName, holds_layers: bool) -> bool {
        let Some(known) = self.domains.get_mut(domain) else {
            return false;
        };
        known.has_held_layers |= holds_layers;
        let missing = known.last_settled_count.saturating_sub(known.servers.len());
        let is_mass_loss = missing as f64 > MASS_LOSS_RATIO * known.last_settled_count as f64;
        let wait = if !known.has_held_layers {
            FIRST_PLAN_SETTLE_TIME
        } else if is_mass_loss {
            MASS_LOSS_SETTLE_TIME
        } else {
            SETTLE_TIME
        };
        let settled = now.since(known.changed_at) >= wait;
        if settled {
            known.last_settled_count = known.servers.len();
        }
        settled
    }
}
