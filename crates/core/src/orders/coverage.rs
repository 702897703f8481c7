//! Which layers of a model are served, and by whom.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smallvec::SmallVec;

use crate::clock::Millis;
use crate::config::Model;
use crate::config::Placement;
use crate::defect::planted;
use crate::engine::Holding;
use crate::engine::OrderAction;
use crate::engine::Role;
use crate::name::DomainName;
use crate::name::ModelName;
use crate::name::ModelVersion;
use crate::name::ServerName;
use crate::orders::TransitionList;

/// What is known of one model engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerState {
    /// Failure domain.
    pub domain: DomainName,
    /// Whether the server answers, takes work and has reported lately.
    pub usable: bool,
    /// When the report was taken, on the clock of this host.
    pub measured_at: Millis,
    /// What it holds.
    pub holdings: SmallVec<[Holding; 2]>,
    /// Its role.
    pub role: Role,
}

/// Model engines by name.
pub type Servers = BTreeMap<ServerName, ServerState>;

impl ServerState {
    /// Returns whether the server reports all that `wanted` declares.
    pub fn satisfies(&self, wanted: &Placement) -> bool {
        self.next_action(wanted).is_none()
    }

    /// Returns what the server has to do next; `None` when nothing is left.
    pub fn next_action(&self, wanted: &Placement) -> Option<OrderAction> {
        let matches_wanted = |holding: &&Holding| {
            holding.model == wanted.model
                && holding.version == wanted.version
                && holding.layers == wanted.layers
        };
        let Some(holding) = self.holdings.iter().find(matches_wanted) else {
            return Some(load_order(wanted));
        };
        let missing = wanted.adapters.iter().find(|name| !holding.adapters.contains(name));
        if let Some(adapter) = missing {
            return Some(OrderAction::LoadAdapter { adapter: adapter.clone() });
        }
        (self.role != wanted.role).then_some(OrderAction::SetRole { role: wanted.role })
    }
}

/// Returns the order to load all that `wanted` declares.
pub(super) fn load_order(wanted: &Placement) -> OrderAction {
    OrderAction::Load(Holding {
        model: wanted.model.clone(),
        version: wanted.version.clone(),
        layers: wanted.layers,
        adapters: wanted.adapters.clone(),
    })
}

/// Counts the servers of each layer of one version that are usable and not on the list.
fn count_servers_per_layer(
    model: (&ModelName, &Model),
    version: &ModelVersion,
    servers: &Servers,
    transition_list: &TransitionList,
) -> Vec<u16> {
    let (name, model) = model;
    let mut counts = vec![0; usize::from(model.layers)];
    let serving =
        servers.iter().filter(|(server, state)| state.usable && !transition_list.contains(server));
    for holding in serving.flat_map(|(_, state)| &state.holdings) {
        if holding.model != *name || holding.version != *version {
            continue;
        }
        let layers = holding.layers.first..holding.layers.end.min(model.layers);
        for layer in layers {
            counts[usize::from(layer)] += 1;
        }
    }
    counts
}

/// Returns the version of a model that servers can run as a whole.
///
/// The declared version goes first; while it is not served whole, the last other version that is.
pub fn serving_version(
    name: &ModelName,
    model: &Model,
    servers: &Servers,
    transition_list: &TransitionList,
) -> Option<ModelVersion> {
    let holdings = servers.values().flat_map(|state| &state.holdings);
    let held: BTreeSet<&ModelVersion> =
        holdings.filter(|holding| holding.model == *name).map(|holding| &holding.version).collect();
    let others = held.into_iter().rev().filter(|version| **version != model.version);
    let mut versions = std::iter::once(&model.version).chain(others);
    versions
        .find(|version| {
            count_servers_per_layer((name, model), version, servers, transition_list)
                .iter()
                .all(|n| *n > 0)
        })
        .cloned()
}

/// Returns whether `server` may give up what it holds: for each layer of the version that serves
/// its model, at least `keep` other servers remain.
pub(super) fn may_stop_serving(
    server: &ServerName,
    models: &BTreeMap<ModelName, Model>,
    servers: &Servers,
    transition_list: &TransitionList,
    keep: u16,
) -> bool {
    if planted!(OrderWithoutRangeCheck) {
        return true;
    }
    let Some(state) = servers.get(server) else { return false };
    let mut without_server = transition_list.clone();
    without_server.servers.insert(server.clone(), Default::default());
    state.holdings.iter().all(|holding| {
        let Some(model) = models.get(&holding.model) else { return true };
        let serving = serving_version(&holding.model, model, servers, transition_list);
        if serving.as_ref() != Some(&holding.version) {
            return true;
        }
        let counts = count_servers_per_layer(
            (&holding.model, model),
            &holding.version,
            servers,
            &without_server,
        );
        let first = usize::from(holding.layers.first).min(counts.len());
        let end = usize::from(holding.layers.end).min(counts.len());
        counts[first..end].iter().all(|count| *count >= keep)
    })
}
