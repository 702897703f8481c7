//! The wait of a request until a server of its service has room.

use std::rc::Rc;
use std::time::Duration;

use tokio::time;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::forward::outcome::AttemptEnd;
use yuccanotch_core::forward::outcome::RetryConditions;
use yuccanotch_core::forward::waiting::Progress;
use yuccanotch_core::forward::waiting::QueuePosition;
use yuccanotch_core::name::ServiceName;

use crate::exchange::Destination;
use crate::exchange::Exchange;
use crate::exchange::MIN_TIME_FOR_RETRY;
use crate::routing::Candidates;
use crate::routing::RoutingState;
use crate::routing::Target;

/// The longest wait of a request whose caller has received nothing yet.
const MAX_ROOM_WAIT: Millis = Millis(400);
/// How often a waiting request checks for room or for a retry in the budget.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Exchange {
    /// Returns where the request goes as soon as a target has room and no request with precedence
    /// waits, or another host takes it because this one reaches no server; `None` if the wait takes
    /// too long or no allowed server is listed.
    pub(super) async fn wait_for_destination(&self) -> Option<Destination> {
        let routing = &self.gateway.routing;
        let until = self.wait_deadline();
        let waiter = self.enter_queue();
        let candidates = self.candidates();
        let gives_way_until = self.gives_way_until();
        loop {
            if let Some(host) = self.choose_host() {
                return Some(Destination::Host(host));
            }
            let gives_way = gives_way_until.is_some_and(|end| self.gateway.clock.now() < end);
            let may_try = waiter.may_try() && (!gives_way || self.may_send_now());
            let found = may_try.then(|| self.choose_target(candidates)).flatten();
            let unavailable = match candidates {
                Candidates::All { .. } => false,
                Candidates::Untried { tried } => !routing.lists_other(&self.service, tried),
                Candidates::Tried(tried) => !routing.is_listed(tried),
            };
            // The host that passed the request on has other hosts to choose from.
            let is_in_vain = self.is_relayed
                && (routing.reaches_none(&self.service) || routing.lacks_share(&self.service));
            let is_over = unavailable || is_in_vain || self.gateway.clock.now() >= until;
            if found.is_some() && gives_way {
                self.on_trial_sent();
            }
            if found.is_some() || is_over || self.must_not_wait() {
                return found.map(Destination::Servers);
            }
            let _ = time::timeout(ROOM_CHECK_INTERVAL, routing.capacity_freed.notified()).await;
        }
    }

    /// Enters the wait queue. A request that only some servers may take has no precedence there, and
    /// waits behind more urgent ones if it gives way to them.
    fn enter_queue(&self) -> Waiter {
        let priority = self.priority();
        let gives_way = self.gives_way_until().is_some();
        let position = self.gateway.routing.waiting(&self.service.name, |queue| {
            if self.outcome.may_try_new_server() {
                queue.insert(self.progress(), priority)
            } else if gives_way {
                queue.position_behind_urgent(priority)
            } else {
                queue.position_without_precedence(priority)
            }
        });
        Waiter {
            routing: self.gateway.routing.clone(),
            service: self.service.name.clone(),
            position,
        }
    }

    /// Waits until the retry budget allows one more attempt, and takes it from the budget. The
    /// deadline of the request ends the wait.
    pub(super) async fn wait_for_retry(&self) {
        let gateway = &self.gateway;
        while !gateway.routing.take_retry(&self.service.name, gateway.hosts_sharing_retries()) {
            time::sleep(ROOM_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether the wait would be for the end of pauses that servers asked for, which is for
    /// the caller to wait for while it has received nothing.
    fn must_not_wait(&self) -> bool {
        self.progress() == Progress::NotBegun
            && self.gateway.routing.time_all_paused(&self.service).is_some()
    }

    /// Returns whether the request could be sent elsewhere at once if its present attempt ended
    /// because of silence.
    pub(super) fn may_go_elsewhere(&self) -> bool {
        let gateway = &self.gateway;
        let within_deadline = self.deadline.since(gateway.clock.now()) > MIN_TIME_FOR_RETRY;
        let hosts = gateway.hosts_sharing_retries();
        let within_budget = gateway.routing.has_retry(&self.service.name, hosts);
        let conditions = RetryConditions { within_budget, within_deadline };
        let has_other_target = || {
            let target = self.choose_target(self.candidates());
            target.is_some_and(|target| self.may_replace_current(&target))
        };
        self.outcome.would_retry(AttemptEnd::Silent, conditions)
            && (self.outcome.has_begun() || self.has_time())
            && (has_other_target() || self.choose_host().is_some())
    }

    /// Returns whether `target` can replace a silent one. A plain server that is suspected or has had
    /// the request is no better than the silent one, which may go on.
    fn may_replace_current(&self, target: &Target) -> bool {
        match target {
            Target::Chain(_) => true,
            Target::Server { server, .. } => {
                !self.tried.contains(server) && self.gateway.routing.is_usable(server)
            }
        }
    }

    fn choose_target(&self, candidates: Candidates<'_>) -> Option<Target> {
        let target_latency = self.route.target_latency;
        let tokens = self.expected_tokens();
        self.gateway.routing.choose_target(&self.service, tokens, target_latency, candidates)
    }

    fn candidates(&self) -> Candidates<'_> {
        let tried = &self.tried;
        match (self.outcome.may_try_new_server(), self.outcome.may_resend()) {
            (true, true) => Candidates::All { tried },
            (true, false) => Candidates::Untried { tried },
            (false, _) => Candidates::Tried(tried),
        }
    }

    fn progress(&self) -> Progress {
        if self.outcome.has_begun() {
            Progress::Begun
        } else {
            Progress::NotBegun
        }
    }

    /// Returns when the wait ends. If the caller has received a part of the answer, that part would
    /// be lost, so the request waits until the deadline unless the caller leaves before; otherwise it
    /// waits briefly, since the caller may try again.
    fn wait_deadline(&self) -> Millis {
        match self.progress() {
            Progress::Begun => self.deadline,
            Progress::NotBegun => self.gateway.clock.now() + MAX_ROOM_WAIT,
        }
    }
}

/// The position of a request in the wait queue of its service; dropping it removes the request from
/// the queue.
struct Waiter {
    routing: Rc<RoutingState>,
    service: ServiceName,
    position: QueuePosition,
}

impl Waiter {
    fn may_try(&self) -> bool {
        self.routing.waiting(&self.service, |w| w.may_try(self.position))
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.routing.waiting(&self.service, |w| w.remove(self.position));
        self.routing.capacity_freed.notify_waiters();
    }
}
