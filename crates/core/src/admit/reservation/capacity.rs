//! The capacity of a service of model servers and how much of it is in use.

use crate::name::DomainName;
use crate::placement::engine::EngineProfile;
use crate::placement::path::LayerHolder;
use crate::placement::path::MAX_MEMORY_UTILIZATION;

/// The memory of a service for requests, in tokens of requests that go through all layers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceCapacity {
    /// The memory of the scarcest layer of each failure domain that holds all layers.
    pub total_tokens: f64,
    /// The part of it that is free.
    pub free_tokens: f64,
}

impl ServiceCapacity {
    /// Returns the capacity that `holders` offer; `None` if they do not hold all layers.
    ///
    /// Failure domains that lack a layer are not counted. If all do, the holders of all domains
    /// count as one domain, since requests then run on chains that cross domains.
    pub fn of(profile: &EngineProfile, holders: &[LayerHolder]) -> Option<Self> {
        let mut domains: Vec<(&DomainName, LayerTokens)> = Vec::new();
        let mut all = LayerTokens::new(profile.layers);
        for holder in holders.iter().filter(|h| profile.has_layers(h.layers)) {
            let index = domains.iter().position(|(d, _)| **d == holder.domain);
            let index = index.unwrap_or_else(|| {
                domains.push((&holder.domain, LayerTokens::new(profile.layers)));
                domains.len() - 1
            });
            domains[index].1.add(profile, holder);
            all.add(profile, holder);
        }
        let complete = domains.iter().filter_map(|(_, tokens)| tokens.scarcest());
        complete.reduce(Self::plus).or_else(|| all.scarcest())
    }

    /// Returns the part of the capacity that is in use, 0 to 1.
    pub fn utilization(&self) -> f64 {
        if self.total_tokens <= 0.0 {
            return 1.0;
        }
        (1.0 - self.free_tokens / self.total_tokens).clamp(0.0, 1.0)
    }

    fn plus(self, other: Self) -> Self {
        Self {
            total_tokens: self.total_tokens + other.total_tokens,
            free_tokens: self.free_tokens + other.free_tokens,
        }
    }
}

/// The memory for requests by layer, in tokens.
struct LayerTokens {
    total: Vec<f64>,
    free: Vec<f64>,
}

impl LayerTokens {
    fn new(layers: u16) -> Self {
        let zeros = vec![0.0; usize::from(layers)];
        Self { total: zeros.clone(), free: zeros }
    }

    /// Adds the memory of `holder`, whose load counts as spread evenly over its layers.
    fn add(&mut self, profile: &EngineProfile, holder: &LayerHolder) {
        let total = profile.token_capacity(&holder.kind, holder.layers.len());
        let usable = MAX_MEMORY_UTILIZATION * total;
        let used = f64::from(holder.load.token_layers) / f64::from(holder.layers.len());
        let free = (usable - used).max(0.0);
        for layer in usize::from(holder.layers.from)..usize::from(holder.layers.to) {
            self.total[layer] += usable;
            self.free[layer] += free;
        }
    }

    /// Returns the memory of the scarcest layer; `None` if a layer has no holder with memory.
    fn scarcest(&self) -> Option<ServiceCapacity> {
        let least = |tokens: &[f64]| tokens.iter().copied().fold(f64::INFINITY, f64::min);
        let total_tokens = least(&self.total);
        let is_complete = total_tokens.is_finite() && total_tokens > 0.0;
        is_complete.then(|| ServiceCapacity { total_tokens, free_tokens: least(&self.free) })
    }
}
