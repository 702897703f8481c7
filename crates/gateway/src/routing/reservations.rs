//! The reservation of capacity for urgent requests, by service.

use yuccanotch_core::admit::reservation::Admission;
use yuccanotch_core::admit::reservation::Arrival;
use yuccanotch_core::admit::reservation::LevelChange;
use yuccanotch_core::admit::reservation::Rank;
use yuccanotch_core::admit::reservation::RefusedCaller;
use yuccanotch_core::admit::reservation::Reservation;
use yuccanotch_core::admit::reservation::ServiceCapacity;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::routes::Service;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::ServiceName;
use yuccanotch_core::placement::engine::EngineProfile;

use crate::routing::RoutingState;

/// A request of a service whose requests have ranks.
#[derive(Clone, Copy, Debug)]
pub struct Ranked<'a> {
    /// The service.
    pub service: &'a Service,
    /// The rank of the request.
    pub rank: Rank,
}

impl RoutingState {
    /// Returns the rank of a request of `service` with `priority`; `None` if the service has no
    /// ranks.
    pub fn rank(&self, service: &Service, priority: u8) -> Option<Rank> {
        let configuration = self.views.configuration()?;
        configuration.ranks(&service.name).map(|ranks| ranks.rank(priority))
    }

    /// Decides whether a request that has not been sent to any server may wait for capacity.
    pub fn decide_admission(&self, request: Ranked<'_>, caller: RefusedCaller) -> Admission {
        let arrival = Arrival { rank: request.rank, caller };
        let now = self.clock.now();
        self.reservation(request.service, |r| r.decide(now, arrival)).unwrap_or(Admission::Admit)
    }

    /// Returns whether a request that gives way to more urgent ones may be sent.
    pub fn may_send_ranked(&self, request: Ranked<'_>) -> bool {
        self.reservation(request.service, |r| r.may_send(request.rank)).unwrap_or(true)
    }

    /// Records that a request that gives way to more urgent ones is sent.
    pub fn on_trial_sent(&self, request: Ranked<'_>) {
        self.reservation(request.service, |r| r.on_trial_sent(request.rank));
    }

    /// Returns the delay for a caller whose request is refused for want of capacity.
    pub fn retry_after(&self, request: Ranked<'_>, caller: RefusedCaller) -> Option<Millis> {
        let now = self.clock.now();
        self.reservation(request.service, |r| r.retry_after(now, request.rank, caller))
    }

    /// Returns the least urgent rank that is admitted and the utilization in percent, as the log
    /// shows them.
    pub fn level(&self, service: &ServiceName) -> (Rank, u32) {
        let reservations = self.reservations.borrow();
        reservations.get(service).map_or((Rank::MOST_URGENT, 0), |r| (r.level(), percent(r)))
    }

    /// Records the time for which a request of `service` that was answered in full held its capacity.
    pub fn on_answered(&self, service: &ServiceName, held: Millis) {
        if let Some(reservation) = self.reservations.borrow_mut().get_mut(service) {
            reservation.on_answered(held);
        }
    }

    /// Records that another failure domain is heard, or that nothing is heard of it any more.
    pub fn on_domain(&self, domain: &DomainName, is_heard: bool) {
        let mut lost = self.lost_domains.borrow_mut();
        if is_heard {
            lost.remove(domain);
        } else {
            lost.insert(domain.clone());
        }
    }

    /// Returns the number of hosts believed alive.
    pub fn hosts(&self) -> usize {
        self.hosts.get()
    }

    /// Records the number of hosts believed alive, which share the capacity of the servers.
    pub fn set_hosts(&self, hosts: usize) {
        self.hosts.set(hosts);
    }

    /// Calls `f` with each service that has ranks, its admitted rank and its utilization.
    pub fn for_each_reservation(&self, mut f: impl FnMut(&ServiceName, Rank, f64)) {
        for (service, reservation) in self.reservations.borrow().iter() {
            f(service, reservation.level(), reservation.utilization().unwrap_or(0.0));
        }
    }

    /// Updates the reservations while no requests arrive, and removes those of services that no
    /// longer have ranks.
    pub(super) fn update_reservations(&self) {
        let Some(configuration) = self.views.configuration() else {
            return;
        };
        let has_ranks = |name: &ServiceName| configuration.ranks(name).is_some();
        self.reservations.borrow_mut().retain(|name, _| has_ranks(name));
        for service in configuration.services().filter(|s| has_ranks(&s.name)) {
            self.reservation(service, |_| ());
        }
    }

    /// Calls `f` with the reservation of `service`, updated if it is due; returns `None` if the
    /// service has no ranks.
    fn reservation<T>(
        &self,
        service: &Service,
        f: impl FnOnce(&mut Reservation) -> T,
    ) -> Option<T> {
        let configuration = self.views.configuration()?;
        let ranks = configuration.ranks(&service.name)?;
        let profile = configuration.service(&service.name)?.engine.as_ref()?;
        let now = self.clock.now();
        let mut reservations = self.reservations.borrow_mut();
        let create = || Reservation::new(profile, ranks, rand::random());
        let reservation = reservations.entry(service.name.clone()).or_insert_with(create);
        if !reservation.has_ranks(ranks) {
            *reservation = create();
        }
        if reservation.is_outdated(now) {
            let capacity = self.capacity(service, profile);
            if let Some(change) = reservation.on_capacity(now, capacity, self.hosts.get()) {
                self.log_level(&service.name, change, reservation);
            }
        }
        Some(f(reservation))
    }

    /// Returns the capacity of the servers of `service` outside of lost failure domains, whose loads
    /// this host does not know.
    fn capacity(&self, service: &Service, profile: &EngineProfile) -> Option<ServiceCapacity> {
        let mut holders = self.collect_holders(service, profile, None);
        let lost = self.lost_domains.borrow();
        holders.retain(|h| !lost.contains(&h.domain));
        ServiceCapacity::of(profile, &holders)
    }

    fn log_level(&self, service: &ServiceName, change: LevelChange, reservation: &Reservation) {
        self.event_log.line(
            Event::LevelChanged,
            &[
                ("service", service),
                ("from", &change.from),
                ("to", &change.to),
                ("utilization", &percent(reservation)),
            ],
        );
    }
}

/// Returns the utilization in percent.
fn percent(reservation: &Reservation) -> u32 {
    (100.0 * reservation.utilization().unwrap_or(0.0)).round() as u32
}
