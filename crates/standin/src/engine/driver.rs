//! Advances the engine simulation in real time on a thread of its own.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::engine::PortChange;
use crate::engine::Simulation;
use crate::http::Port;

/// The longest time that the scheduler waits without checking for due events.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// The engine simulation, shared by the scheduler thread and the ports.
pub(crate) struct Driver {
    state: Mutex<State>,
    wake: Condvar,
    started: Instant,
    ports: OnceLock<Vec<Port>>,
}

struct State {
    simulation: Simulation,
    stopped: bool,
}

impl Driver {
    /// Creates a driver whose time counts from `started`.
    pub(crate) fn new(simulation: Simulation, started: Instant) -> Arc<Self> {
        let state = Mutex::new(State { simulation, stopped: false });
        Arc::new(Self { state, wake: Condvar::new(), started, ports: OnceLock::new() })
    }

    /// Sets the ports, in the order of the engines; only the first call has an effect.
    pub(crate) fn set_ports(&self, ports: Vec<Port>) {
        let _ = self.ports.set(ports);
    }

    /// Returns the time since the start, in microseconds.
    pub(crate) fn now_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Advances the simulation to now, calls `f` with it and the time in microseconds, and wakes
    /// the scheduler.
    pub(crate) fn with_simulation<T>(&self, f: impl FnOnce(&mut Simulation, u64) -> T) -> T {
        let mut state = self.lock();
        let now = self.now_us();
        state.simulation.advance(now);
        let result = f(&mut state.simulation, now);
        let changes = std::mem::take(&mut state.simulation.port_changes);
        drop(state);
        self.change_ports(&changes);
        self.wake.notify_one();
        result
    }

    /// Starts the scheduler thread.
    pub(crate) fn spawn(self: &Arc<Self>) -> std::io::Result<JoinHandle<()>> {
        let driver = self.clone();
        thread::Builder::new().name("engines".to_owned()).spawn(move || driver.run())
    }

    /// Tells the scheduler thread to end.
    pub(crate) fn stop(&self) {
        self.lock().stopped = true;
        self.wake.notify_all();
    }

    fn run(&self) {
        let mut state = self.lock();
        while !state.stopped {
            state.simulation.advance(self.now_us());
            let changes = std::mem::take(&mut state.simulation.port_changes);
            if !changes.is_empty() {
                self.change_ports(&changes);
            }
            let due = state.simulation.next_due_us();
            let wait = due.map_or(MAX_WAIT, |due| {
                Duration::from_micros(due.saturating_sub(self.now_us())).min(MAX_WAIT)
            });
            if wait.is_zero() {
                continue;
            }
            let waited = self.wake.wait_timeout(state, wait);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change_ports(&self, changes: &[(usize, PortChange)]) {
        let Some(ports) = self.ports.get() else { return };
        for (i, change) in changes {
            match change {
                PortChange::Close => ports[*i].close(),
                PortChange::Reopen => ports[*i].reopen(),
            }
        }
    }
}
