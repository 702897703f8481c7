//! A stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::base64;
use crate::hosts::HostSet;
use crate::http;
use crate::http::Connection;
use crate::http::Head;
use crate::json;
use crate::json::Json;

/// The time between checks for leases that have ended.
const LEASE_CHECK: Duration = Duration::from_millis(20);

struct Item {
    value: String,
    revision: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, Lease>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.revision += 1;
        let event = item_json(key, &value, self.revision, lease);
        self.events.push((self.revision, key.to_owned(), event));
        self.items.insert(key.to_owned(), Item { value, revision: self.revision, lease });
        self.revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = format!(
                "{{\"key\":{},\"revision\":{},\"tombstone\":true}}",
                json::quote(key),
                self.revision
            );
            self.events.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_some() {
            let bound = self.items.iter().filter(|(_, item)| item.lease == id);
            let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
            keys.iter().for_each(|key| self.remove(key));
        }
    }

    fn item(&self, key: &str) -> Option<String> {
        let item = self.items.get(key)?;
        Some(item_json(key, &item.value, item.revision, item.lease))
    }

    fn transact(&mut self, txn: &Json) -> (u16, String) {
        let expected = txn.get("expected").list();
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let holds = expected
            .iter()
            .all(|row| revision_of(row.get("key").text()) == row.get("revision").number());
        if !holds {
            let items: Vec<String> =
                expected.iter().filter_map(|row| self.item(row.get("key").text())).collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let leases = txn.get("puts").list().iter().map(|put| put.get("lease").number());
        if leases.filter(|lease| *lease != 0).any(|lease| !self.leases.contains_key(&lease)) {
            return (404, "{}".to_owned());
        }
        for put in txn.get("puts").list() {
            self.put(
                put.get("key").text(),
                put.get("value").text().to_owned(),
                put.get("lease").number(),
            );
        }
        txn.get("remove").list().iter().for_each(|key| self.remove(key.text()));
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn item_json(key: &str, value: &str, revision: u64, lease: u64) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease\":{lease}}}",
        json::quote(key)
    )
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// The processes that get no answer, as if they were partitioned from the store.
    cut_off: Mutex<Vec<u32>>,
    /// The processes that watch for changes, with the time of their last call.
    watchers: Mutex<BTreeMap<u32, Instant>>,
}

impl Store {
    /// Starts a store at `address`.
    pub fn start(address: SocketAddrV4, hosts: Arc<HostSet>) -> Arc<Self> {
        let state = State { revision: 500, ..State::default() };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            cut_off: Mutex::default(),
            watchers: Mutex::default(),
        });
        let listener = TcpListener::bind(address).expect("a free address");
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, hosts) = (accepting.clone(), hosts.clone());
                thread::spawn(move || store.serve(stream, &hosts));
            }
        });
        let ending = store.clone();
        thread::spawn(move || loop {
            thread::sleep(LEASE_CHECK);
            ending.end_leases();
        });
        store
    }

    /// Writes an item as the operator or a server does; returns its revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let revision = self.state.lock().unwrap().put(key, base64::encode(value.as_bytes()), 0);
        self.changed.notify_all();
        revision
    }

    /// Partitions the processes `pids` from the store, and no others.
    pub fn cut_off(&self, pids: Vec<u32>) {
        *self.cut_off.lock().unwrap() = pids;
        self.changed.notify_all();
    }

    /// Returns the processes that have watched for changes within the last `span`.
    pub fn watchers(&self, span: Duration) -> Vec<u32> {
        let watchers = self.watchers.lock().unwrap();
        watchers.iter().filter(|(_, at)| at.elapsed() < span).map(|(pid, _)| *pid).collect()
    }

    fn is_cut_off(&self, pid: Option<u32>) -> bool {
        pid.is_some_and(|pid| self.cut_off.lock().unwrap().contains(&pid))
    }

    fn end_leases(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended = state.leases.iter().filter(|(_, lease)| lease.ends <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        ended.iter().for_each(|id| state.end_lease(*id));
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    fn serve(&self, stream: std::net::TcpStream, hosts: &HostSet) {
        let pid = hosts.owner_of(&stream);
        let Ok(mut connection) = Connection::new(stream) else {
            return;
        };
        while let Ok(head) = connection.read_head() {
            let Ok(body) = connection.read_body(&head) else {
                return;
            };
            if self.is_cut_off(pid) {
                return wait_for_end(&connection);
            }
            if let Some(pid) = pid.filter(|_| head.word(1).starts_with("/kv-watch")) {
                self.watchers.lock().unwrap().insert(pid, Instant::now());
            }
            let (status, body) = self.answer(&head, &body);
            if self.is_cut_off(pid) {
                return wait_for_end(&connection);
            }
            let fields = [("Content-Type", "application/json")];
            if connection.write(&http::answer(status, &fields, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let target = head.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let param = |name: &str| {
            let value =
                query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name);
            value.map_or(String::new(), |(_, value)| value.replace("%2F", "/"))
        };
        if path == "/kv-watch" {
            return self.watch(
                &param("prefix"),
                param("after-revision").parse().unwrap_or(0),
                param("wait-ms").parse().unwrap_or(0),
            );
        }
        let mut state = self.state.lock().unwrap();
        let json = Json::parse(body).unwrap_or(Json::Null);
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let answer = match path {
            "/kv-key" => {
                state.item(&param("key")).map_or((404, "{}".to_owned()), |item| (200, item))
            }
            "/kv-range" => {
                let prefix = param("prefix");
                let keys = state.items.keys().filter(|key| key.starts_with(&prefix));
                let items: Vec<String> = keys.filter_map(|key| state.item(key)).collect();
                let as_of = state.revision;
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"more-pages\":false,\"as-of\":{as_of}}}",
                        items.join(",")
                    ),
                )
            }
            "/kv-txn" => state.transact(&json),
            "/kv-lease" => {
                let ttl = Duration::from_millis(json.get("ttl-ms").number());
                state.revision += 1;
                let id = state.revision;
                state.leases.insert(id, Lease { ttl, ends: Instant::now() + ttl });
                (200, format!("{{\"lease\":{id},\"ttl-ms\":{}}}", ttl.as_millis()))
            }
            _ if path.starts_with("/kv-keep/") => match state.leases.get_mut(&id) {
                Some(lease) => {
                    lease.ends = Instant::now() + lease.ttl;
                    (200, format!("{{\"ttl-ms\":{}}}", lease.ttl.as_millis()))
                }
                None => (404, "{}".to_owned()),
            },
            _ if path.starts_with("/kv-lease-end/") => {
                state.end_lease(id);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        };
        drop(state);
        self.changed.notify_all();
        answer
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let from = state.events.partition_point(|(revision, _, _)| *revision <= after);
            let new = state.events[from..].iter().filter(|(_, key, _)| key.starts_with(prefix));
            let events: Vec<&str> = new.map(|(_, _, event)| event.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (as_of, events) = (state.revision, events.join(","));
                return (200, format!("{{\"events\":[{events}],\"as-of\":{as_of}}}"));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Answers nothing more until the other side closes the connection.
fn wait_for_end(connection: &Connection) {
    while !connection.is_closed(Duration::from_millis(200)) {}
}
