//! Determines why the servers of a service offer no chain for a request.

use std::collections::BTreeSet;

use crate::name::DomainName;
use crate::placement::engine::EngineProfile;
use crate::placement::path::choose_chain;
use crate::placement::path::Candidate;
use crate::placement::path::ChainNeeds;
use crate::placement::path::LayerHolder;

/// The reason for which no chain was found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoChain {
    /// No usable server that holds a certain layer has capacity left.
    LayerUnavailable {
        /// The first layer of which that is true.
        layer: u16,
        /// The number of servers that hold it, with or without capacity left.
        holders: usize,
    },
    /// Each layer has a holder with capacity left, but no holder of the first layer may be the
    /// first stage.
    FirstServerUnavailable {
        /// The number of holders of the first layer, which have no free slot or are not allowed.
        holders: usize,
    },
    /// Each layer has a holder with capacity left and a server may be the first stage, but the
    /// ranges that servers hold do not connect to a chain.
    RangesDoNotMeet,
    /// There is a chain, but only over hops between failure domains, which the request may not use.
    OnlyAcrossDomains,
}

/// Determines why `holders` offer no chain for `need`.
pub fn explain_no_chain(
    profile: &EngineProfile,
    holders: &[LayerHolder],
    need: ChainNeeds<'_>,
) -> NoChain {
    let holders_of =
        |layer: u16| holders.iter().filter(move |h| h.layers.from <= layer && layer < h.layers.to);
    let has_capacity =
        |layer: &u16| holders_of(*layer).any(|h| Candidate::new(profile, h, need).is_some());
    match (0..profile.layers).find(|layer| !has_capacity(layer)) {
        Some(layer) => NoChain::LayerUnavailable { layer, holders: holders_of(layer).count() },
        None if !holders_of(0).any(|h| may_be_first_stage(profile, h, need)) => {
            NoChain::FirstServerUnavailable { holders: holders_of(0).count() }
        }
        None if has_chain_across_domains(profile, holders, need) => NoChain::OnlyAcrossDomains,
        None => NoChain::RangesDoNotMeet,
    }
}

fn has_chain_across_domains(
    profile: &EngineProfile,
    holders: &[LayerHolder],
    need: ChainNeeds<'_>,
) -> bool {
    let across = ChainNeeds { may_cross: true, ..need };
    !need.may_cross && choose_chain(profile, holders, across).is_some()
}

/// Returns whether the `holders` of one failure domain hold all layers, with or without capacity
/// left.
pub fn has_complete_domain(profile: &EngineProfile, holders: &[LayerHolder]) -> bool {
    let first = holders.iter().filter(|h| h.layers.from == 0);
    let domains: BTreeSet<&DomainName> = first.map(|h| &h.domain).collect();
    domains.into_iter().any(|d| contiguous_layers(profile, holders, d) == profile.layers)
}

/// Returns the first layer that no holder of `domain` holds.
fn contiguous_layers(profile: &EngineProfile, holders: &[LayerHolder], domain: &DomainName) -> u16 {
    let mut next = 0;
    loop {
        let adjoining = holders
            .iter()
            .filter(|h| h.layers.from <= next && next < h.layers.to)
            .filter(|h| profile.has_layers(h.layers) && h.domain == *domain);
        match adjoining.map(|h| h.layers.to).max() {
            Some(to) => next = to,
            None => return next,
        }
    }
}

fn may_be_first_stage(profile: &EngineProfile, holder: &LayerHolder, need: ChainNeeds<'_>) -> bool {
    let candidate = Candidate::new(profile, holder, need);
    need.may_be_first_stage(holder) && candidate.is_some_and(|c| c.may_be_first)
}
