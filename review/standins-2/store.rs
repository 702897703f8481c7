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
use crate::http;
use crate::http::Connection;
use crate::http::Head;
use crate::json::quote;
use crate::json::Json;

const PAGE_ITEMS: usize = 500;
const MIN_TTL_MS: u64 = 1_000;
/// The time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const EXPIRY_CHECK: Duration = Duration::from_millis(10);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    revision: u64,
    last_lease: u64,
}

/// The store.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

struct Answer {
    status: u16,
    body: String,
}

fn answer(status: u16, body: impl Into<String>) -> Answer {
    Answer { status, body: body.into() }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event { key: key.to_owned(), revision: self.revision, item: Some(item) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.events.push(Event { key: key.to_owned(), revision, item: None });
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let is_known = self.leases.remove(&lease).is_some();
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == lease).map(|(k, _)| k.clone()).collect();
        if is_known {
            keys.iter().for_each(|key| self.remove(key));
        }
        is_known
    }
}

impl Store {
    /// Starts the store at `address`.
    pub fn start(address: SocketAddrV4) -> Arc<Self> {
        let store = Arc::new(Self::default());
        store.state.lock().unwrap().revision = 100;
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(EXPIRY_CHECK);
            expiring.expire();
        });
        store
    }

    /// Writes an item as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.put(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
        state.revision
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let over: Vec<u64> =
            state.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        let has_ended = !over.is_empty();
        over.iter().for_each(|lease| {
            state.end_lease(*lease);
        });
        if has_ended {
            self.changed.notify_all();
        }
    }

    fn serve(&self, mut conn: Connection) {
        while let Ok(Some(head)) = conn.read_head() {
            let Ok(body) = conn.read_request_body(&head) else {
                return;
            };
            thread::sleep(ANSWER_TIME);
            let reply = self.handle(&head, &body);
            let fields = [("Content-Type", "application/json")];
            let bytes = http::answer(reply.status, &fields, reply.body.as_bytes());
            if conn.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn handle(&self, head: &Head, body: &[u8]) -> Answer {
        let target = head.target();
        let path = target.split('?').next().unwrap_or("");
        let body = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
        match (head.method(), path) {
            ("GET", "/kv-key") => self.read_item(target),
            ("GET", "/kv-range") => self.read_range(target),
            ("GET", "/kv-watch") => self.watch(target),
            ("POST", "/kv-txn") => self.write(&body),
            ("POST", "/kv-lease") => self.grant(&body),
            ("POST", path) => match path.strip_prefix("/kv-keep/").and_then(|l| l.parse().ok()) {
                Some(lease) => self.renew(lease),
                None => answer(404, "{}"),
            },
            ("DELETE", path) => {
                let lease = path.strip_prefix("/kv-lease-end/").and_then(|l| l.parse().ok());
                let mut state = self.state.lock().unwrap();
                let is_known = lease.is_some_and(|lease| state.end_lease(lease));
                self.changed.notify_all();
                answer(if is_known { 200 } else { 404 }, "{}")
            }
            _ => answer(404, "{}"),
        }
    }

    fn read_item(&self, target: &str) -> Answer {
        let key = http::query(target, "key").unwrap_or_default();
        let state = self.state.lock().unwrap();
        match state.items.get(&key) {
            Some(item) => answer(200, item_json(&key, item)),
            None => answer(404, "{}"),
        }
    }

    fn read_range(&self, target: &str) -> Answer {
        let prefix = http::query(target, "prefix").unwrap_or_default();
        let after = http::query(target, "after-revision").unwrap_or_default();
        let state = self.state.lock().unwrap();
        let items = state.items.iter();
        let mut items = items.filter(|(k, _)| k.starts_with(&prefix) && **k > after);
        let page: Vec<String> =
            items.by_ref().take(PAGE_ITEMS).map(|(k, i)| item_json(k, i)).collect();
        let has_more = items.next().is_some();
        answer(
            200,
            format!(
                "{{\"items\":[{}],\"more-pages\":{has_more},\"as-of\":{}}}",
                page.join(","),
                state.revision
            ),
        )
    }

    fn watch(&self, target: &str) -> Answer {
        let prefix = http::query(target, "prefix").unwrap_or_default();
        let number = |name| http::query(target, name).and_then(|n| n.parse::<u64>().ok());
        let after = number("after-revision").unwrap_or(0);
        let end =
            Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0).min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|e| e.revision > after && e.key.starts_with(&prefix))
                .map(event_json)
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let events = events.join(",");
                return answer(
                    200,
                    format!("{{\"events\":[{events}],\"as-of\":{}}}", state.revision),
                );
            }
            state = self.changed.wait_timeout(state, end - now).unwrap().0;
        }
    }

    fn write(&self, body: &Json) -> Answer {
        let rows = |name: &str| body.get(name).map(|l| l.list().to_vec()).unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let expected = rows("expected");
        let holds = expected.iter().all(|row| {
            let key = row.get("key").and_then(Json::text).unwrap_or("");
            let revision = row.get("revision").and_then(Json::number).unwrap_or(0);
            state.items.get(key).map_or(0, |item| item.revision) == revision
        });
        if !holds {
            let keys = expected.iter().filter_map(|row| row.get("key").and_then(Json::text));
            let items = keys.filter_map(|k| Some(item_json(k, state.items.get(k)?)));
            let items = items.collect::<Vec<_>>().join(",");
            return answer(412, format!("{{\"items\":[{items}]}}"));
        }
        let puts = rows("puts");
        let lease_of = |put: &Json| put.get("lease").and_then(Json::number).unwrap_or(0);
        if puts.iter().any(|p| lease_of(p) != 0 && !state.leases.contains_key(&lease_of(p))) {
            return answer(404, "{}");
        }
        for put in &puts {
            let key = put.get("key").and_then(Json::text).unwrap_or("");
            let value = put.get("value").and_then(Json::text).and_then(base64::decode);
            state.put(key, value.unwrap_or_default(), lease_of(put));
        }
        for key in rows("remove") {
            state.remove(key.text().unwrap_or(""));
        }
        self.changed.notify_all();
        answer(200, format!("{{\"revision\":{}}}", state.revision))
    }

    fn grant(&self, body: &Json) -> Answer {
        let ttl = body.get("ttl-ms").and_then(Json::number).unwrap_or(0).max(MIN_TTL_MS);
        let mut state = self.state.lock().unwrap();
        state.last_lease += 1;
        let lease = state.last_lease;
        let ttl_span = Duration::from_millis(ttl);
        state.leases.insert(lease, (ttl_span, Instant::now() + ttl_span));
        answer(200, format!("{{\"lease\":{lease},\"ttl-ms\":{ttl}}}"))
    }

    fn renew(&self, lease: u64) -> Answer {
        let mut state = self.state.lock().unwrap();
        match state.leases.get_mut(&lease) {
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                answer(200, format!("{{\"lease\":{lease},\"ttl-ms\":{}}}", ttl.as_millis()))
            }
            None => answer(404, "{}"),
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        base64::encode(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn event_json(event: &Event) -> String {
    match &event.item {
        Some(item) => item_json(&event.key, item),
        None => {
            let key = quote(&event.key);
            format!("{{\"key\":{key},\"revision\":{},\"tombstone\":true}}", event.revision)
        }
    }
}
