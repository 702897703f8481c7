//! Stand-ins of the platform's workers: model workers, which hold layers and take orders, and workers of
//! plain services.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Connection;
use crate::http::Head;
use crate::json::Json;
use crate::owner;
use crate::record::Record;
use crate::store::Store;

/// The time between two writes of a worker's entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How long work waits for a later worker that is not there.
const STALL: Duration = Duration::from_millis(2_500);
/// The time between two looks at whether a later worker is there.
const STALL_CHECK: Duration = Duration::from_millis(10);
/// The time from an order to the end of its load.
const LOAD_TIME: Duration = Duration::from_millis(300);
/// The tokens of one event.
const TOKENS_PER_EVENT: u64 = 4;
/// One in so many answers of a worker may be doubled: less than the largest dose of the site.
const ANSWERS_PER_DOUBLE: u64 = 25;

/// What a worker serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    Model,
    Plain,
}

/// A start of a request's work.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub worker: String,
    pub at: Instant,
}

/// What all workers share.
pub struct Fleet {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub workers: Mutex<Vec<Arc<Worker>>>,
    pub runs: Mutex<Vec<Run>>,
    /// The time of one event of a stream, in ms.
    pub event_ms: AtomicU64,
    /// The work of a plain request, in ms.
    pub work_ms: AtomicU64,
    /// Whether workers send refusals of orders a second time.
    pub doubles_refusals: AtomicBool,
}

/// A worker.
pub struct Worker {
    pub id: String,
    pub kind: Kind,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    born: u64,
    layers: Mutex<(u16, u16)>,
    busy_until: Mutex<Option<(Instant, (u16, u16))>>,
    seq: AtomicU64,
    fence: AtomicU64,
    is_dark: AtomicBool,
    /// The paths of the requests in progress that began here.
    paths: Mutex<HashMap<String, Vec<Part>>>,
    stalled: Mutex<HashMap<String, SocketAddrV4>>,
    answers: AtomicU64,
    doubled: AtomicU64,
    /// The process whose connections are reset; 0 for none.
    cut_pid: AtomicU32,
}

/// A part of a path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Part {
    address: SocketAddrV4,
    layers: (u16, u16),
}

impl Part {
    fn read(text: &str) -> Option<Self> {
        let (address, range) = text.trim().split_once('=')?;
        let (from, to) = range.split_once('-')?;
        Some(Self {
            address: address.parse().ok()?,
            layers: (from.parse().ok()?, to.parse().ok()?),
        })
    }

    fn read_path(text: &str) -> Vec<Self> {
        text.split(',').filter_map(Self::read).collect()
    }
}

impl Fleet {
    pub fn new(store: Arc<Store>, record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            store,
            record,
            workers: Mutex::default(),
            runs: Mutex::default(),
            event_ms: AtomicU64::new(20),
            work_ms: AtomicU64::new(15),
            doubles_refusals: AtomicBool::new(false),
        })
    }

    /// Starts a worker at `address`.
    pub fn start(
        self: &Arc<Self>,
        id: &str,
        kind: Kind,
        service: &str,
        zone: &str,
        address: SocketAddrV4,
    ) -> Arc<Worker> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            kind,
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            born: born.as_millis() as u64,
            layers: Mutex::new((0, 0)),
            busy_until: Mutex::default(),
            seq: AtomicU64::new(0),
            fence: AtomicU64::new(0),
            is_dark: AtomicBool::new(false),
            paths: Mutex::default(),
            stalled: Mutex::default(),
            answers: AtomicU64::new(0),
            doubled: AtomicU64::new(0),
            cut_pid: AtomicU32::new(0),
        });
        self.workers.lock().unwrap().push(worker.clone());
        let listener = TcpListener::bind(address).expect("a worker's address is free");
        worker.write_entry(&self.store);
        let (fleet, accepting) = (self.clone(), worker.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (fleet, worker) = (fleet.clone(), accepting.clone());
                thread::spawn(move || worker.serve(&fleet, Connection::new(stream)));
            }
        });
        let (fleet, beating) = (self.clone(), worker.clone());
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            beating.write_entry(&fleet.store);
        });
        worker
    }

    /// Returns the addresses of the paths of all requests in progress.
    pub fn paths(&self) -> Vec<Vec<SocketAddrV4>> {
        let workers = self.workers.lock().unwrap();
        let addresses = |path: &Vec<Part>| path.iter().map(|part| part.address).collect();
        workers
            .iter()
            .flat_map(|w| w.paths.lock().unwrap().values().map(addresses).collect::<Vec<_>>())
            .collect()
    }

    fn at(&self, address: SocketAddrV4) -> Option<Arc<Worker>> {
        self.workers.lock().unwrap().iter().find(|w| w.address == address).cloned()
    }

    /// Returns the first part of `path` that is not there, and the status that says so.
    fn missing_part(&self, path: &[Part]) -> Option<(u16, SocketAddrV4)> {
        path.iter().find_map(|part| match self.at(part.address) {
            None => Some((503, part.address)),
            Some(worker) if worker.is_dark() => Some((503, part.address)),
            Some(worker) if !worker.holds(part.layers) => Some((421, part.address)),
            Some(_) => None,
        })
    }

    fn add_run(&self, worker: &Worker, head: &Head) {
        self.record.line(&format!(
            "run {} at {} {}",
            head.field("request-id"),
            worker.id,
            head.target()
        ));
        self.runs.lock().unwrap().push(Run {
            id: head.field("request-id").to_owned(),
            worker: worker.id.clone(),
            at: Instant::now(),
        });
    }
}

