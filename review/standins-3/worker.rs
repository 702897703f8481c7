//! One worker as a process of its own: a model worker, whose requests are streams, or a plain one.

use std::io;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::control::CUT_PATH;
use crate::control::DETOUR_PORT;
use crate::control::HEAL_PATH;
use crate::control::LEAVE_PATH;
use crate::http::Connection;
use crate::http::Message;
use crate::json::Json;
use crate::record::now_ms;
use crate::record::Record;
use crate::store::HEARTBEAT;

/// The number of layers of the model.
pub const LAYERS: u64 = 80;
/// The time from the arrival of a stream's request to its first event.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(30);
/// The time between two events.
const EVENT_TIME: Duration = Duration::from_millis(40);
/// The number of tokens of an event.
const EVENT_TOKENS: u64 = 4;
/// The time that the load of all layers takes.
const LOAD_TIME: Duration = Duration::from_millis(300);

/// A body with this word crashes the worker that runs it, with the first event.
pub const CRASH_WORD: &str = "crashes-at-once";
/// A body with this word crashes the worker that runs it, after [`CRASH_DELAY`].
pub const LATE_CRASH_WORD: &str = "crashes-later";
/// A body with this word makes the worker fall silent.
pub const DARK_WORD: &str = "goes-dark";
/// How long a worker runs a request with [`LATE_CRASH_WORD`] before it crashes, counted from its first
/// event.
pub const CRASH_DELAY: Duration = Duration::from_millis(1_300);
/// The number of plain requests that a worker runs at the same time.
const PLAIN_SLOTS: usize = 6;
/// The number of plain requests that wait at a worker for a slot; it turns others away.
const PLAIN_QUEUE: usize = 24;
/// The status with which a worker exits that a request has crashed.
pub const CRASH_STATUS: i32 = 101;

/// How a worker is started.
#[derive(Clone, Debug)]
pub struct Options {
    /// The id under which it registers.
    pub id: String,
    /// The address at which it listens.
    pub address: SocketAddrV4,
    /// Its failure domain.
    pub zone: String,
    /// Its service.
    pub service: String,
    /// The address of the store.
    pub store: SocketAddrV4,
    /// The time that a plain request takes; `None` for a model worker.
    pub work: Option<Duration>,
    /// The path of the record.
    pub record: PathBuf,
}

impl Options {
    /// Returns the arguments that [`Self::from_args`] reads.
    pub fn to_args(&self) -> Vec<String> {
        let work = self.work.map_or("stream".to_owned(), |work| work.as_millis().to_string());
        let (address, store) = (self.address.to_string(), self.store.to_string());
        let record = self.record.display().to_string();
        let (id, zone, service) = (self.id.clone(), self.zone.clone(), self.service.clone());
        vec!["worker".to_owned(), id, address, zone, service, store, work, record]
    }

    /// Reads the arguments after the first one; returns `None` if they are none of a worker.
    pub fn from_args(args: &[String]) -> Option<Self> {
        let [id, address, zone, service, store, work, record] = args else {
            return None;
        };
        Some(Self {
            id: id.clone(),
            address: address.parse().ok()?,
            zone: zone.clone(),
            service: service.clone(),
            store: store.parse().ok()?,
            work: work.parse().ok().map(Duration::from_millis),
            record: record.into(),
        })
    }
}

struct Worker {
    options: Options,
    record: Record,
    born: u64,
    layers: Mutex<Option<(u64, u64)>>,
    is_busy: AtomicBool,
    orders: AtomicU64,
    fence: AtomicU64,
    active: AtomicU64,
    plain: Mutex<PlainLoad>,
    slot_freed: Condvar,
    is_detour_cut: AtomicBool,
    /// Whether it is leaving, which it does not say.
    has_left: AtomicBool,
}

/// The plain requests at a worker.
#[derive(Default)]
struct PlainLoad {
    running: usize,
    waiting: usize,
}

/// Runs a worker until it is ended or a request crashes it.
pub fn run(options: Options) -> io::Result<()> {
    let listener = TcpListener::bind(options.address)?;
    let worker = Arc::new(Worker {
        record: Record::open(&options.record)?,
        options,
        born: now_ms(),
        layers: Mutex::default(),
        is_busy: AtomicBool::new(false),
        orders: AtomicU64::new(0),
        fence: AtomicU64::new(0),
        active: AtomicU64::new(0),
        plain: Mutex::default(),
        slot_freed: Condvar::new(),
        is_detour_cut: AtomicBool::new(false),
        has_left: AtomicBool::new(false),
    });
    worker.record.line(&format!("worker-started id={}", worker.options.id));
    let beating = worker.clone();
    thread::spawn(move || loop {
        if beating.has_left.load(Ordering::SeqCst) {
            return;
        }
        // While the store does not answer, the next beat follows all the same.
        let _ = beating.register();
        thread::sleep(HEARTBEAT);
    });
    let detour = TcpListener::bind(SocketAddrV4::new(*worker.options.address.ip(), DETOUR_PORT))?;
    let on_detour = worker.clone();
    thread::spawn(move || on_detour.accept(&detour));
    worker.accept(&listener);
    Ok(())
}

