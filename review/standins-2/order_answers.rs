//! A worker sends the refusal of an order a second time, at the point where its next answer is expected.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Call;
use crate::client::Outcome;
use crate::deployment::Route;
use crate::deployment::Site;
use crate::deployment::KEY;
use crate::fleet::Kind;
use crate::fleet::Worker;
use crate::record::Record;
use crate::Verdict;

const MODEL_WORKERS: u8 = 12;
/// The clients, each of which sends one request after the other.
const CLIENTS: u64 = 24;
/// The time of the traffic.
const TRAFFIC: Duration = Duration::from_secs(40);
/// The time between two failures of workers, and the length of each.
const PERIOD: Duration = Duration::from_secs(6);
const DARK: Duration = Duration::from_millis(4_500);
const ANSWER_TOKENS: u64 = 40;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let mut site = Site::new(record.clone());
    let routes =
        [Route { prefix: "/draft/", kind: "streaming", service: "model", timeout_ms: 20_000 }];
    site.configure(7, &routes, &[("model", Kind::Model)], &[KEY]);
    let workers = site.start_workers(Kind::Model, "model", MODEL_WORKERS, 10);
    if !site.start_hosts(2) || !site.wait_until_placed() {
        record.line("the deployment did not start");
        site.end();
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(3));
    for worker in &workers {
        record.line(&format!("{} at {} holds {:?}", worker.id, worker.address, worker.layers()));
    }
    let foreign = Arc::new(Mutex::new(Vec::new()));
    let served = Arc::new(AtomicU64::new(0));
    let end = Instant::now() + TRAFFIC;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let address = site.hosts[client as usize % site.hosts.len()].callers();
            let (record, foreign, served) = (record.clone(), foreign.clone(), served.clone());
            thread::spawn(move || {
                let mut count = 0;
                while Instant::now() < end {
                    count += 1;
                    let id = format!("c{client}-{count}");
                    let call = Call {
                        target: "/draft/x",
                        id: &id,
                        deadline_ms: 20_000,
                        tokens: Some(ANSWER_TOKENS),
                        body: b"prompt",
                        ..Call::default()
                    };
                    let outcome = call.send(address);
                    record.line(&format!("answer to {id}: {}", outcome.text()));
                    if outcome.is_served() {
                        served.fetch_add(1, Ordering::SeqCst);
                    }
                    if is_foreign(&outcome, &id) {
                        foreign.lock().unwrap().push(format!("{id}: {}", outcome.text()));
                    }
                    thread::sleep(Duration::from_millis(30));
                }
            })
        })
        .collect();
    site.fleet.doubles_refusals.store(has_trouble, Ordering::SeqCst);
    while Instant::now() + PERIOD < end {
        thread::sleep(PERIOD - DARK);
        let chosen = choose_joined(&site, &workers);
        for worker in &chosen {
            record.line(&format!("{} goes dark", worker.id));
            worker.set_dark(true);
        }
        thread::sleep(DARK);
        for worker in &chosen {
            record.line(&format!("{} is back", worker.id));
            worker.set_dark(false);
        }
    }
    clients.into_iter().for_each(|c| c.join().unwrap());
    site.end();
    let foreign = foreign.lock().unwrap();
    record.line(&format!(
        "served {}, foreign answers {}",
        served.load(Ordering::SeqCst),
        foreign.len()
    ));
    foreign.iter().for_each(|f| record.line(&format!("foreign: {f}")));
    match (foreign.is_empty(), served.load(Ordering::SeqCst)) {
        (_, 0) => Verdict::CouldNotRun,
        (true, _) => Verdict::Held,
        (false, _) => Verdict::Broken,
    }
}

/// Chooses two later workers of one path, the pair that most requests in progress have in common.
fn choose_joined(site: &Site, workers: &[Arc<Worker>]) -> Vec<Arc<Worker>> {
    let mut pairs: HashMap<(SocketAddrV4, SocketAddrV4), usize> = HashMap::new();
    for path in site.fleet.paths() {
        for later in path[1..].windows(2) {
            *pairs.entry((later[0], later[1])).or_default() += 1;
        }
    }
    let most = pairs.into_iter().max_by_key(|(_, count)| *count).map(|(pair, _)| pair);
    let is_chosen = |w: &&Arc<Worker>| most.is_some_and(|(a, b)| w.address == a || w.address == b);
    workers.iter().filter(is_chosen).cloned().collect()
}

/// Returns whether a client got the answer to something else: the statuses of refused orders, which no
/// worker gives to a request of a client and the system has no reason to give.
fn is_foreign(outcome: &Outcome, id: &str) -> bool {
    let Outcome::Answer(head, ..) = outcome else {
        return false;
    };
    matches!(head.status(), 404 | 409 | 412) && head.field("request-id") != id
}