impl Worker {
    /// Makes the worker silent for all, or lets it go on.
    pub fn set_dark(&self, is_dark: bool) {
        self.is_dark.store(is_dark, Ordering::SeqCst);
    }

    pub fn is_dark(&self) -> bool {
        self.is_dark.load(Ordering::SeqCst)
    }

    /// Resets the connections of the process `pid`; 0 ends the cut.
    pub fn cut_from(&self, pid: u32) {
        self.cut_pid.store(pid, Ordering::SeqCst);
    }

    /// Returns whether the path of a connection is cut.
    fn is_cut(&self, stream: &TcpStream) -> bool {
        let pid = self.cut_pid.load(Ordering::SeqCst);
        let (Ok(peer), Ok(local)) = (stream.peer_addr(), stream.local_addr()) else {
            return false;
        };
        pid != 0 && owner::is_owner(pid, peer, local)
    }

    /// Returns the layers that the worker holds.
    pub fn layers(&self) -> (u16, u16) {
        let mut busy = self.busy_until.lock().unwrap();
        if let Some((at, layers)) = *busy {
            if Instant::now() >= at {
                *self.layers.lock().unwrap() = layers;
                *busy = None;
            }
        }
        *self.layers.lock().unwrap()
    }

    fn is_busy(&self) -> bool {
        self.layers();
        self.busy_until.lock().unwrap().is_some()
    }

    fn holds(&self, layers: (u16, u16)) -> bool {
        let (from, to) = self.layers();
        from <= layers.0 && layers.1 <= to && layers.0 < layers.1
    }

