//! The platform's store, as far as hosts use it, and the entries that workers write there.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::base64;
use crate::control::DETOUR_PORT;
use crate::deployment::MAIN_PORT;
use crate::http::Connection;
use crate::http::Message;
use crate::json::Json;

/// The time between two entries of a worker.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The silence after which the entry of a worker is removed.
const ENTRY_TTL: Duration = Duration::from_millis(3_600);
/// The prefix of the entries of plain workers.
const PLAIN_PREFIX: &str = "servers/plain-";
/// The time between checks for leases that have ended.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);
/// The time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// An item.
#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

/// Which port of the plain workers the store names.
#[derive(Clone, Copy)]
enum View {
    Plain,
    Detour,
}

impl View {
    fn is_detour(self) -> bool {
        matches!(self, Self::Detour)
    }

    /// Returns the value of the item `key` as it is seen.
    fn of(self, key: &str, value: &[u8]) -> Vec<u8> {
        match self {
            Self::Detour if key.starts_with(PLAIN_PREFIX) => {
                let text = String::from_utf8_lossy(value);
                let (own, detour) = (format!(":{MAIN_PORT}\""), format!(":{DETOUR_PORT}\""));
                text.replace(&own, &detour).into_bytes()
            }
            _ => value.to_vec(),
        }
    }
}

/// A change of an item; without a value it was removed.
struct Change {
    key: String,
    item: Option<Item>,
    revision: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    /// When the entries of workers end.
    entries: BTreeMap<String, Instant>,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change { key: key.to_owned(), item: Some(item), revision });
        revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.history.push(Change { key: key.to_owned(), item: None, revision });
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let is_known = self.leases.remove(&lease).is_some();
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        held.iter().for_each(|key| self.remove(key));
        is_known
    }

    fn expire(&mut self, now: Instant) {
        let ended = self.leases.iter().filter(|(_, lease)| lease.ends <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
        let silent = self.entries.iter().filter(|(_, ends)| **ends <= now);
        let silent: Vec<String> = silent.map(|(key, _)| key.clone()).collect();
        for key in silent {
            self.entries.remove(&key);
            self.remove(&key);
        }
    }
}

/// The store.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// How long a watch waits until it is cut, in ms; 0 if none is.
    watch_cut_ms: AtomicU64,
    /// Whether the hosts on the detour get no answer.
    is_detour_silent: AtomicBool,
}

