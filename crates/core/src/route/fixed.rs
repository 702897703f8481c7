//! The simple policies: fixed pipelines and round robin.

use smallvec::SmallVec;

use crate::engine::LayerRange;

use super::table::Group;
use super::table::Groups;

/// Stages as servers with their layers.
pub(super) type Stages = SmallVec<[(u16, LayerRange); 4]>;

/// Returns groups that tile `0..layers`, preferring large ones.
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

/// Returns the pipeline whose turn it is; a pipeline with an unusable server is left out.
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

/// Returns for each stage the usable server whose turn it is.
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
