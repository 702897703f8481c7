//! A host is told to stop while its callers' orders wait in the queues of workers.

use std::sync::atomic::AtomicUsize;
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

const ZONES: [&str; 3] = ["sahab", "marka", "abdali"];
/// The host that is stopped.
const STOPPED: usize = 0;
const SLOTS: usize = 2;
const QUEUE: usize = 4;
const WORK: Duration = Duration::from_secs(5);
/// Two of three turns of all workers begin within the grace period.
const ORDERS: usize = 3 * ZONES.len() * SLOTS;
const DEADLINE: Duration = Duration::from_secs(20);
/// `loss-slack-ms` of the settings.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// The time without any disruption before the orders, more than `stable-window-ms`.
const CALM: Duration = Duration::from_secs(5);
const ORDER_PAUSE: Duration = Duration::from_millis(30);
/// The time from the last order until the host is told to stop.
const BEFORE_STOP: Duration = Duration::from_millis(500);

/// An order that ended without an answer, and how long it had been sent.
struct Unanswered {
    id: String,
    after: Duration,
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
    for (i, zone) in ZONES.into_iter().enumerate() {
        let server = Server {
            id: format!("i-{i}"),
            service: "ordering",
            address: hosts::address(1, i as u8 + 1, 8_080),
            zone,
            slots: SLOTS,
            queue: QUEUE,
            work: WORK,
            running: AtomicUsize::new(0),
            deadly_body: None,
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
    thread::sleep(CALM);
    let unanswered: Arc<Mutex<Vec<Unanswered>>> = Arc::default();
    let mut clients: Vec<JoinHandle<()>> = Vec::new();
    for number in 0..ORDERS {
        clients.push(send_order(number, &unanswered, &record));
        thread::sleep(ORDER_PAUSE);
    }
    thread::sleep(BEFORE_STOP);
    if setting.has_trouble {
        record.line("the host is told to stop");
        hosts.terminate(STOPPED);
    }
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let unanswered = unanswered.lock().unwrap();
    judge(&fleet, &unanswered, &record)
}

fn send_order(
    number: usize,
    unanswered: &Arc<Mutex<Vec<Unanswered>>>,
    record: &Arc<Record>,
) -> JoinHandle<()> {
    let (unanswered, record) = (unanswered.clone(), record.clone());
    thread::spawn(move || {
        let id = format!("order-{number}");
        let sent = Instant::now();
        record.line(&format!("{id} is sent"));
        let outcome = Client::new(hosts::front(STOPPED)).send(&Request {
            method: "POST",
            path: "/confirm/order",
            id: &id,
            key: Some("key-1"),
            deadline: DEADLINE,
            body: b"5000 kraft bags",
            piece: usize::MAX,
            pause: Duration::ZERO,
        });
        let after = sent.elapsed();
        record.line(&format!("{id} ends {} ms after it was sent: {outcome}", after.as_millis()));
        if matches!(outcome, Outcome::Closed(_)) {
            unanswered.lock().unwrap().push(Unanswered { id, after });
        }
    })
}

/// Counts the orders that ended without an answer and that no worker was at work on.
fn judge(fleet: &Fleet, unanswered: &[Unanswered], record: &Record) -> Verdict {
    let runs = fleet.runs.lock().unwrap();
    let has_run = |order: &&Unanswered| runs.iter().any(|run| run.request == order.id);
    let (at_work, waiting): (Vec<&Unanswered>, Vec<&Unanswered>) = unanswered
        .iter()
        .filter(|order| order.after > LOSS_SLACK && order.after < DEADLINE)
        .partition(has_run);
    let summary = format!(
        "{} orders that the host had read and passed on ended without an answer before their deadline \
         while no worker was at work on them; {} more while one was, which doesn't count",
        waiting.len(),
        at_work.len()
    );
    record.summary(&summary);
    if waiting.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

const CONFIGURATION: &str = r#"{"version":7,
"routes":[{"name":"r-1","host":"app.example","prefix":"/confirm/","route-type":"non_idempotent",
"timeout-ms":20000,"target-latency-ms":5000,"priority":2,"service":"ordering","max-attempts":1,"public":false}],
"services":[{"name":"ordering","health-path":"/healthz","max-conns":96,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"hule930","api-keys":["key-1"],"priority":1}]}"#;
