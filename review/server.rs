//! Stand-ins of plain workers.

use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::hosts::HostSet;
use crate::http;
use crate::http::Connection;
use crate::http::Head;
use crate::record::Record;
use crate::store::Store;

/// The time between two looks for a new connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);
/// The time from the start of a deadly request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);
/// The time until a worker is back after a crash.
const DOWNTIME: Duration = Duration::from_millis(2_500);
/// The time between two writes of an entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The time between checks whether the caller of a running request has left.
const CLOSE_CHECK: Duration = Duration::from_millis(10);

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// The id of the request.
    pub request: String,
    /// When the run began.
    pub at: Instant,
}

/// What all workers of a run share.
pub struct Fleet {
    /// The runs so far, in order.
    pub runs: Mutex<Vec<Run>>,
    /// The processes whose path to the workers is cut: their connections are reset.
    pub cut_off: Mutex<Vec<u32>>,
    /// The record of the run.
    pub record: Arc<Record>,
    hosts: Arc<HostSet>,
}

impl Fleet {
    /// Creates a fleet without workers.
    pub fn new(hosts: Arc<HostSet>, record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self { runs: Mutex::default(), cut_off: Mutex::default(), record, hosts })
    }

    fn is_cut_off(&self, pid: Option<u32>) -> bool {
        pid.is_some_and(|pid| self.cut_off.lock().unwrap().contains(&pid))
    }
}

/// A plain worker.
pub struct Server {
    /// Its id, by which the store lists it.
    pub id: String,
    /// The service that it belongs to.
    pub service: &'static str,
    /// The address on which it listens.
    pub address: SocketAddrV4,
    /// The zone that it is in.
    pub zone: &'static str,
    /// The requests that it runs at the same time.
    pub slots: usize,
    /// The requests that wait until it has a free slot; it turns away any more.
    pub queue: usize,
    /// The time that a request takes.
    pub work: Duration,
    /// The requests that it runs now.
    pub running: AtomicUsize,
    /// A body that crashes each worker that begins to run a request with it.
    pub deadly_body: Option<&'static [u8]>,
    /// The number of its crashes.
    pub crashes: AtomicUsize,
    /// When it is back after its last crash.
    pub back_at: Mutex<Option<Instant>>,
}

