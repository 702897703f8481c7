//! The shutdown of a host. `core::shutdown` says when its phases begin.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::watch as watch_channel;
use tokio::time;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::shutdown::ShutdownPhase;
use yuccanotch_core::shutdown::ShutdownPlan;

use crate::host::Gateway;

/// The time between checks which phase has come, and whether the host is idle.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Tells the tasks of the process how far its shutdown has come.
pub struct Shutdown {
    tx: watch_channel::Sender<ShutdownPhase>,
    // When the signal to stop came.
    began: Cell<Option<Millis>>,
}

impl Shutdown {
    pub(crate) fn new() -> Self {
        Self { tx: watch_channel::Sender::new(ShutdownPhase::Running), began: Cell::new(None) }
    }

    /// Returns whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        *self.tx.borrow() >= ShutdownPhase::Stopping
    }

    /// Resolves when callers' connections must close once their current request has ended.
    pub async fn closing(&self) {
        self.reached(ShutdownPhase::Closing).await;
    }

    /// Resolves when requests in progress must get their final answer, since the process is about to
    /// exit.
    pub async fn answering(&self) {
        self.reached(ShutdownPhase::Answering).await;
    }

    async fn reached(&self, phase: ShutdownPhase) {
        let mut rx = self.tx.subscribe();
        // The sender lives as long as the process.
        let _ = rx.wait_for(|&p| p >= phase).await;
    }
}

impl Gateway {
    /// Returns whether a request that is sent now can be answered by its server before this process
    /// exits, if it was told to. `deadline` is the time left until the deadline of the request, and
    /// `expected` the time that it is expected to take, if that is known.
    pub(crate) fn has_time_for(&self, deadline: Millis, expected: Option<Millis>) -> bool {
        let Some(began) = self.shutdown.began.get() else {
            return true;
        };
        let plan = ShutdownPlan::new(self.changeable().grace);
        plan.has_time_for(self.clock.now().since(began), deadline, expected)
    }
}

/// Ends the host: it reports that it is not ready, then closes callers' connections, gives the
/// requests that are still in progress shortly before the end of the grace period a final answer, and
/// returns when all have ended or the period is over.
pub async fn run(gateway: &Gateway) {
    let began = gateway.clock.now();
    gateway.shutdown.began.set(Some(began));
    loop {
        // The grace period may change meanwhile.
        let plan = ShutdownPlan::new(gateway.changeable().grace);
        enter(gateway, plan.phase(gateway.clock.now().since(began)));
        let phase = *gateway.shutdown.tx.borrow();
        let is_idle = gateway.active_requests() == 0 && gateway.caller_connections.get() == 0;
        if phase == ShutdownPhase::Exiting || (phase > ShutdownPhase::Stopping && is_idle) {
            break;
        }
        time::sleep(CHECK_INTERVAL).await;
    }
    gateway.event_log.line(
        Event::GatewayStopped,
        &[
            ("active", &gateway.active_requests()),
            ("connections", &gateway.caller_connections.get()),
        ],
    );
    gateway.event_log.flush();
}

/// Enters `phase` unless the shutdown has come further.
fn enter(gateway: &Gateway, phase: ShutdownPhase) {
    let has_changed = gateway.shutdown.tx.send_if_modified(|present| {
        let is_later = phase > *present;
        *present = phase.max(*present);
        is_later
    });
    let event = match phase {
        ShutdownPhase::Stopping => Event::GatewayStopping,
        ShutdownPhase::Answering => Event::GatewayAnswering,
        _ => return,
    };
    if has_changed {
        gateway.event_log.line(event, &[("active", &gateway.active_requests())]);
    }
}
