//! HTTP calls of the platform stand-in: the store and the host list.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::watch;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::HostList;
use yuccanotch_core::engine::ListedHost;
use yuccanotch_core::ids::KeyVersion;
use yuccanotch_core::ids::LeaseId;
use yuccanotch_core::store::http::HEADER_EXPECT;
use yuccanotch_core::store::http::HEADER_LEASE;
use yuccanotch_core::store::http::HEADER_VERSION;
use yuccanotch_core::store::StoreError;
use yuccanotch_core::store::WatchBatch;

use crate::http::Handler;
use crate::http::HttpRequest;
use crate::http::Reply;
use crate::record::StoreCalls;
use crate::settings::PlatformSettings;
use crate::store::Snapshot;
use crate::store::StoreState;

const MAX_WATCH_MS: u64 = 30_000;
const LEASE_EXPIRY_INTERVAL: Duration = Duration::from_millis(20);
const RATE_WINDOW_MS: u64 = 1000;

/// The stand-in for the platform's store and host list.
pub(crate) struct Platform {
    settings: PlatformSettings,
    clock: Clock,
    state: Mutex<State>,
    revision: watch::Sender<u64>,
    dropped_watches: watch::Sender<u64>,
}

struct State {
    store: StoreState,
    snapshot: Option<Snapshot>,
    calls: StoreCalls,
    reads: RateLimiter,
    writes: RateLimiter,
    faults: StoreFaults,
    rng: Pcg64Mcg,
    hosts: Vec<ListedHost>,
    /// The host lists, each with the time from which it is served; the first one is served now.
    host_lists: VecDeque<(Millis, Vec<ListedHost>)>,
}

/// The faults of the store, each with the time at which it ends.
#[derive(Debug, Default)]
struct StoreFaults {
    outage_until: Millis,
    slow_until: Millis,
    slow_ms: u64,
    lose_calls_until: Millis,
    lose_calls_percent: u8,
    lose_answers_until: Millis,
    lose_answers_percent: u8,
}

/// Limits the number of calls in each window of [`RATE_WINDOW_MS`].
#[derive(Debug)]
struct RateLimiter {
    per_s: u32,
    window: u64,
    used: u32,
}

impl RateLimiter {
    fn new(per_s: u32) -> Self {
        Self { per_s, window: 0, used: 0 }
    }

