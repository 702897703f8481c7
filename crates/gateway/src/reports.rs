//! What model servers tell of themselves: asked once for many requests, and kept for a moment.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddrV4;
use std::rc::Rc;

use tokio::sync::Mutex;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::forward::health::SLOWNESS_THRESHOLD;
use yuccanotch_core::name::ServerName;

use crate::edge::EngineReport;

/// How long the finding that a server is slow is told to other hosts.
const TOLD: Millis = Millis(1_500);

#[derive(Debug)]
struct Kept {
    at: Millis,
    report: Option<Rc<EngineReport>>,
}

type Slot = Rc<Mutex<Option<Kept>>>;

/// Reports by address.
#[derive(Debug)]
pub struct Reports {
    clock: Clock,
    slots: RefCell<HashMap<SocketAddrV4, Slot>>,
    slow: RefCell<HashMap<ServerName, (Millis, f64)>>,
}

impl Reports {
    /// Creates an empty collection.
    pub fn new(clock: Clock) -> Self {
        Self { clock, slots: RefCell::default(), slow: RefCell::default() }
    }

    /// Returns the report of the server at `address` if it is younger than `age`, or else asks for
    /// one; requests that want it meanwhile wait for the same answer.
    pub async fn get<F>(
        &self,
        address: SocketAddrV4,
        age: Millis,
        ask: F,
    ) -> Option<Rc<EngineReport>>
    where
        F: Future<Output = Option<EngineReport>>,
    {
        let slot = self.slots.borrow_mut().entry(address).or_default().clone();
        let mut kept = slot.lock().await;
        let fresh = |k: &&Kept| self.clock.now().since(k.at) < age;
        if let Some(kept) = kept.as_ref().filter(fresh) {
            return kept.report.clone();
        }
        let report = ask.await.map(Rc::new);
        *kept = Some(Kept { at: self.clock.now(), report: report.clone() });
        report
    }

    /// Notes by what factor this host found `server` to be slow.
    pub fn note_slow(&self, server: &ServerName, factor: f64) {
        let now = self.clock.now();
        let mut slow = self.slow.borrow_mut();
        if factor > SLOWNESS_THRESHOLD {
            slow.insert(server.clone(), (now, factor));
        } else {
            slow.remove(server);
        }
    }

    /// Returns the servers that this host found slow lately.
    pub fn slow(&self, now: Millis) -> Vec<(ServerName, f64)> {
        let mut slow = self.slow.borrow_mut();
        slow.retain(|_, (at, _)| now.since(*at) < TOLD);
        slow.iter().map(|(id, (_, factor))| (id.clone(), *factor)).collect()
    }
}
