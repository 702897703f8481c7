//! The allowances of this host for chains that cross failure domains.

use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::routes::Service;
use yuccanotch_core::name::ServiceName;
use yuccanotch_core::placement::chain::Chain;
use yuccanotch_core::placement::crossing::AllowanceChange;
use yuccanotch_core::placement::crossing::ChainChooser;
use yuccanotch_core::placement::crossing::CrossingBucket;
use yuccanotch_core::placement::crossing::CrossingShare;
use yuccanotch_core::placement::crossing::CrossingTotals;
use yuccanotch_core::placement::engine::EngineProfile;
use yuccanotch_core::placement::path::LayerHolder;

use crate::routing::RequestTokens;
use crate::routing::RoutingState;

impl RoutingState {
    /// Takes the allowance of a request that is about to be sent over `chain`. It is taken without a
    /// wait after the choice, so that no other request uses the same tokens.
    pub fn on_sending_over(&self, service: &Service, chain: &Chain, tokens: RequestTokens) {
        self.with_bucket(&service.name, |b| b.on_sent(tokens.total, chain.crossings()));
    }

    /// Takes the allowance of a request that is to be moved from the chain `old` to `new`. It is
    /// taken before the server answers, so that requests that move at the same time do not use the
    /// same tokens.
    pub fn on_moving(&self, service: &Service, old: &Chain, new: &Chain, tokens: RequestTokens) {
        let crossings = new.crossings_beyond(old);
        self.with_bucket(&service.name, |b| b.on_moved(tokens.total, crossings));
    }

    /// Returns the tokens asked for so far, for each service whose crossings are limited.
    pub fn crossing_totals(&self) -> Vec<(ServiceName, CrossingTotals)> {
        let crossings = self.crossings.borrow();
        crossings.iter().map(|(service, b)| (service.clone(), b.totals())).collect()
    }

    /// Records a request that only a chain across domains could have served.
    pub(super) fn record_crossing_refused(&self, service: &ServiceName, tokens: RequestTokens) {
        self.with_bucket(service, |b| {
            b.on_refused(tokens.total);
            None
        });
    }

    /// Calls `f` with the choice of chains through `holders` under the allowance of `service`.
    pub(super) fn with_chooser<T>(
        &self,
        service: &Service,
        profile: &EngineProfile,
        holders: &[LayerHolder],
        tokens: RequestTokens,
        f: impl FnOnce(ChainChooser<'_>) -> T,
    ) -> T {
        let crossings = self.crossings.borrow();
        // The allowance of a service that was configured since the last tick is still empty.
        let empty = CrossingBucket::default();
        let is_limited = profile.inter_domain_tokens_per_s().is_some();
        let bucket = is_limited.then(|| crossings.get(&service.name).unwrap_or(&empty));
        f(ChainChooser { profile, holders, tokens: tokens.total, bucket })
    }

    /// Fills the allowances of all services that name the capacity of the link between domains, and
    /// removes those of services that are no longer configured.
    pub(super) fn fill_crossings(&self, now: Millis, hosts: usize) {
        let Some(configuration) = self.views.configuration() else {
            return;
        };
        let share_of = |s: &Service| CrossingShare::new(s.engine.as_ref()?, hosts);
        let shares: Vec<(&ServiceName, CrossingShare)> =
            configuration.services().filter_map(|s| Some((&s.name, share_of(s)?))).collect();
        let mut crossings = self.crossings.borrow_mut();
        crossings.retain(|service, _| configuration.service(service).is_some());
        for (service, share) in shares {
            let bucket =
                crossings.entry(service.clone()).or_insert_with(|| CrossingBucket::new(now, share));
            if let Some(change) = bucket.fill(now, share) {
                self.log_allowance(service, share, change);
            }
        }
    }

    fn with_bucket(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut CrossingBucket) -> Option<AllowanceChange>,
    ) {
        let mut crossings = self.crossings.borrow_mut();
        let Some(bucket) = crossings.get_mut(service) else {
            return;
        };
        if let Some(change) = f(bucket) {
            self.log_allowance(service, bucket.share(), change);
        }
    }

    fn log_allowance(&self, service: &ServiceName, share: CrossingShare, change: AllowanceChange) {
        let event = match change {
            AllowanceChange::Exhausted => Event::CrossingsExhausted,
            AllowanceChange::Available => Event::CrossingsAvailable,
        };
        let per_s = share.tokens_per_s().round();
        self.event_log.line(event, &[("service", service), ("per_s", &per_s)]);
    }
}
