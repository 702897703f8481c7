//! A cache of the reports of model servers, so that many requests share one report.

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

use crate::adapter::EngineReport;

/// How long a finding that a server is slow is passed on to other hosts.
const SLOWNESS_TTL: Millis = Millis(1_500);

#[derive(Debug)]
struct CachedReport {
    received_at: Millis,
    report: Option<Rc<EngineReport>>,
}

/// The cache entry of one server; its lock makes concurrent callers wait for one request.
type Slot = Rc<Mutex<Option<CachedReport>>>;

/// The last report of each server, and the servers that this host found slow.
#[derive(Debug)]
pub struct ReportCache {
    clock: Clock,
    slots: RefCell<HashMap<SocketAddrV4, Slot>>,
    slow: RefCell<HashMap<ServerName, (Millis, f64)>>,
}

impl ReportCache {
    /// Creates an empty cache.
    pub fn new(clock: Clock) -> Self {
        Self { clock, slots: RefCell::default(), slow: RefCell::default() }
    }

    /// Returns the report of the server at `address` if it is younger than `max_age`, or else awaits
    /// `fetch` for a new one. Concurrent callers wait for the same answer.
    pub async fn get<F>(
        &self,
        address: SocketAddrV4,
        max_age: Millis,
        fetch: F,
    ) -> Option<Rc<EngineReport>>
    where
        F: Future<Output = Option<EngineReport>>,
    {
        let slot = self.slots.borrow_mut().entry(address).or_default().clone();
        let mut cached = slot.lock().await;
        let fresh = |k: &&CachedReport| self.clock.now().since(k.received_at) < max_age;
        if let Some(cached) = cached.as_ref().filter(fresh) {
            return cached.report.clone();
        }
        let report = fetch.await.map(Rc::new);
        *cached = Some(CachedReport { received_at: self.clock.now(), report: report.clone() });
        report
    }

    /// Records how many times slower than its accelerator kind this host found `server`.
    pub fn record_slowness(&self, server: &ServerName, factor: f64) {
        let now = self.clock.now();
        let mut slow = self.slow.borrow_mut();
        if factor > SLOWNESS_THRESHOLD {
            slow.insert(server.clone(), (now, factor));
        } else {
            slow.remove(server);
        }
    }

    /// Returns the servers that this host found slow lately, with their factors.
    pub fn slow_servers(&self, now: Millis) -> Vec<(ServerName, f64)> {
        let mut slow = self.slow.borrow_mut();
        slow.retain(|_, (at, _)| now.since(*at) < SLOWNESS_TTL);
        slow.iter().map(|(id, (_, factor))| (id.clone(), *factor)).collect()
    }
}