impl Worker {
    fn is_model(&self) -> bool {
        self.options.work.is_none()
    }

    fn held(&self) -> Option<(u64, u64)> {
        *self.layers.lock().expect("no thread panics with the lock")
    }

    /// Returns the members that say what a model worker holds.
    fn holding(&self) -> String {
        if !self.is_model() {
            return String::new();
        }
        let layers = self.held().map(|(from, to)| {
            format!(",\"layers\":{{\"from\":{from},\"target\":{to},\"version\":1}}")
        });
        format!(",\"route-type\":\"card\",\"stage\":\"unified\"{}", layers.unwrap_or_default())
    }

    fn register(&self) -> io::Result<()> {
        let Options { id, address, zone, service, store, .. } = &self.options;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":100,\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":{},\
             \"born\":{}{}}}",
            self.orders.load(Ordering::SeqCst),
            self.born,
            self.holding(),
        );
        let mut conn = Connection::open(*store, Duration::from_secs(1))?;
        let head = format!(
            "POST /worker-entry?key=servers/{id} HTTP/1.1\r\nHost: store\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        conn.write(format!("{head}{body}").as_bytes())?;
        conn.read().map(|_| ())
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            let worker = self.clone();
            thread::spawn(move || worker.serve(stream));
        }
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let is_on_detour = stream.local_addr().is_ok_and(|own| own.port() == DETOUR_PORT);
        let is_cut = || is_on_detour && self.is_detour_cut.load(Ordering::SeqCst);
        if is_cut() {
            return;
        }
        let Ok(mut conn) = Connection::new(stream) else {
            return;
        };
        while let Ok(Some(request)) = conn.read() {
            if is_cut() {
                return;
            }
            let expected = request.field("expect-instance");
            let answered = match request.path() {
                CUT_PATH | HEAL_PATH => {
                    self.is_detour_cut.store(request.path() == CUT_PATH, Ordering::SeqCst);
                    conn.answer("200 OK", "", "")
                }
                LEAVE_PATH => {
                    self.has_left.store(true, Ordering::SeqCst);
                    conn.answer("200 OK", "", "")
                }
                "/report" => self.report(&mut conn),
                "/healthz" => {
                    let id = format!("Instance-Id: {}\r\n", self.options.id);
                    conn.answer("200 OK", &id, "")
                }
                _ if expected.is_some_and(|id| id != self.options.id) => {
                    conn.answer("421 Misdirected Request", "Not-Executed: 1\r\n", "")
                }
                "/order" => self.order(&mut conn, &request),
                _ => self.run_request(&mut conn, &request),
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn report(&self, conn: &mut Connection) -> io::Result<()> {
        let body = format!(
            "{{\"models\":[],\"busy\":{},\"seq\":{},\"queued\":0,\"active\":{},\"kv-used\":0,\
             \"kv-total\":1000000,\"handles\":0,\"born\":{}{}}}",
            self.is_busy.load(Ordering::SeqCst),
            self.orders.load(Ordering::SeqCst),
            self.active.load(Ordering::SeqCst),
            self.born,
            self.holding(),
        );
        conn.answer_json("200 OK", &body)
    }

    fn order(self: &Arc<Self>, conn: &mut Connection, request: &Message) -> io::Result<()> {
        let order = Json::parse(&request.text()).unwrap_or(Json::Literal);
        let fence = order.number("fencing-token").unwrap_or(0);
        let is_expected =
            order.number("expected").is_none_or(|n| n == self.orders.load(Ordering::SeqCst));
        let (Some(from), Some(to)) = (order.number("from"), order.number("target")) else {
            return conn.answer("404 Not Found", "", "");
        };
        if fence < self.fence.load(Ordering::SeqCst) {
            return conn.answer("412 Precondition Failed", "", "");
        }
        if !is_expected || self.is_busy.swap(true, Ordering::SeqCst) {
            return conn.answer("409 Conflict", "", "");
        }
        self.fence.store(fence, Ordering::SeqCst);
        self.orders.fetch_add(1, Ordering::SeqCst);
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(LOAD_TIME);
            *worker.layers.lock().expect("no thread panics with the lock") = Some((from, to));
            worker.is_busy.store(false, Ordering::SeqCst);
            let _ = worker.register();
        });
        conn.answer("202 Accepted", "", "")
    }

