//! Clients send bodies of the allowed size, and for three seconds more of them than usual. A host that
//! exceeds its memory is killed, as the platform does, and its requests get no answer.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::client::Outcome;
use crate::client::Request;
use crate::hosts;
use crate::hosts::Deployment;
use crate::hosts::HostSet;
use crate::record::Record;
use crate::server::Fleet;
use crate::server::Server;
use crate::store::Store;
use crate::Setting;
use crate::Verdict;

const ZONES: [&str; 2] = ["sahab", "marka"];
/// `memory-mb` of the settings.
const MEMORY_MB: u64 = 260;
/// `max-body-bytes` of the configuration.
const BODY_BYTES: usize = 4 << 20;
/// The clients of each host, each with one kept connection and one request at a time.
const CLIENTS: usize = 48;
/// The clients that the burst adds at each host: 0.7 of the usual ones.
const BURST_CLIENTS: usize = CLIENTS * 7 / 10;
const BURST: Duration = Duration::from_secs(3);
const WORK: Duration = Duration::from_secs(2);
/// A client sends its body in pieces, 4 MB a second.
const PIECE_BYTES: usize = 128 << 10;
const PIECE_PAUSE: Duration = Duration::from_millis(31);
const DEADLINE: Duration = Duration::from_secs(10);
/// The pause of a client between an answer and its next request.
const CLIENT_PAUSE: Duration = Duration::from_millis(100);
const PAUSE_AFTER_FAILURE: Duration = Duration::from_secs(1);
/// The time before the burst: three requests of each client.
const CALM: Duration = Duration::from_secs(12);
const AFTER_BURST: Duration = Duration::from_secs(6);
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// LOST: such a connection is closed "more than three times".
const ALLOWED_LOST: usize = 3;

/// A request that a client sent on a kept connection and that ended without an answer.
struct Lost {
    id: String,
}

pub fn run(setting: &Setting) -> Verdict {
    let hosts = Arc::new(HostSet::new(setting.folder.clone()));
    let verdict = run_with(setting, &hosts);
    hosts.kill_all();
    verdict
}

