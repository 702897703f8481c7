//! The wait of a request for room at the servers of its service.

use std::rc::Rc;
use std::time::Duration;

use tokio::time;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::forward::waiting::Progress;
use yuccanotch_core::forward::waiting::QueuePosition;
use yuccanotch_core::name::ServiceName;

use crate::exchange::Exchange;
use crate::traffic::Among;
use crate::traffic::Target;
use crate::traffic::Traffic;

/// The longest wait of a request of which the caller has nothing yet.
const ROOM_WAIT: Millis = Millis(400);
/// How often a request that waits for room looks again.
const ROOM_LOOK: Duration = Duration::from_millis(20);

impl Exchange {
    /// Returns the servers that the request goes to, as soon as they have room and no request that
    /// goes before it waits; nothing if the wait takes too long.
    pub(super) async fn wait_for_target(&self) -> Option<Target> {
        let traffic = &self.gateway.traffic;
        let until = self.room_until();
        let waiter = Waiter::enter(traffic, &self.service.name, self.progress(), self.priority());
        let among = if self.outcome.may_try_new_server() {
            Among::All { tried: &self.tried }
        } else {
            Among::Known(&self.tried)
        };
        loop {
            let found = waiter
                .may_try()
                .then(|| traffic.choose(&self.service, self.tokens(), among))
                .flatten();
            let hopeless = matches!(among, Among::Known(tried) if !traffic.is_listed(tried));
            if found.is_some() || hopeless || self.gateway.clock.now() >= until {
                return found;
            }
            let _ = time::timeout(ROOM_LOOK, traffic.room.notified()).await;
        }
    }

    fn progress(&self) -> Progress {
        if self.outcome.has_begun() {
            Progress::Begun
        } else {
            Progress::NotBegun
        }
    }

    /// Returns the rank of the request; the team's goes before the route's.
    fn priority(&self) -> u8 {
        self.team.as_ref().and_then(|t| t.priority).unwrap_or(self.route.priority)
    }

    /// Returns how long the request waits: what its caller has would be lost, so it waits as long as
    /// the caller does, while one of which the caller has nothing may come back.
    fn room_until(&self) -> Millis {
        match self.progress() {
            Progress::Begun => self.last_event + self.route.max_stream_pause,
            Progress::NotBegun => self.gateway.clock.now() + ROOM_WAIT,
        }
    }
}

/// A request that waits, until it is dropped.
struct Waiter {
    traffic: Rc<Traffic>,
    service: ServiceName,
    place: QueuePosition,
}

impl Waiter {
    fn enter(
        traffic: &Rc<Traffic>,
        service: &ServiceName,
        progress: Progress,
        priority: u8,
    ) -> Self {
        let place = traffic.waiting(service, |w| w.insert(progress, priority));
        Self { traffic: traffic.clone(), service: service.clone(), place }
    }

    fn may_try(&self) -> bool {
        self.traffic.waiting(&self.service, |w| w.may_try(self.place))
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.traffic.waiting(&self.service, |w| w.remove(self.place));
        self.traffic.room.notify_waiters();
    }
}
