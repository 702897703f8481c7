//! Builds the views of entry hosts and backend servers that the other modules of a host read.

use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::ActiveConfig;
use yuccanotch_core::fleet::FleetNode;
use yuccanotch_core::fleet::MemberState;
use yuccanotch_core::fleet::ServerCondition;
use yuccanotch_core::name::ServerName;

use crate::fleet::FleetView;
use crate::fleet::Inner;
use crate::fleet::MemberView;
use crate::fleet::Members;
use crate::fleet::ServerView;
use crate::fleet::SUSPICION_TIMEOUT;

impl Inner {
    /// Replaces the view of the backend servers.
    pub(super) fn refresh_view(&self, active: &ActiveConfig) {
        let now = self.clock.now();
        let node = self.node();
        let mut suspects = self.suspects.lock().expect("lock is not poisoned");
        suspects.retain(|_, at| now.since(*at) < SUSPICION_TIMEOUT);
        let mut view = FleetView::default();
        for (name, server) in &active.declaration.servers {
            let mut entry = ServerView {
                name: name.clone(),
                domain: server.domain.clone(),
                address: server.address.clone(),
                report: None,
                reported_at: Millis::ZERO,
                leaving: server.drain || node.is_listed_leaving(name.as_str()),
                suspected: suspects.contains_key(name),
            };
            apply_record(&node, name, &mut entry);
            let failed_at = suspects.get(name).copied();
            entry.suspected |= failed_at.is_some_and(|at| at >= entry.reported_at);
            view.servers.insert(name.clone(), entry);
        }
        drop(suspects);
        drop(node);
        *self.view.write().expect("lock is not poisoned") = view.into();
    }

    /// Replaces the view of the entry hosts if it changed; returns whether it did.
    pub(super) fn refresh_members(&self) -> bool {
        let now = self.clock.now();
        let node = self.node();
        let mut members = Members::default();
        for member in node.members() {
            let update = &member.update;
            let confirmed = update.incarnation.0 > 0 && update.state != MemberState::Dead;
            let listed_leaving = node.is_listed_leaving(update.host.as_str());
            let reachable = node.is_reachable(now, &update.domain);
            let view = MemberView {
                domain: update.domain.clone(),
                address: update.address,
                alive: confirmed && reachable,
                cut_off: confirmed && !reachable,
                leaving: update.state == MemberState::Leaving || listed_leaving,
            };
            members.hosts.insert(update.host.clone(), view);
        }
        drop(node);
        let mut current = self.members.write().expect("lock is not poisoned");
        if **current == members {
            return false;
        }
        *current = members.into();
        true
    }
}

/// Completes the view of a server with what its record says.
fn apply_record(node: &FleetNode, name: &ServerName, entry: &mut ServerView) {
    if let Some(record) = node.server(name) {
        entry.report = record.report.clone();
        entry.reported_at = record.observed_at;
        entry.leaving |= record.condition == ServerCondition::Leaving;
        entry.suspected |= record.condition == ServerCondition::Silent;
    }
}
