//! Computes the cheapest path through all layers of a model over candidate servers.

use smallvec::SmallVec;

use crate::engine::LayerRange;

/// A server and a layer range of it that may become a stage.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// The index of the server.
    pub(super) server: u16,
    /// The layers that the server would run.
    pub(super) layers: LayerRange,
    /// The cost of the stage.
    pub(super) cost: u64,
}

/// Returns the indices in `candidates` of the cheapest chain that tiles `0..layers` exactly.
///
/// `candidates` must be sorted by their first layer. `link_cost` returns the cost of a link between
/// two servers; the link from the last stage back to the first one counts too.
pub(super) fn shortest(
    candidates: &[Candidate],
    layers: u16,
    link_cost: impl Fn(u16, u16) -> u64,
) -> Option<SmallVec<[usize; 4]>> {
    let starts = candidates.iter().take_while(|candidate| candidate.layers.first == 0).count();
    let mut best: Option<(u64, SmallVec<[usize; 4]>)> = None;
    let mut costs: SmallVec<[u64; 64]> = SmallVec::new();
    let mut previous: SmallVec<[usize; 64]> = SmallVec::new();
    for start in 0..starts {
        costs.clear();
        costs.resize(candidates.len(), u64::MAX);
        previous.clear();
        previous.resize(candidates.len(), usize::MAX);
        costs[start] = candidates[start].cost;
        relax_edges(candidates, start, &mut costs, &mut previous, &link_cost);
        let first = candidates[start].server;
        for (index, end) in candidates.iter().enumerate() {
            if end.layers.end != layers || costs[index] == u64::MAX {
                continue;
            }
            let back = if index == start { 0 } else { link_cost(end.server, first) };
            let cost = costs[index].saturating_add(back);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, trace_back(&previous, index)));
            }
        }
    }
    best.map(|(_, path)| path)
}

/// Computes the least cost of each candidate after `start` in a chain that begins with `start`, and
/// the candidate before it.
fn relax_edges(
    candidates: &[Candidate],
    start: usize,
    costs: &mut [u64],
    previous: &mut [usize],
    link_cost: &impl Fn(u16, u16) -> u64,
) {
    for index in start + 1..candidates.len() {
        let to = &candidates[index];
        for from_index in start..index {
            let from = &candidates[from_index];
            if costs[from_index] == u64::MAX || from.layers.end != to.layers.first {
                continue;
            }
            let cost = costs[from_index]
                .saturating_add(link_cost(from.server, to.server))
                .saturating_add(to.cost);
            if cost < costs[index] {
                costs[index] = cost;
                previous[index] = from_index;
            }
        }
    }
}

/// Returns the path that ends at `end`, from its first candidate on.
fn trace_back(previous: &[usize], end: usize) -> SmallVec<[usize; 4]> {
    let mut path = SmallVec::new();
    let mut index = end;
    while index != usize::MAX {
        path.push(index);
        index = previous[index];
    }
    path.reverse();
    path
}

/// Returns the links of a chain, including the link back to the first stage.
pub(super) fn links_of_cycle(chain: &[u16]) -> impl Iterator<Item = (u16, u16)> + '_ {
    let back = match chain {
        [first, .., last] => Some((*last, *first)),
        _ => None,
    };
    chain.windows(2).map(|pair| (pair[0], pair[1])).chain(back)
}
