//! The table of usable servers by model, version and layer range.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::engine::LayerRange;
use crate::name::DomainName;
use crate::name::ModelName;
use crate::name::ModelVersion;

use super::server::ServerState;

/// The servers that hold the same layers of a model version.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    /// The indices of the servers, sorted by domain and name.
    pub(super) servers: Vec<u16>,
    /// The range of `servers` that are in each domain.
    pub(super) domains: Vec<(DomainName, std::ops::Range<usize>)>,
}

impl Group {
    /// Returns the servers of one domain.
    pub(super) fn in_domain(&self, domain: &DomainName) -> &[u16] {
        let found = self.domains.iter().find(|(name, _)| name == domain);
        found.map_or(&[], |(_, range)| &self.servers[range.clone()])
    }
}

/// The groups of one model version by layer range.
pub(super) type Groups = BTreeMap<LayerRange, Group>;

/// The groups of all models and versions.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    groups: HashMap<ModelName, HashMap<ModelVersion, Groups>>,
}

impl Table {
    /// Builds the table from the usable servers.
    pub(super) fn build(servers: &[Option<ServerState>]) -> Self {
        let mut table = Self::default();
        for (index, server) in servers.iter().enumerate() {
            let Some(server) = server.as_ref().filter(|server| server.usable) else {
                continue;
            };
            for holding in &server.holdings {
                let versions = table.groups.entry(holding.model.clone()).or_default();
                let groups = versions.entry(holding.version.clone()).or_default();
                groups.entry(holding.layers).or_default().servers.push(index as u16);
            }
        }
        let groups = table.groups.values_mut().flat_map(HashMap::values_mut);
        groups.flat_map(BTreeMap::values_mut).for_each(|group| sort_by_domain(group, servers));
        table
    }

    /// Returns the groups of a model version.
    pub(super) fn groups(&self, model: &ModelName, version: &ModelVersion) -> Option<&Groups> {
        self.groups.get(model)?.get(version)
    }

    /// Returns the version of a model for which a chain exists: the declared one if possible, else
    /// the last one by name.
    pub(super) fn whole_version(
        &self,
        model: &ModelName,
        declared: &ModelVersion,
        layers: u16,
    ) -> Option<&ModelVersion> {
        let versions = self.groups.get(model)?;
        let whole = versions.iter().filter(|(_, groups)| can_tile(groups, layers));
        whole.map(|(version, _)| version).max_by_key(|version| (*version == declared, *version))
    }
}

/// Returns whether a chain of groups tiles `0..layers`.
fn can_tile(groups: &Groups, layers: u16) -> bool {
    let mut ends = BTreeSet::from([0]);
    // Ranges are sorted by their first layer, so each end is inserted before it is looked up.
    for range in groups.keys().filter(|range| !range.is_empty()) {
        if ends.contains(&range.first) {
            ends.insert(range.end);
        }
    }
    ends.contains(&layers)
}

fn sort_by_domain(group: &mut Group, servers: &[Option<ServerState>]) {
    let state = |index: u16| servers[usize::from(index)].as_ref();
    let key = |index: &u16| state(*index).map(|server| (&server.domain, &server.name));
    group.servers.sort_by(|a, b| key(a).cmp(&key(b)));
    for (place, index) in group.servers.iter().enumerate() {
        let Some(server) = state(*index) else {
            continue;
        };
        match group.domains.last_mut() {
            Some((domain, range)) if *domain == server.domain => range.end = place + 1,
            _ => group.domains.push((server.domain.clone(), place..place + 1)),
        }
    }
}
