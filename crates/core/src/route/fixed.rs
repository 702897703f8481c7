//! The policies that do not compare costs: fixed pipelines and round robin.

use smallvec::SmallVec;

use crate::engine::LayerRange;

use super::table::Group;
use super::table::Groups;

/// The stages of a chain, as indices of servers with their layers.
pub(super) type Stages = SmallVec<[(u16, LayerRange); 4]>;

/// Returns groups of servers whose layer ranges tile `0..layers`. Of several groups that fit at a
/// layer, takes the one with the most servers.
fn tiling(groups: &Groups, layers: u16) -> Option<SmallVec<[(LayerRange, &Group); 4]>> {
    let mut tiles = SmallVec::new();
    let mut next = 0;
    while next < layers {
        let fitting = groups.iter().filter(|(range, _)| range.first == next && !range.is_empty());
        let (range, group) = fitting.max_by_key(|(_, group)| group.servers.len())?;
        next = range.end;
        tiles.push((*range, group));
    }
    (next == layers).then_some(tiles)
}

/// Returns the next pipeline in rotation of which all servers are usable.
pub(super) fn pipeline(
    groups: &Groups,
    layers: u16,
    rotation: usize,
    is_usable: impl Fn(u16) -> bool,
) -> Option<Stages> {
    let tiles = tiling(groups, layers)?;
    let count = tiles.iter().map(|(_, group)| group.servers.len()).min()?;
    (0..count).find_map(|offset| {
        let number = (rotation + offset) % count;
        let stages: Stages =
            tiles.iter().map(|(range, group)| (group.servers[number], *range)).collect();
        stages.iter().all(|(server, _)| is_usable(*server)).then_some(stages)
    })
}

/// Returns a chain of the next usable server in rotation of each stage.
pub(super) fn round_robin(
    groups: &Groups,
    layers: u16,
    rotation: usize,
    is_usable: impl Fn(u16) -> bool,
) -> Option<Stages> {
    let tiles = tiling(groups, layers)?;
    tiles
        .iter()
        .map(|(range, group)| {
            let count = group.servers.len();
            let mut turns = (0..count).map(|offset| group.servers[(rotation + offset) % count]);
            turns.find(|server| is_usable(*server)).map(|server| (server, *range))
        })
        .collect()
}