impl Store {
    /// Starts the store at `address`, and at its detour for the hosts whose path to workers can be cut.
    pub fn start(address: SocketAddrV4) -> io::Result<Arc<Self>> {
        let store = Arc::new(Self::default());
        store.lock().revision = 100;
        let detour = SocketAddrV4::new(*address.ip(), DETOUR_PORT);
        for (address, view) in [(address, View::Plain), (detour, View::Detour)] {
            let listener = TcpListener::bind(address)?;
            let accepting = store.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = accepting.clone();
                    thread::spawn(move || store.serve(stream, view));
                }
            });
        }
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(EXPIRY_INTERVAL);
            expiring.lock().expire(Instant::now());
            expiring.changed.notify_all();
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    /// Writes an item as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        self.lock().put(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
    }

    /// Cuts watches that have waited for `ms`; 0 cuts none.
    pub fn set_watch_cut(&self, ms: u64) {
        self.watch_cut_ms.store(ms, Ordering::SeqCst);
    }

    /// Lets the hosts on the detour wait for answers, or answers them again.
    pub fn set_detour_silent(&self, is_silent: bool) {
        self.is_detour_silent.store(is_silent, Ordering::SeqCst);
    }

    /// Removes an entry.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.entries.remove(key);
        state.remove(key);
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream, view: View) {
        let Ok(mut conn) = Connection::new(stream) else {
            return;
        };
        while let Ok(Some(call)) = conn.read() {
            let Some((status, body)) = self.answer(&call, view) else {
                return;
            };
            thread::sleep(ANSWER_TIME);
            while view.is_detour() && self.is_detour_silent.load(Ordering::SeqCst) {
                thread::sleep(EXPIRY_INTERVAL);
            }
            if conn.answer_json(status, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message, view: View) -> Option<(&'static str, String)> {
        let path = call.path();
        let id = || path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let answer = match (call.method(), path) {
            ("GET", "/kv-key") => self.read_item(&call.query("key").unwrap_or_default(), view),
            ("GET", "/kv-range") => self.read_range(call, view),
            ("GET", "/kv-watch") => self.watch(call, view)?,
            ("POST", "/kv-txn") => self.write(&call.text()),
            ("POST", "/kv-lease") => self.grant(&call.text()),
            ("POST", _) if path.starts_with("/kv-keep/") => self.renew(id()),
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                let is_known = self.lock().end_lease(id());
                self.changed.notify_all();
                if is_known {
                    ("200 OK", "{}".to_owned())
                } else {
                    not_found()
                }
            }
            // What follows is the part of the workers, which the pages don't describe.
            ("POST", "/worker-entry") => {
                let key = call.query("key").unwrap_or_default();
                let mut state = self.lock();
                state.put(&key, call.body.clone(), 0);
                state.entries.insert(key, Instant::now() + ENTRY_TTL);
                drop(state);
                self.changed.notify_all();
                ("200 OK", "{}".to_owned())
            }
            _ => not_found(),
        };
        Some(answer)
    }

    fn read_item(&self, key: &str, view: View) -> (&'static str, String) {
        let state = self.lock();
        match state.items.get(key) {
            Some(item) => ("200 OK", encode_item(key, item, view)),
            None => not_found(),
        }
    }

    fn read_range(&self, call: &Message, view: View) -> (&'static str, String) {
        let prefix = call.query("prefix").unwrap_or_default();
        let state = self.lock();
        let items = state.items.iter().filter(|(key, _)| key.starts_with(&prefix));
        let items: Vec<String> = items.map(|(key, item)| encode_item(key, item, view)).collect();
        let (items, as_of) = (items.join(","), state.revision);
        ("200 OK", format!("{{\"items\":[{items}],\"more-pages\":false,\"as-of\":{as_of}}}"))
    }

    /// Waits for events; `None` if the watch is cut.
    fn watch(&self, call: &Message, view: View) -> Option<(&'static str, String)> {
        let prefix = call.query("prefix").unwrap_or_default();
        let number = |name| call.query(name).and_then(|n| n.parse().ok()).unwrap_or(0);
        let (after, wait): (u64, u64) = (number("after-revision"), number("wait-ms"));
        let began = Instant::now();
        let until = began + Duration::from_millis(wait.min(30_000));
        let mut state = self.lock();
        loop {
            let is_new = |c: &&Change| c.revision > after && c.key.starts_with(&prefix);
            let events: Vec<String> =
                state.history.iter().filter(is_new).map(|c| encode_change(c, view)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), state.revision);
                return Some(("200 OK", format!("{{\"events\":[{events}],\"as-of\":{as_of}}}")));
            }
            let cut = self.watch_cut_ms.load(Ordering::SeqCst);
            if cut > 0 && began.elapsed() >= Duration::from_millis(cut) {
                return None;
            }
            let left = if cut > 0 { left.min(Duration::from_millis(cut)) } else { left };
            state = self.changed.wait_timeout(state, left).expect("no thread panics with it").0;
        }
    }

    fn write(&self, body: &str) -> (&'static str, String) {
        let Some(txn) = Json::parse(body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let mut state = self.lock();
        let is_met = |row: &Json| {
            let key = row.text("key").unwrap_or("");
            let revision = state.items.get(key).map_or(0, |item| item.revision);
            Some(revision) == row.number("revision")
        };
        if !txn.list("expected").iter().all(is_met) {
            let keys = txn.list("expected").iter().filter_map(|row| row.text("key"));
            let items =
                keys.filter_map(|key| Some(encode_item(key, state.items.get(key)?, View::Plain)));
            let items = items.collect::<Vec<_>>().join(",");
            return ("412 Precondition Failed", format!("{{\"items\":[{items}]}}"));
        }
        let lease = |row: &Json| row.number("lease").unwrap_or(0);
        let is_gone = |row: &Json| lease(row) != 0 && !state.leases.contains_key(&lease(row));
        if txn.list("puts").iter().any(is_gone) {
            return not_found();
        }
        for row in txn.list("puts") {
            let value = row.text("value").and_then(base64::decode).unwrap_or_default();
            state.put(row.text("key").unwrap_or(""), value, lease(row));
        }
        for key in txn.list("remove") {
            if let Json::Text(key) = key {
                state.remove(key);
            }
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        ("200 OK", format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, body: &str) -> (&'static str, String) {
        let ttl = Json::parse(body).and_then(|b| b.number("ttl-ms")).unwrap_or(1_000);
        let mut state = self.lock();
        state.last_lease += 1;
        let lease = state.last_lease;
        let span = Duration::from_millis(ttl);
        state.leases.insert(lease, Lease { ttl: span, ends: Instant::now() + span });
        ("200 OK", format!("{{\"lease\":{lease},\"ttl-ms\":{ttl}}}"))
    }

    fn renew(&self, id: u64) -> (&'static str, String) {
        let mut state = self.lock();
        let Some(lease) = state.leases.get_mut(&id) else {
            return not_found();
        };
        lease.ends = Instant::now() + lease.ttl;
        ("200 OK", format!("{{\"ttl-ms\":{}}}", lease.ttl.as_millis()))
    }
}

fn not_found() -> (&'static str, String) {
    ("404 Not Found", "{}".to_owned())
}

fn encode_item(key: &str, item: &Item, view: View) -> String {
    let value = view.of(key, &item.value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        base64::encode(&value),
        item.revision,
        item.created,
        item.lease,
    )
}

fn encode_change(change: &Change, view: View) -> String {
    match &change.item {
        Some(item) => encode_item(&change.key, item, view),
        None => format!(
            "{{\"key\":\"{}\",\"revision\":{},\"tombstone\":true}}",
            change.key, change.revision
        ),
    }
}