    fn try_acquire(&mut self, now: Millis) -> bool {
        let window = now.0 / RATE_WINDOW_MS;
        if window != self.window {
            self.window = window;
            self.used = 0;
        }
        self.used += 1;
        self.used <= self.per_s
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallKind {
    Read,
    Write,
    Watch,
    Lease,
}

/// How a call is treated, as decided before it is executed.
enum Admission {
    Run { delay_ms: u64, lose_answer: bool },
    Refuse(u16),
    Lose,
}

impl Platform {
    /// Creates a platform with an empty store and the host list `hosts`.
    pub(crate) fn new(settings: PlatformSettings, seed: u64, hosts: Vec<ListedHost>) -> Self {
        let state = State {
            store: StoreState::default(),
            snapshot: None,
            calls: StoreCalls::default(),
            reads: RateLimiter::new(settings.reads_per_s),
            writes: RateLimiter::new(settings.writes_per_s),
            faults: StoreFaults::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            host_lists: VecDeque::from([(Millis::ZERO, hosts.clone())]),
            hosts,
        };
        Self {
            settings,
            clock: Clock::monotonic(),
            state: Mutex::new(state),
            revision: watch::channel(0).0,
            dropped_watches: watch::channel(0).0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes expired leases and their keys periodically, until the runtime shuts down.
    pub(crate) async fn expire_leases(&self) {
        loop {
            tokio::time::sleep(LEASE_EXPIRY_INTERVAL).await;
            let mut state = self.lock();
            if state.store.expire(self.clock.now()) {
                self.notify_watches(&state);
            }
        }
    }

    fn notify_watches(&self, state: &State) {
        self.revision.send_replace(state.store.revision());
    }

    /// Returns the number of calls so far.
    pub(crate) fn calls(&self) -> StoreCalls {
        self.lock().calls
    }

    /// Changes the host list; the change is served after the lag of the settings.
    pub(crate) fn change_hosts(&self, f: impl FnOnce(&mut Vec<ListedHost>)) {
        let mut state = self.lock();
        f(&mut state.hosts);
        let shown_at = self.clock.now() + Millis(self.settings.host_list_lag_ms);
        let hosts = state.hosts.clone();
        state.host_lists.push_back((shown_at, hosts));
    }

    /// Refuses all calls with status 503 for the duration `span`.
    pub(crate) fn set_outage(&self, span: Millis) {
        self.lock().faults.outage_until = self.clock.now() + span;
    }

    /// Answers each call after at least `delay_ms` for the duration `span`.
    pub(crate) fn set_slow(&self, span: Millis, delay_ms: u64) {
        let faults = &mut self.lock().faults;
        faults.slow_until = self.clock.now() + span;
        faults.slow_ms = delay_ms;
    }

    /// Drops `percent` of the calls before they are executed, for the duration `span`.
    pub(crate) fn lose_calls(&self, span: Millis, percent: u8) {
        let faults = &mut self.lock().faults;
        faults.lose_calls_until = self.clock.now() + span;
        faults.lose_calls_percent = percent.min(100);
    }

    /// Drops `percent` of the answers to executed calls, for the duration `span`.
    pub(crate) fn lose_answers(&self, span: Millis, percent: u8) {
        let faults = &mut self.lock().faults;
        faults.lose_answers_until = self.clock.now() + span;
        faults.lose_answers_percent = percent.min(100);
    }

    /// Takes a snapshot of all values.
    pub(crate) fn take_snapshot(&self) {
        let mut state = self.lock();
        state.snapshot = Some(state.store.snapshot());
    }

    /// Restores the latest snapshot, if there is one.
    pub(crate) fn restore_snapshot(&self) {
        let mut state = self.lock();
        if let Some(snapshot) = state.snapshot.clone() {
            state.store.restore(snapshot);
            self.notify_watches(&state);
        }
    }

    /// Closes the connections of all waiting watches.
    pub(crate) fn drop_watches(&self) {
        self.dropped_watches.send_modify(|count| *count += 1);
    }

    /// Ends all faults.
    pub(crate) fn heal(&self) {
        self.lock().faults = StoreFaults::default();
    }

    fn admit(&self, kind: CallKind) -> Admission {
        let now = self.clock.now();
        let mut state = self.lock();
        let state = &mut *state;
        match kind {
            CallKind::Read => state.calls.reads += 1,
            CallKind::Write => state.calls.writes += 1,
            CallKind::Watch => state.calls.watches += 1,
            CallKind::Lease => state.calls.leases += 1,
        }
        let faults = &state.faults;
        let mut is_drawn = |percent: u8| state.rng.random_range(0..100) < percent;
        if now < faults.outage_until {
            state.calls.faulted += 1;
            return Admission::Refuse(503);
        }
        let limiter = match kind {
            CallKind::Read | CallKind::Watch => &mut state.reads,
            CallKind::Write | CallKind::Lease => &mut state.writes,
        };
        if !limiter.try_acquire(now) {
            state.calls.over_rate += 1;
            return Admission::Refuse(429);
        }
        if now < faults.lose_calls_until && is_drawn(faults.lose_calls_percent) {
            state.calls.faulted += 1;
            return Admission::Lose;
        }
        let lose_answer = now < faults.lose_answers_until && is_drawn(faults.lose_answers_percent);
        state.calls.faulted += u64::from(lose_answer);
        let slow_ms = if now < faults.slow_until { faults.slow_ms } else { 0 };
        Admission::Run { delay_ms: self.settings.answer_ms.max(slow_ms), lose_answer }
    }

    fn run(&self, req: &HttpRequest) -> Reply {
        if let Some(key) = req.path.strip_prefix("/v1/kv/") {
            return match req.method.as_str() {
                "GET" => self.get(key),
                "PUT" => self.put(key, req),
                "DELETE" => self.delete(key, req),
                _ => Reply::new(405, ""),
            };
        }
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/v1/list") => {
                let keys = self.lock().store.list(req.query("prefix").unwrap_or_default());
                Reply::json(200, &keys)
            }
            ("POST", "/v1/lease") => self.grant_lease(req),
            ("POST", path) => self.renew_lease(path),
            _ => Reply::new(404, "no such call"),
        }
    }

    fn get(&self, key: &str) -> Reply {
        match self.lock().store.get(key) {
            Some(found) => with_version(200, found.version, found.value),
            None => Reply::new(404, ""),
        }
    }

    fn put(&self, key: &str, req: &HttpRequest) -> Reply {
        let lease = req.header(HEADER_LEASE).and_then(|text| text.parse().ok()).map(LeaseId);
        let Some(expect) = expected_version(req) else {
            return Reply::new(400, "the expected version is missing or not a number");
        };
        let mut state = self.lock();
        match state.store.swap(key, expect, req.body.clone(), lease) {
            Ok(version) => {
                self.notify_watches(&state);
                with_version(200, version, Vec::new())
            }
            Err(e) => error_reply(&e),
        }
    }

    fn delete(&self, key: &str, req: &HttpRequest) -> Reply {
        let Some(expect) = expected_version(req) else {
            return Reply::new(400, "the expected version is missing or not a number");
        };
        let mut state = self.lock();
        match state.store.delete(key, expect) {
            Ok(()) => {
                self.notify_watches(&state);
                Reply::new(200, "")
            }
            Err(e) => error_reply(&e),
        }
    }

    fn grant_lease(&self, req: &HttpRequest) -> Reply {
        let Some(ttl) = req.query("ttl_ms").and_then(|text| text.parse().ok()) else {
            return Reply::new(400, "ttl_ms is missing or not a number");
        };
        let lease = self.lock().store.grant_lease(self.clock.now(), Millis(ttl));
        Reply::json(200, &serde_json::json!({ "lease": lease }))
    }

    fn renew_lease(&self, path: &str) -> Reply {
        let id = path.strip_prefix("/v1/lease/").and_then(|rest| rest.strip_suffix("/renew"));
        let Some(id) = id.and_then(|text| text.parse().ok()) else {
            return Reply::new(404, "no such call");
        };
        match self.lock().store.renew_lease(self.clock.now(), LeaseId(id)) {
            Ok(()) => Reply::new(200, ""),
            Err(e) => error_reply(&e),
        }
    }

    async fn watch(&self, req: &HttpRequest) -> Reply {
        let prefix = req.query("prefix").unwrap_or_default();
        let number = |name| req.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let after = number("after");
        let wait = Duration::from_millis(number("wait_ms").min(MAX_WATCH_MS));
        let mut revision = self.revision.subscribe();
        let mut dropped = self.dropped_watches.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let batch = self.lock().store.changes(prefix, after);
            if !batch.changes.is_empty() || batch.revision < after {
                return watch_reply(batch);
            }
            tokio::select! {
                _ = revision.changed() => {}
                _ = dropped.changed() => return Reply::Close,
                _ = tokio::time::sleep_until(deadline) => return watch_reply(batch),
            }
        }
    }

    fn hosts(&self) -> Reply {
        let now = self.clock.now();
        let mut state = self.lock();
        while state.host_lists.get(1).is_some_and(|(shown_at, _)| *shown_at <= now) {
            state.host_lists.pop_front();
        }
        let hosts = state.host_lists.front().map(|(_, hosts)| hosts.clone()).unwrap_or_default();
        Reply::json(200, &HostList { hosts })
    }
}

fn expected_version(req: &HttpRequest) -> Option<KeyVersion> {
    req.header(HEADER_EXPECT).and_then(|text| text.parse().ok()).map(KeyVersion)
}

fn with_version(status: u16, version: KeyVersion, body: Vec<u8>) -> Reply {
    Reply::Full { status, headers: vec![(HEADER_VERSION, version.to_string())], body }
}

fn watch_reply(batch: WatchBatch) -> Reply {
    let changes: Vec<(String, KeyVersion)> =
        batch.changes.into_iter().map(|change| (change.key, change.version)).collect();
    let body = serde_json::json!({ "revision": batch.revision, "changes": changes });
    Reply::json(200, &body)
}

fn error_reply(e: &StoreError) -> Reply {
    match e {
        StoreError::Conflict(current) => with_version(409, *current, Vec::new()),
        StoreError::TooLarge => Reply::new(413, e.to_string()),
        StoreError::LeaseLapsed => Reply::new(410, e.to_string()),
        _ => Reply::new(503, e.to_string()),
    }
}

impl Handler for Platform {
    async fn handle(&self, req: HttpRequest) -> Reply {
        let kind = match (req.method.as_str(), req.path.as_str()) {
            (_, "/v1/hosts") => CallKind::Read,
            (_, "/v1/watch") => CallKind::Watch,
            (_, path) if path.starts_with("/v1/lease") => CallKind::Lease,
            ("PUT" | "DELETE", _) => CallKind::Write,
            _ => CallKind::Read,
        };
        let (delay_ms, lose_answer) = match self.admit(kind) {
            Admission::Run { delay_ms, lose_answer } => (delay_ms, lose_answer),
            Admission::Refuse(status) => return Reply::new(status, ""),
            Admission::Lose => return Reply::Close,
        };
        let reply = match req.path.as_str() {
            "/v1/hosts" => self.hosts(),
            "/v1/watch" => self.watch(&req).await,
            _ => self.run(&req),
        };
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if lose_answer {
            return Reply::Close;
        }
        reply
    }
}
