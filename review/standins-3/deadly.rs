//! A request that crashes the workers that run it, and comes again and again.

use std::io;
use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::callers;
use crate::callers::Request;
use crate::callers::STREAM_DEADLINE_MS;
use crate::deployment;
use crate::deployment::Deployment;
use crate::deployment::Size;
use crate::record::Entry;
use crate::record::Record;

const SIZE: Size = Size {
    hosts: 6,
    models: 15,
    plain: 3,
    plain_work: Duration::from_millis(15),
    more: &[],
    on_detour: &[],
};
/// How long a crashed worker is away.
const AWAY: Duration = Duration::from_millis(4_000);
/// How long the request comes again and again.
const TROUBLE_TIME: Duration = Duration::from_secs(60);
/// The pause of its caller between two attempts.
const CALLER_PAUSE: Duration = Duration::from_millis(1_000);
/// The other callers of each host.
const OTHERS: usize = 4;
/// The number of tokens that they ask for.
const OTHERS_TOKENS: u64 = 24;
/// Their pause between two requests.
const OTHERS_PAUSE: Duration = Duration::from_millis(60);
/// The number of tokens that it asks for: the workers crash long before the end of the answer, also those
/// that go on with it.
const DEADLY_TOKENS: u64 = 600;
/// How long after the third crash the hosts may still send the request to workers: `stable-window-ms`.
const STABLE_WINDOW_MS: u64 = 3_000;
/// What the rule lets pass: the retries that reach workers later than that.
const ALLOWED_RETRIES: usize = 3;

/// A request that crashes workers.
#[derive(Clone, Copy, Debug)]
pub struct Deadly {
    /// The route on which it comes.
    pub route: &'static str,
    /// The word in its body that says what it does to workers.
    pub word: &'static str,
}

/// Plays the case; returns whether the rule held.
pub fn play(folder: &Path, deadly: Deadly) -> io::Result<bool> {
    let Deadly { route, word } = deadly;
    let configuration = deployment::configuration(7, 100, 1_000);
    let mut deployment = Deployment::start(folder, SIZE, &configuration)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let mut tasks = Vec::new();
    for number in 0..SIZE.hosts * OTHERS {
        let host = number % SIZE.hosts;
        let (front, record) = (deployment.front(host), deployment.record.clone());
        let is_over = is_over.clone();
        tasks.push(thread::spawn(move || {
            let mut turn = 0;
            while !is_over.load(Ordering::SeqCst) {
                let route = ["draft", "look", "look", "confirm"][turn % 4];
                let id = format!("caller-{number}-{turn}");
                let body = format!("quote {id}");
                let request = request(route, &id, &body, OTHERS_TOKENS);
                call(&record, front, request);
                turn += 1;
                thread::sleep(OTHERS_PAUSE);
            }
        }));
    }
    let fronts: Vec<_> = (0..SIZE.hosts).map(|host| deployment.front(host)).collect();
    let (record, body) = (deployment.record.clone(), format!("the same bytes each time: {word}"));
    let end = Instant::now() + TROUBLE_TIME;
    let caller = thread::spawn(move || {
        let mut turn = 0;
        while Instant::now() < end {
            let front = fronts[turn % fronts.len()];
            let id = format!("deadly-{turn}");
            call(&record, front, request(route, &id, &body, DEADLY_TOKENS));
            turn += 1;
            thread::sleep(CALLER_PAUSE);
        }
    });
    while !caller.is_finished() {
        deployment.revive_workers(AWAY)?;
        thread::sleep(Duration::from_millis(50));
    }
    is_over.store(true, Ordering::SeqCst);
    for task in tasks {
        task.join().expect("the callers do not panic");
    }
    Ok(judge(&deployment.record, &deployment.entries()?))
}

pub fn request<'a>(route: &'a str, id: &'a str, body: &'a str, tokens: u64) -> Request<'a> {
    Request { route, id, body, tokens, deadline_ms: STREAM_DEADLINE_MS }
}

/// Sends a request and records that and the answer.
pub fn call(record: &Record, front: SocketAddrV4, request: Request<'_>) {
    let id = request.id;
    record.line(&format!("sent id={id} route={} host={front}", request.route));
    match callers::send(front, request) {
        Ok(answer) => record.line(&format!("answered id={id} {}", answer.describe())),
        Err(e) => record.line(&format!("unanswered id={id} why={:?}", e.kind())),
    }
}

/// Counts the retries of the request that reached workers later than the rule allows.
fn judge(record: &Record, entries: &[Entry]) -> bool {
    let is_deadly = |entry: &&Entry| entry.value("id").starts_with("deadly-");
    let crashes: Vec<u64> =
        entries.iter().filter(|e| e.what == "crash").filter(is_deadly).map(|e| e.at).collect();
    let from = crashes.get(2).map(|third| third + STABLE_WINDOW_MS);
    let is_late = |entry: &&Entry| from.is_some_and(|from| entry.at > from);
    let runs = entries.iter().filter(|e| e.what == "run").filter(is_deadly).filter(is_late);
    let mut retries: Vec<&str> = runs.map(|e| e.value("id")).collect();
    retries.dedup();
    retries.sort_unstable();
    retries.dedup();
    let others = entries.iter().filter(|e| e.what == "answered" && !is_deadly(e));
    let (served, failed): (Vec<_>, Vec<_>) = others
        .partition(|e| e.value("status") == "200" && e.words.contains(&"complete".to_owned()));
    let holds = retries.len() <= ALLOWED_RETRIES;
    record.line(&format!(
        "result {} crashes={} late_retries_at_workers={} allowed={ALLOWED_RETRIES} \
         others_served={} others_failed={}",
        if holds { "held" } else { "BROKEN" },
        crashes.len(),
        retries.len(),
        served.len(),
        failed.len(),
    ));
    holds
}