    fn write_entry(&self, store: &Store) {
        if self.is_dark() {
            return;
        }
        let (from, to) = self.layers();
        let engine = match self.kind {
            Kind::Model => format!(
                ",\"stage\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"route-type\":\"card\",\"layers\":{{\"from\":{from},\"target\":{to},\"version\":1}}"
            ),
            Kind::Plain => String::new(),
        };
        let slots = if self.kind == Kind::Model { 192 } else { 6 };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"ready\",\"cold-left-ms\":0,\"seq\":{},\"born\":{}{engine}}}",
            self.service,
            self.address,
            self.zone,
            self.seq.load(Ordering::SeqCst),
            self.born,
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Waits while the worker is silent.
    fn wait_while_dark(&self) {
        while self.is_dark() {
            thread::sleep(STALL_CHECK);
        }
    }

    fn serve(&self, fleet: &Arc<Fleet>, mut conn: Connection) {
        if self.is_cut(&conn.stream) {
            return;
        }
        // A second copy of an answer, which is sent where the next answer is expected.
        let mut extra: Option<Vec<u8>> = None;
        loop {
            let Ok(Some(head)) = conn.read_head() else {
                return;
            };
            let Ok(body) = conn.read_request_body(&head) else {
                return;
            };
            if self.is_cut(&conn.stream) {
                return;
            }
            self.wait_while_dark();
            if let Some(copy) = extra.take() {
                fleet.record.line(&format!(
                    "second copy of an order's answer at {}, where the answer to {} {} {} is expected",
                    self.id,
                    head.method(),
                    head.target(),
                    head.field("request-id")
                ));
                if conn.write(&copy).is_err() {
                    return;
                }
            }
            self.answers.fetch_add(1, Ordering::SeqCst);
            let is_kept = match (head.method(), head.target()) {
                ("GET", "/healthz") => {
                    conn.write(&http::answer(200, &[("Instance-Id", &self.id)], b"")).is_ok()
                }
                ("GET", "/report") => conn.write(&self.report()).is_ok(),
                ("POST", "/order") => {
                    let reply = self.take_order(fleet, &head, &body);
                    let status = String::from_utf8_lossy(&reply[9..12]).into_owned();
                    fleet.record.line(&format!(
                        "order at {}: {} -> {status}",
                        self.id,
                        String::from_utf8_lossy(&body)
                    ));
                    if status.starts_with('4') && self.may_double(fleet) {
                        extra = Some(reply.clone());
                    }
                    conn.write(&reply).is_ok()
                }
                _ => self.answer_request(fleet, &mut conn, &head),
            };
            if !is_kept {
                return;
            }
        }
    }

    /// Returns whether one more answer may be sent twice.
    fn may_double(&self, fleet: &Fleet) -> bool {
        if !fleet.doubles_refusals.load(Ordering::SeqCst) {
            return false;
        }
        let doubled = self.doubled.load(Ordering::SeqCst) + 1;
        let may = doubled * ANSWERS_PER_DOUBLE <= self.answers.load(Ordering::SeqCst);
        if may {
            self.doubled.store(doubled, Ordering::SeqCst);
        }
        may
    }

    fn report(&self) -> Vec<u8> {
        let (from, to) = self.layers();
        let stalled = self.stalled.lock().unwrap();
        let stalled: Vec<String> = stalled
            .iter()
            .map(|(id, address)| format!("{{\"id\":\"{id}\",\"address\":\"{address}\"}}"))
            .collect();
        let body = format!(
            "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":{},\
             \"seq\":{},\"queued\":0,\"active\":{},\"kv-used\":0,\"kv-total\":90000,\"handles\":0,\"born\":{},\
             \"pace\":1.0,\"layers\":{{\"from\":{from},\"target\":{to},\"version\":1}},\"stalled\":[{}]}}",
            self.is_busy(),
            self.seq.load(Ordering::SeqCst),
            self.paths.lock().unwrap().len(),
            self.born,
            stalled.join(",")
        );
        http::answer(200, &[("Content-Type", "application/json")], body.as_bytes())
    }

    fn take_order(&self, fleet: &Fleet, head: &Head, body: &[u8]) -> Vec<u8> {
        let order = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
        let plain = |status| http::answer(status, &[], b"");
        let expected = head.field("expect-instance");
        if !expected.is_empty() && expected != self.id {
            return plain(421);
        }
        match order.get("operation").and_then(Json::text) {
            Some("place") if self.kind == Kind::Model => plain(self.place(&order)),
            Some("repath") if self.kind == Kind::Model => self.repath(fleet, &order),
            _ => plain(400),
        }
    }

    fn place(&self, order: &Json) -> u16 {
        let number = |name: &str| order.get(name).and_then(Json::number);
        let (from, to) = (number("from").unwrap_or(0) as u16, number("target").unwrap_or(0) as u16);
        let fence = number("fencing-token").unwrap_or(0);
        if fence < self.fence.load(Ordering::SeqCst) {
            return 412;
        }
        if number("expected").is_some_and(|e| e != self.seq.load(Ordering::SeqCst))
            || self.is_busy()
        {
            return 409;
        }
        self.fence.store(fence, Ordering::SeqCst);
        if self.layers() == (from, to) {
            return 200;
        }
        self.seq.fetch_add(1, Ordering::SeqCst);
        *self.layers.lock().unwrap() = (0, 0);
        *self.busy_until.lock().unwrap() = Some((Instant::now() + LOAD_TIME, (from, to)));
        202
    }

    fn repath(&self, fleet: &Fleet, order: &Json) -> Vec<u8> {
        let id = order.get("id").and_then(Json::text).unwrap_or("");
        let path = Part::read_path(order.get("path").and_then(Json::text).unwrap_or(""));
        let mut paths = self.paths.lock().unwrap();
        let Some(present) = paths.get_mut(id) else {
            return http::answer(404, &[], b"");
        };
        if path.first() != present.first() {
            return http::answer(409, &[], b"");
        }
        if let Some((_, address)) = fleet.missing_part(&path[1..]) {
            let body = format!("{{\"address\":\"{address}\"}}");
            return http::answer(409, &[("Content-Type", "application/json")], body.as_bytes());
        }
        *present = path;
        http::answer(200, &[], b"")
    }

    fn decline(&self, head: &Head, status: u16, at: SocketAddrV4) -> Vec<u8> {
        let id = head.field("request-id");
        let at = at.to_string();
        http::answer(status, &[("Request-Id", id), ("Not-Executed", "1"), ("At-Server", &at)], b"")
    }

    /// Answers a request of a client; returns whether the connection stays open.
    fn answer_request(&self, fleet: &Arc<Fleet>, conn: &mut Connection, head: &Head) -> bool {
        let expected = head.field("expect-instance");
        if !expected.is_empty() && expected != self.id {
            return conn.write(&self.decline(head, 421, self.address)).is_ok();
        }
        match self.kind {
            Kind::Plain => self.answer_plain(fleet, conn, head),
            Kind::Model => self.answer_stream(fleet, conn, head),
        }
    }

    fn answer_plain(&self, fleet: &Arc<Fleet>, conn: &mut Connection, head: &Head) -> bool {
        fleet.add_run(self, head);
        thread::sleep(Duration::from_millis(fleet.work_ms.load(Ordering::SeqCst)));
        self.wait_while_dark();
        let id = head.field("request-id");
        let seal = format!("seal.{}.{id}", self.id);
        let body = format!("answer to {id} by {} of {}", self.id, self.service);
        let fields = [("Request-Id", id), ("Server-Seal", seal.as_str())];
        conn.write(&http::answer(200, &fields, body.as_bytes())).is_ok()
    }

    fn answer_stream(&self, fleet: &Arc<Fleet>, conn: &mut Connection, head: &Head) -> bool {
        let id = head.field("request-id").to_owned();
        let path = Part::read_path(head.field("hop-count"));
        let is_first = path.first().is_some_and(|part| part.address == self.address);
        if !is_first {
            return conn.write(&self.decline(head, 400, self.address)).is_ok();
        }
        if let Some((status, at)) = fleet.missing_part(&path) {
            return conn.write(&self.decline(head, status, at)).is_ok();
        }
        self.paths.lock().unwrap().insert(id.clone(), path);
        let is_kept = self.write_stream(fleet, conn, head, &id);
        self.paths.lock().unwrap().remove(&id);
        self.stalled.lock().unwrap().remove(&id);
        is_kept
    }

    fn write_stream(&self, fleet: &Fleet, conn: &mut Connection, head: &Head, id: &str) -> bool {
        let tokens: u64 = head
            .field("token-count")
            .split(',')
            .nth(1)
            .and_then(|t| t.trim().parse().ok())
            .unwrap_or(4);
        let events = tokens.div_ceil(TOKENS_PER_EVENT);
        let after: u64 = head.field("last-event-id").parse().unwrap_or(0);
        let mut has_begun = false;
        for event in after + 1..=events {
            thread::sleep(Duration::from_millis(fleet.event_ms.load(Ordering::SeqCst)));
            if conn.is_closed() {
                return false;
            }
            if let Err(at) = self.wait_for_parts(fleet, conn, id) {
                let is_cut = has_begun || at.is_none();
                return !is_cut
                    && conn.write(&self.decline(head, 503, at.unwrap_or(self.address))).is_ok();
            }
            let mut out = Vec::new();
            if !has_begun {
                has_begun = true;
                fleet.add_run(self, head);
                let seal = format!("seal.{}.{id}", self.id);
                out.extend_from_slice(
                    format!(
                        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {seal}\r\nWeight-Versions: 1\r\n\
                         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                    )
                    .as_bytes(),
                );
            }
            let data = format!("id: {event}\ndata: {id} {event}\n\n");
            out.extend_from_slice(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes());
            if conn.write(&out).is_err() {
                return false;
            }
        }
        conn.write(b"0\r\n\r\n").is_ok()
    }

    /// Waits until all parts of the path of `id` are there, for [`STALL`] at most.
    ///
    /// # Errors
    ///
    /// Returns the address of the part that is not there, or nothing if the caller has left.
    fn wait_for_parts(
        &self,
        fleet: &Fleet,
        conn: &Connection,
        id: &str,
    ) -> Result<(), Option<SocketAddrV4>> {
        let end = Instant::now() + STALL;
        loop {
            self.wait_while_dark();
            let path = self.paths.lock().unwrap().get(id).cloned().unwrap_or_default();
            let Some((_, at)) = fleet.missing_part(&path) else {
                self.stalled.lock().unwrap().remove(id);
                return Ok(());
            };
            self.stalled.lock().unwrap().insert(id.to_owned(), at);
            if Instant::now() >= end {
                return Err(Some(at));
            }
            if conn.is_closed() {
                return Err(None);
            }
            thread::sleep(STALL_CHECK);
        }
    }
}
