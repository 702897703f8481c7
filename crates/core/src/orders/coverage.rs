//! State of model engines, and how many of them serve each layer of a model.

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

/// Last reported state of one model engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerState {
    /// Failure domain of the server.
    pub domain: DomainName,
    /// Whether the server answers, accepts work and has reported recently.
    pub usable: bool,
    /// Time at which the server's state was measured for the report, on this host's clock.
    pub measured_at: Millis,
    /// Models, layers and adapters that the server has loaded.
    pub holdings: SmallVec<[Holding; 2]>,
    /// Role of the server: prefill, decode or both.
    pub role: Role,
}

/// Last reported states of the model engines, by server name.
pub type Servers = BTreeMap<ServerName, ServerState>;

impl ServerState {
    /// Returns whether the server reports the holding, adapters and role that `wanted` declares.
    pub fn satisfies(&self, wanted: &Placement) -> bool {
        self.next_action(wanted).is_none()
    }

    /// Returns the next action that brings the server closer to `wanted`; `None` when it satisfies
    /// it.
    pub fn next_action(&self, wanted: &Placement) -> Option<OrderAction> {
        let matches_wanted = |holding: &&Holding| {
            holding.model == wanted.model
                && holding.version == wanted.version
                && holding.layers == wanted.layers
        };
        let Some(holding) = self.holdings.iter().find(matches_wanted) else {
            return Some(load_action(wanted));
        };
        let missing = wanted.adapters.iter().find(|name| !holding.adapters.contains(name));
        if let Some(adapter) = missing {
            return Some(OrderAction::LoadAdapter { adapter: adapter.clone() });
        }
        (self.role != wanted.role).then_some(OrderAction::SetRole { role: wanted.role })
    }
}

/// Returns the action that loads the layers and adapters that `wanted` declares.
pub(super) fn load_action(wanted: &Placement) -> OrderAction {
    OrderAction::Load(Holding {
        model: wanted.model.clone(),
        version: wanted.version.clone(),
        layers: wanted.layers,
        adapters: wanted.adapters.clone(),
    })
}

/// Counts, for each layer of one model version, the usable servers that hold it and are not on the
/// transition list.
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

/// Returns the version of a model of which every layer is served; `None` when there is none.
///
/// The declared version is preferred; otherwise the highest of the other versions, in the order of
/// their names.
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

/// Returns whether `server` may stop serving what it holds, which requires that at least `keep`
/// other servers remain for each of its layers of the version that serves its model.
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
