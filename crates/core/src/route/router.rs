//! The router of one host: keeps the state of the servers, chooses chains and learns from results.

mod capacity;
mod choice;
mod cost;
mod results;

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::engine::Chain;
use crate::name::ModelName;
use crate::name::ServerName;

use super::messages::Policy;
use super::messages::ServerInput;
use super::outlier::Outliers;
use super::prefix::PrefixIndex;
use super::server::ServerState;
use super::stats::ModelStats;
use super::table::Table;

/// Chooses chains of servers and learns from the results of attempts on them.
#[derive(Clone, Debug)]
pub struct Router {
    policy: Policy,
    servers: Vec<Option<ServerState>>,
    index: HashMap<ServerName, u16>,
    pub(super) table: Table,
    outliers: Outliers,
    prefixes: PrefixIndex,
    stats: HashMap<ModelName, ModelStats>,
}

impl Router {
    /// Creates a router without servers.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            servers: Vec::new(),
            index: HashMap::new(),
            table: Table::default(),
            outliers: Outliers::default(),
            prefixes: PrefixIndex::default(),
            stats: HashMap::new(),
        }
    }

    /// Replaces the view of the servers; servers that are missing in `inputs` are removed.
    pub fn update<'a>(&mut self, inputs: impl Iterator<Item = ServerInput<'a>> + Clone) {
        let mut changed = false;
        let mut present = vec![false; self.servers.len()];
        for input in inputs.clone() {
            let index = self.index_of(&input);
            present.resize(self.servers.len(), false);
            present[usize::from(index)] = true;
            let server = self.servers[usize::from(index)].as_mut();
            changed |= server.is_some_and(|server| server.update(&input));
        }
        changed |= self.forget_missing(&present);
        inputs.for_each(|input| self.update_links(&input));
        if changed {
            self.table = Table::build(&self.servers);
        }
    }

    /// Returns the policy by which the router chooses chains.
    pub fn policy(&self) -> Policy {
        self.policy
    }

    /// Returns the number of servers in the view.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether the view has no server.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns the memory that the router uses, in bytes, without allocator overhead.
    pub fn memory_bytes(&self) -> usize {
        let servers = self.servers.iter().flatten().map(ServerState::heap_bytes).sum::<usize>();
        servers
            + self.servers.capacity() * size_of::<Option<ServerState>>()
            + self.index.capacity() * size_of::<(ServerName, u16)>()
            + self.outliers.heap_bytes()
            + self.prefixes.heap_bytes()
    }

    fn index_of(&mut self, input: &ServerInput<'_>) -> u16 {
        if let Some(index) = self.index.get(input.name) {
            return *index;
        }
        let free = self.servers.iter().position(Option::is_none);
        let place = free.unwrap_or_else(|| {
            self.servers.push(None);
            self.servers.len() - 1
        });
        let index = u16::try_from(place).expect("a deployment has fewer than 65,536 servers");
        self.servers[place] = Some(ServerState::new(input));
        self.index.insert(input.name.clone(), index);
        index
    }

    fn forget_missing(&mut self, present: &[bool]) -> bool {
        let mut any = false;
        for (slot, present) in self.servers.iter_mut().zip(present) {
            if let Some(server) = slot.take_if(|_| !present) {
                self.index.remove(&server.name);
                any = true;
            }
        }
        any
    }

    fn update_links(&mut self, input: &ServerInput<'_>) {
        let Some(place) = self.index.get(input.name) else {
            return;
        };
        let index = &self.index;
        let Some(server) = self.servers[usize::from(*place)].as_mut() else {
            return;
        };
        server.links.clear();
        let reported = input.report.links_us.iter();
        server.links.extend(reported.filter_map(|(to, us)| index.get(to).map(|to| (*to, *us))));
        server.links.sort_unstable();
    }

    fn indices(&self, chain: &Chain) -> SmallVec<[u16; 4]> {
        chain.iter().filter_map(|hop| self.index.get(&hop.server).copied()).collect()
    }

    fn model_stats(&self, model: &ModelName) -> ModelStats {
        self.stats.get(model).copied().unwrap_or_default()
    }

    fn server(&self, index: u16) -> Option<&ServerState> {
        self.servers.get(usize::from(index))?.as_ref()
    }

    fn server_mut(&mut self, index: u16) -> Option<&mut ServerState> {
        self.servers.get_mut(usize::from(index))?.as_mut()
    }
}