impl Server {
    /// Starts the worker, which registers itself in the store.
    pub fn start(self, fleet: &Arc<Fleet>, store: &Arc<Store>) -> Arc<Self> {
        let server = Arc::new(self);
        let busy = Arc::new(AtomicUsize::new(0));
        let (accepting, fleet) = (server.clone(), fleet.clone());
        thread::spawn(move || loop {
            if accepting.is_up() {
                accepting.accept(&fleet, &busy);
            }
            thread::sleep(ACCEPT_PAUSE);
        });
        let (beating, store) = (server.clone(), store.clone());
        let start = 1_790_000_000_000u64 + u64::from(std::process::id());
        thread::spawn(move || {
            for seq in 1u64.. {
                let born = start + 1_000 * beating.crashes.load(Ordering::Relaxed) as u64;
                let entry = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                     \"slots\":{},\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":{seq},\"born\":{born}}}",
                    beating.service, beating.address, beating.zone, beating.slots
                );
                if beating.is_up() {
                    store.put(&format!("servers/{}", beating.id), &entry);
                }
                beating.wait_for_heartbeat();
            }
        });
        server
    }

    fn is_up(&self) -> bool {
        self.back_at.lock().unwrap().is_none_or(|at| Instant::now() >= at)
    }

    /// Accepts connections until it crashes.
    fn accept(self: &Arc<Self>, fleet: &Arc<Fleet>, busy: &Arc<AtomicUsize>) {
        let listener = TcpListener::bind(self.address).expect("a free address");
        listener.set_nonblocking(true).expect("a listener");
        while self.is_up() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            let (server, fleet, busy) = (self.clone(), fleet.clone(), busy.clone());
            thread::spawn(move || {
                if stream.set_nonblocking(false).is_ok() {
                    server.serve(stream, &fleet, &busy);
                }
            });
        }
    }

    /// Ends: it takes no connections, and those that it has are closed, until it is back.
    fn crash(&self) {
        *self.back_at.lock().unwrap() = Some(Instant::now() + DOWNTIME);
        self.crashes.fetch_add(1, Ordering::Relaxed);
    }

    /// Waits until its next entry is due: one interval, or its return after a crash.
    fn wait_for_heartbeat(&self) {
        let end = Instant::now() + HEARTBEAT;
        let was_up = self.is_up();
        while Instant::now() < end && (was_up || !self.is_up()) {
            thread::sleep(ACCEPT_PAUSE);
        }
    }

    /// Takes a free slot; returns whether there was one.
    fn take_slot(&self) -> bool {
        let take = |running: usize| (running < self.slots).then_some(running + 1);
        self.running.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }

    fn serve(self: &Arc<Self>, stream: TcpStream, fleet: &Arc<Fleet>, busy: &Arc<AtomicUsize>) {
        let pid = fleet.hosts.owner_of(&stream);
        let Ok(mut connection) = Connection::new(stream) else {
            return;
        };
        // A connection that crosses the cut is reset, whatever it does.
        let is_over = Arc::new(AtomicBool::new(false));
        self.watch_end(&connection, fleet, pid, &is_over);
        while let Ok(head) = connection.read_head() {
            let Ok(body) = connection.read_body(&head) else {
                break;
            };
            if fleet.is_cut_off(pid) {
                break;
            }
            let answer = self.answer(&connection, &head, &body, fleet, busy);
            let Some(answer) = answer else {
                break;
            };
            if fleet.is_cut_off(pid) || connection.write(&answer).is_err() {
                break;
            }
        }
        is_over.store(true, Ordering::Relaxed);
    }

    /// Returns the answer, or `None` if the caller has left.
    fn answer(
        &self,
        connection: &Connection,
        head: &Head,
        body: &[u8],
        fleet: &Fleet,
        busy: &AtomicUsize,
    ) -> Option<Vec<u8>> {
        if head.word(1) == "/healthz" {
            return Some(http::answer(200, &[("Instance-Id", &self.id)], b""));
        }
        let id = head.field("request-id");
        let expected = head.field("expect-instance");
        if !expected.is_empty() && expected != self.id {
            let fields =
                [("Request-Id", id), ("Instance-Id", self.id.as_str()), ("Not-Executed", "1")];
            return Some(http::answer(421, &fields, b""));
        }
        if busy.fetch_add(1, Ordering::Relaxed) >= self.slots + self.queue {
            busy.fetch_sub(1, Ordering::Relaxed);
            fleet.record.line(&format!("{} sheds {id}", self.id));
            return Some(http::answer(503, &[("Request-Id", id), ("Not-Executed", "1")], b""));
        }
        let mut is_left = false;
        while !is_left && !self.take_slot() {
            is_left = connection.is_closed(CLOSE_CHECK);
        }
        if !is_left {
            fleet.record.line(&format!("{} runs {id}", self.id));
            fleet.runs.lock().unwrap().push(Run { request: id.to_owned(), at: Instant::now() });
            if self.deadly_body == Some(body) {
                thread::sleep(CRASH_DELAY);
                fleet.record.line(&format!("{} ends because of {id}", self.id));
                self.crash();
            }
            let end = Instant::now() + self.work;
            while !is_left && Instant::now() < end {
                is_left = connection.is_closed(CLOSE_CHECK.min(end - Instant::now()));
            }
            self.running.fetch_sub(1, Ordering::Relaxed);
        }
        busy.fetch_sub(1, Ordering::Relaxed);
        if is_left {
            fleet.record.line(&format!("{} drops {id}, whose connection was closed", self.id));
            return None;
        }
        fleet.record.line(&format!("{} answers {id}", self.id));
        let body = format!("{} did {id}", self.id);
        let fields = [("Request-Id", id), ("Server-Seal", "3e1b.07"), ("Keep-Alive", "timeout=10")];
        Some(http::answer(200, &fields, body.as_bytes()))
    }

    /// Closes a connection as soon as its host is cut off or this worker crashes.
    fn watch_end(
        self: &Arc<Self>,
        connection: &Connection,
        fleet: &Arc<Fleet>,
        pid: Option<u32>,
        is_over: &Arc<AtomicBool>,
    ) {
        let Ok(stream) = connection.stream.try_clone() else {
            return;
        };
        let (server, fleet, is_over) = (self.clone(), fleet.clone(), is_over.clone());
        let crashes = server.crashes.load(Ordering::Relaxed);
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                if fleet.is_cut_off(pid) || server.crashes.load(Ordering::Relaxed) != crashes {
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                    return;
                }
                thread::sleep(CLOSE_CHECK);
            }
        });
    }
}
