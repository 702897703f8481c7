//! A request that crashes each worker that begins to run it comes at all hosts at the same time, again
//! and again.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::client::Request;
use crate::hosts;
use crate::hosts::Deployment;
use crate::hosts::HostSet;
use crate::record::Record;
use crate::server::Fleet;
use crate::server::Run;
use crate::server::Server;
use crate::store::Store;
use crate::Setting;
use crate::Verdict;

/// The zones of the hosts, as on the site.
const ZONES: [&str; 6] = ["sahab", "sahab", "sahab", "marka", "marka", "abdali"];
const SERVERS: u8 = 12;
const WORK: Duration = Duration::from_millis(15);
const DEADLY: &[u8] = b"an order that no worker survives";
const SOUND: &[u8] = b"an order like any other";
const DEADLY_ID: &str = "deadly";
const ROUNDS: usize = 3;
/// Longer than the workers are down, and than `stable-window-ms` after it.
const ROUND_GAP: Duration = Duration::from_millis(6_500);
/// `stable-window-ms` of the settings.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// BUDGET: such a request reaches workers "in more than three retries".
const ALLOWED_LATE: usize = 3;
const CALM: Duration = Duration::from_secs(5);
const CLIENT_PAUSE: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_secs(1);

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
    for i in 0..SERVERS {
        let server = Server {
            id: format!("i-{i}"),
            service: "ordering",
            address: hosts::address(1, i + 1, 8_080),
            zone: ZONES[usize::from(i) % ZONES.len()],
            slots: 6,
            queue: 24,
            work: WORK,
            running: AtomicUsize::new(0),
            deadly_body: Some(DEADLY),
            crashes: AtomicUsize::new(0),
            back_at: Mutex::new(None),
        };
        server.start(&fleet, &store);
    }
    let deployment = Deployment { zones: ZONES.to_vec(), store: store_address, memory_mb: 260 };
    hosts.start_all(&deployment);
    if !hosts.wait_until_ready(Duration::from_secs(10)) {
        record.line("the hosts are not ready");
        return Verdict::NotRun;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<JoinHandle<()>> =
        (0..ZONES.len()).map(|host| start_sound_client(host, &is_over, &record)).collect();
    thread::sleep(CALM);
    let body = if setting.has_trouble { DEADLY } else { SOUND };
    for round in 0..ROUNDS {
        record.line(&format!("round {round}: the request comes at all hosts"));
        let senders: Vec<JoinHandle<()>> =
            (0..ZONES.len()).map(|host| send_once(host, round, body, &record)).collect();
        senders.into_iter().for_each(|sender| sender.join().expect("a client"));
        thread::sleep(ROUND_GAP);
    }
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let runs = fleet.runs.lock().unwrap();
    judge(&runs, &record)
}

fn send_once(
    host: usize,
    round: usize,
    body: &'static [u8],
    record: &Arc<Record>,
) -> JoinHandle<()> {
    let record = record.clone();
    let kind = if body == DEADLY { DEADLY_ID } else { "harmless" };
    thread::spawn(move || {
        let id = format!("{kind}-{round}-{host}");
        let outcome = send(&mut Client::new(hosts::front(host)), "/confirm/order", &id, body);
        record.line(&format!("{id}: {outcome}"));
    })
}

fn start_sound_client(
    host: usize,
    is_over: &Arc<AtomicBool>,
    record: &Arc<Record>,
) -> JoinHandle<()> {
    let (is_over, record) = (is_over.clone(), record.clone());
    thread::spawn(move || {
        let mut client = Client::new(hosts::front(host));
        let mut number = 0;
        while !is_over.load(Ordering::Relaxed) {
            let id = format!("sound-{host}-{number}");
            let outcome = send(&mut client, "/confirm/order", &id, id.as_bytes());
            record.line(&format!("{id}: {outcome}"));
            number += 1;
            thread::sleep(CLIENT_PAUSE);
        }
    })
}

fn send(client: &mut Client, path: &str, id: &str, body: &[u8]) -> String {
    let outcome = client.send(&Request {
        method: "POST",
        path,
        id,
        key: Some("key-1"),
        deadline: DEADLINE,
        body,
        piece: usize::MAX,
        pause: Duration::ZERO,
    });
    outcome.to_string()
}

fn judge(runs: &[Run], record: &Record) -> Verdict {
    let deadly: Vec<Instant> =
        runs.iter().filter(|run| run.request.starts_with(DEADLY_ID)).map(|run| run.at).collect();
    let third = deadly.get(2).copied();
    let is_late = |at: &&Instant| third.is_some_and(|third| **at > third + STABLE_WINDOW);
    let late = deadly.iter().filter(is_late).count();
    let summary = format!(
        "the request ran {} times and ended its worker each time; {late} of its retries reached workers more \
         than {} ms after the third had ended, allowed are {ALLOWED_LATE}",
        deadly.len(),
        STABLE_WINDOW.as_millis()
    );
    record.summary(&summary);
    if late > ALLOWED_LATE {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

const CONFIGURATION: &str = r#"{"version":7,
"routes":[{"name":"r-1","host":"app.example","prefix":"/confirm/","route-type":"non_idempotent",
"timeout-ms":1000,"target-latency-ms":100,"priority":2,"service":"ordering","max-attempts":1,"public":false}],
"services":[{"name":"ordering","health-path":"/healthz","max-conns":96,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"hule930","api-keys":["key-1"],"priority":1}]}"#;