    /// Runs a request and records that it began to and how it ended.
    fn run_request(&self, conn: &mut Connection, request: &Message) -> io::Result<()> {
        let id = request.field("request-id").unwrap_or("").to_owned();
        let own = format!("Request-Id: {id}\r\n");
        if self.is_model() && !self.holds_part(request.field("hop-count")) {
            return conn.answer(
                "421 Misdirected Request",
                &format!("{own}Not-Executed: 1\r\n"),
                "",
            );
        }
        let worker = &self.options.id;
        if !self.is_model() && !self.take_slot() {
            self.record.line(&format!("shed id={id} worker={worker}"));
            return conn.answer(
                "503 Service Unavailable",
                &format!("{own}Not-Executed: 1\r\n"),
                "",
            );
        }
        self.record.line(&format!("run id={id} worker={worker}"));
        self.active.fetch_add(1, Ordering::SeqCst);
        let sealed = format!("{own}Server-Seal: seal-{worker}-{id}\r\n");
        let ended = match self.options.work {
            Some(work) => self.run_plain(conn, request, &sealed, work),
            None => self.run_stream(conn, request, &sealed),
        };
        self.active.fetch_sub(1, Ordering::SeqCst);
        if !self.is_model() {
            self.plain.lock().expect("no thread panics with the lock").running -= 1;
            self.slot_freed.notify_one();
        }
        let how = if ended.is_ok() { "answered" } else { "connection-lost" };
        self.record.line(&format!("run-ended id={id} worker={worker} {how}"));
        ended
    }

    /// Waits for a slot of a plain worker; returns whether there was one, or room to wait for it.
    fn take_slot(&self) -> bool {
        let mut load = self.plain.lock().expect("no thread panics with the lock");
        if load.running == PLAIN_SLOTS {
            if load.waiting == PLAIN_QUEUE {
                return false;
            }
            load.waiting += 1;
            while load.running == PLAIN_SLOTS {
                load = self.slot_freed.wait(load).expect("no thread panics with the lock");
            }
            load.waiting -= 1;
        }
        load.running += 1;
        true
    }

    /// Returns whether the worker holds its part of `path`; without one it needs all layers.
    fn holds_part(&self, path: Option<&str>) -> bool {
        let Some((held_from, held_to)) = self.held() else {
            return false;
        };
        let own = path.map_or(Some((0, LAYERS)), |path| {
            let parts = path.split(',').filter_map(|part| part.split_once('='));
            let address = self.options.address.to_string();
            let range = parts.filter(|(a, _)| *a == address).map(|(_, range)| range).next()?;
            let (from, to) = range.split_once('-')?;
            Some((from.parse().ok()?, to.parse().ok()?))
        });
        own.is_some_and(|(from, to)| held_from <= from && to <= held_to)
    }

    /// Does what the body of `request` does to the worker that runs it, `ran_for` its first event.
    fn suffer(&self, request: &Message, ran_for: Duration) {
        let body = request.text();
        let id = request.field("request-id").unwrap_or("");
        let worker = &self.options.id;
        let is_late = body.contains(LATE_CRASH_WORD) && ran_for >= CRASH_DELAY;
        if is_late || body.contains(CRASH_WORD) {
            self.record.line(&format!("crash id={id} worker={worker}"));
            process::exit(CRASH_STATUS);
        }
        if body.contains(DARK_WORD) {
            self.record.line(&format!("crash id={id} worker={worker}"));
            // The process stops here: nothing answers until it is ended and begun anew.
            let own = process::id().to_string();
            let _ = process::Command::new("kill").args(["-STOP", &own]).status();
        }
    }

    fn run_stream(&self, conn: &mut Connection, request: &Message, sealed: &str) -> io::Result<()> {
        let tokens = request.field("token-count").and_then(|c| c.split(',').nth(1)?.parse().ok());
        let events = tokens.unwrap_or(40_u64).div_ceil(EVENT_TOKENS);
        let after = request.field("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        thread::sleep(FIRST_EVENT_TIME);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{sealed}Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        conn.write(head.as_bytes())?;
        let mut ran_for = Duration::ZERO;
        for event in after + 1..=events {
            let text = format!("id: {event}\ndata: token {event}\n\n");
            conn.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            self.suffer(request, ran_for);
            thread::sleep(EVENT_TIME);
            ran_for += EVENT_TIME;
        }
        conn.write(b"0\r\n\r\n")
    }

    fn run_plain(
        &self,
        conn: &mut Connection,
        request: &Message,
        sealed: &str,
        work: Duration,
    ) -> io::Result<()> {
        self.suffer(request, Duration::ZERO);
        thread::sleep(work);
        conn.answer("200 OK", sealed, "done")
    }
}
