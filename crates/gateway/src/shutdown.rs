//! The shutdown of a host.

use std::time::Duration;

use tokio::sync::watch as watch_channel;
use tokio::time;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;

use crate::host::Gateway;

/// How long a stopping host still accepts connections: the load balancer needs two readiness checks
/// to stop sending new ones.
const DRAIN_NOTICE: Millis = Millis(2_600);
/// How long before the end of the grace period the process exits.
const EXIT_MARGIN: Millis = Millis(150);

/// The state of the shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq, PartialOrd)]
enum ShutdownPhase {
    /// The host serves callers.
    Running,
    /// The host reports that it is not ready but still accepts connections.
    Stopping,
    /// The host accepts no connections and closes each after its current request.
    Closing,
}

/// Tells the tasks of the process how far its shutdown has come.
pub struct Shutdown {
    tx: watch_channel::Sender<ShutdownPhase>,
}

impl Shutdown {
    pub(crate) fn new() -> Self {
        Self { tx: watch_channel::Sender::new(ShutdownPhase::Running) }
    }

    /// Returns whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        *self.tx.borrow() >= ShutdownPhase::Stopping
    }

    /// Resolves when callers' connections must close once their current request has ended.
    pub async fn closing(&self) {
        let mut rx = self.tx.subscribe();
        // The sender lives as long as the process.
        let _ = rx.wait_for(|&p| p >= ShutdownPhase::Closing).await;
    }
}

/// Ends the host: it reports that it is not ready, then closes callers' connections and waits for
/// their requests until the grace period ends.
pub async fn run(gateway: &Gateway) {
    let began = gateway.clock.now();
    gateway.shutdown.tx.send_replace(ShutdownPhase::Stopping);
    gateway.event_log.line(Event::GatewayStopping, &[("active", &gateway.active_requests())]);
    time::sleep(DRAIN_NOTICE.to_duration()).await;
    gateway.shutdown.tx.send_replace(ShutdownPhase::Closing);
    let end = began + gateway.changeable().grace.since(EXIT_MARGIN);
    while gateway.clock.now() < end {
        let idle = gateway.active_requests() == 0 && gateway.caller_connections.get() == 0;
        if idle {
            break;
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    gateway.event_log.line(Event::GatewayStopped, &[("active", &gateway.active_requests())]);
    gateway.event_log.flush();
}
