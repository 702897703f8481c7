//! Tracks which servers each failure domain has, and tells when that set is stable enough to plan.
//!
//! A partition or a store outage makes many entries expire that return within seconds; a plan made
//! in the meantime would move layers needlessly. At the start of a deployment, servers appear over
//! seconds; a first plan from a part of them would put too many layers on each.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::clock::Millis;
use crate::name::DomainName;
use crate::name::ServerName;

/// How long the server sets of all domains must stay unchanged before the first plan, while no
/// server holds layers yet.
const FIRST_PLAN_SETTLE_TIME: Millis = Millis(1_300);
/// How long the server set must stay unchanged once servers of the domain hold layers.
const SETTLE_TIME: Millis = Millis(500);
/// How long the server set must stay unchanged when many servers are missing at once.
const MASS_LOSS_SETTLE_TIME: Millis = Millis(3_500);
/// How long the first plan waits for the server sets of all domains at most.
const MAX_FIRST_PLAN_WAIT: Millis = Millis(6_000);
/// The share of a domain's servers that must be missing, since the set was last stable, for the
/// longer wait to apply.
const MASS_LOSS_RATIO: f64 = 0.25;

/// The servers of one failure domain and when that set last changed.
#[derive(Debug, Default)]
struct DomainServers {
    servers: BTreeSet<ServerName>,
    changed_at: Millis,
    last_settled_count: usize,
    has_held_layers: bool,
}

/// The servers last seen in each failure domain, and for how long each set has been unchanged.
#[derive(Debug, Default)]
pub struct MembershipTracker {
    domains: HashMap<DomainName, DomainServers>,
    first_observed_at: Option<Millis>,
}

impl MembershipTracker {
    /// Records the servers that `domain` has now.
    pub fn observe(&mut self, now: Millis, domain: &DomainName, servers: BTreeSet<ServerName>) {
        self.first_observed_at.get_or_insert(now);
        let known = self.domains.entry(domain.clone()).or_default();
        if known.servers != servers {
            known.servers = servers;
            known.changed_at = now;
        }
    }

    /// Returns whether a first plan, while no server of any domain holds layers, has to wait for
    /// further servers to appear.
    pub fn must_wait_for_first_plan(&self, now: Millis) -> bool {
        let waited = self.first_observed_at.map_or(Millis::ZERO, |at| now.since(at));
        let is_changing = |d: &DomainServers| now.since(d.changed_at) < FIRST_PLAN_SETTLE_TIME;
        waited < MAX_FIRST_PLAN_WAIT && self.domains.values().any(is_changing)
    }

    /// Returns whether the server set of `domain` has been unchanged for long enough to plan its
    /// layers.
    ///
    /// `holds_layers` states whether any of the servers holds layers now.
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