fn run_with(setting: &Setting, hosts: &Arc<HostSet>) -> Verdict {
    let record = Arc::new(Record::new(&setting.record));
    let store_address = hosts::address(0, 1, 8_223);
    let store = Store::start(store_address, hosts.clone());
    store.put("op/config", CONFIGURATION);
    let fleet = Fleet::new(hosts.clone(), record.clone());
    for i in 0..6u8 {
        let server = Server {
            id: format!("i-{i}"),
            service: "ordering",
            address: hosts::address(1, i + 1, 8_080),
            zone: ZONES[usize::from(i) % 2],
            slots: 40,
            queue: 0,
            work: WORK,
            running: AtomicUsize::new(0),
            deadly_body: None,
            crashes: AtomicUsize::new(0),
            back_at: Mutex::new(None),
        };
        server.start(&fleet, &store);
    }
    let deployment =
        Deployment { zones: ZONES.to_vec(), store: store_address, memory_mb: MEMORY_MB };
    hosts.start_all(&deployment);
    if !hosts.wait_until_ready(Duration::from_secs(10)) {
        record.line("the hosts are not ready");
        return Verdict::NotRun;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let peaks = Arc::new([AtomicU64::new(0), AtomicU64::new(0)]);
    let platform = limit_memory(hosts, &record, &is_over, &peaks);
    let lost: Arc<Mutex<Vec<Lost>>> = Arc::default();
    let began = Instant::now();
    let end = began + CALM + BURST + AFTER_BURST;
    let mut clients = start_clients(CLIENTS, "usual", end, &record, &lost);
    thread::sleep(CALM);
    if setting.has_trouble {
        record.line("the burst begins");
        clients.extend(start_clients(
            BURST_CLIENTS,
            "burst",
            Instant::now() + BURST,
            &record,
            &lost,
        ));
    }
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    is_over.store(true, Ordering::Relaxed);
    let ends = platform.join().expect("the platform");
    let lost = lost.lock().unwrap();
    judge(&fleet, &lost, &record, &peaks, ends)
}

/// Kills each host whose process exceeds its memory and starts it again after a short delay; returns
/// how often that happened.
fn limit_memory(
    hosts: &Arc<HostSet>,
    record: &Arc<Record>,
    is_over: &Arc<AtomicBool>,
    peaks: &Arc<[AtomicU64; 2]>,
) -> JoinHandle<usize> {
    let (hosts, record, is_over, peaks) =
        (hosts.clone(), record.clone(), is_over.clone(), peaks.clone());
    thread::spawn(move || {
        let mut ends = 0;
        let mut restarts: [Option<Instant>; 2] = [None, None];
        while !is_over.load(Ordering::Relaxed) {
            for host in 0..ZONES.len() {
                let bytes = hosts.resident_bytes(host);
                peaks[host].fetch_max(bytes, Ordering::Relaxed);
                if bytes > MEMORY_MB << 20 {
                    hosts.kill(host);
                    ends += 1;
                    record.line(&format!("host {host} had {} MB and is killed", bytes >> 20));
                    restarts[host] = Some(Instant::now() + RESTART_DELAY);
                }
                if restarts[host].is_some_and(|at| Instant::now() >= at) {
                    restarts[host] = None;
                    hosts.start(host);
                    record.line(&format!("host {host} is started again"));
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        ends
    })
}

/// Starts `count` clients at each host, which send requests until `end`.
fn start_clients(
    count: usize,
    group: &'static str,
    end: Instant,
    record: &Arc<Record>,
    lost: &Arc<Mutex<Vec<Lost>>>,
) -> Vec<JoinHandle<()>> {
    let start = |number: usize| {
        let (record, lost) = (record.clone(), lost.clone());
        thread::spawn(move || {
            // The clients begin one after the other within one turn.
            thread::sleep((WORK + Duration::from_secs(1)) * (number as u32 / 2) / count as u32);
            let mut client = Client::new(hosts::front(number % ZONES.len()));
            let body = vec![b'x'; BODY_BYTES];
            let mut sent = 0;
            while Instant::now() < end {
                let id = format!("{group}-{number}-{sent}");
                let is_kept = client.is_connected();
                let outcome = client.send(&Request {
                    method: "POST",
                    path: "/confirm/order",
                    id: &id,
                    key: Some("key-1"),
                    deadline: DEADLINE,
                    body: &body,
                    piece: PIECE_BYTES,
                    pause: PIECE_PAUSE,
                });
                record.line(&format!("request {id} (kept connection: {is_kept}): {outcome}"));
                if is_kept && matches!(outcome, Outcome::Closed(_)) {
                    lost.lock().unwrap().push(Lost { id });
                }
                sent += 1;
                let is_answered = matches!(outcome, Outcome::Answered(_));
                thread::sleep(if is_answered { CLIENT_PAUSE } else { PAUSE_AFTER_FAILURE });
            }
        })
    };
    (0..count * ZONES.len()).map(start).collect()
}

fn judge(
    fleet: &Fleet,
    lost: &[Lost],
    record: &Record,
    peaks: &[AtomicU64; 2],
    ends: usize,
) -> Verdict {
    let runs = fleet.runs.lock().unwrap();
    let passed_on = lost.iter().filter(|lost| runs.iter().any(|run| run.request == lost.id));
    let count = passed_on.count();
    let peaks: Vec<u64> = peaks.iter().map(|peak| peak.load(Ordering::Relaxed) >> 20).collect();
    let summary = format!(
        "peak memory {peaks:?} MB of {MEMORY_MB}, hosts killed {ends} times; {count} requests of kept \
         connections that a worker ran got no answer, allowed are {ALLOWED_LOST}"
    );
    record.summary(&summary);
    if count > ALLOWED_LOST {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

const CONFIGURATION: &str = r#"{"version":7,
"routes":[{"name":"r-1","host":"app.example","prefix":"/confirm/","route-type":"non_idempotent",
"timeout-ms":20000,"target-latency-ms":5000,"priority":2,"service":"ordering","max-attempts":1,"public":false}],
"services":[{"name":"ordering","health-path":"/healthz","max-conns":200,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"hule930","api-keys":["key-1"],"priority":1}]}"#;
