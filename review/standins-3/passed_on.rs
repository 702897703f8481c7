//! Hosts that lose the path to the plain workers pass their requests on, while these workers turn requests
//! away since they are full.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::mpsc;
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::callers;
use crate::callers::Request;
use crate::deployment;
use crate::deployment::Deployment;
use crate::deployment::Size;
use crate::http::Connection;
use crate::record::Entry;
use crate::record::Record;

const SIZE: Size = Size {
    hosts: 7,
    models: 15,
    plain: 3,
    plain_work: Duration::from_millis(40),
    more: &[],
    on_detour: &[1, 2],
};
/// The callers of each host, each with a connection that it keeps.
const CALLERS: usize = 80;
/// The usual requests in a second; the workers run 450.
const USUAL_RATE: f64 = 440.0;
/// The factor by which callers send more for some time.
const BURST: f64 = 1.7;
/// The time that callers give their requests, in ms, and the timeout of the routes.
const DEADLINE_MS: u64 = 4_000;
const TARGET_LATENCY_MS: u64 = 300;
/// The times of the case, from the first request on.
const CUT_FROM: Duration = Duration::from_secs(12);
const CUT_TIME: Duration = Duration::from_secs(5);
const BURST_FROM: Duration = Duration::from_millis(12_000);
const BURST_TIME: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(26);
/// The bounds that the hosts are given: `budget-window-s`, `retry-budget-ratio` and `budget-slack`.
const WINDOW_MS: u64 = 10_000;
const RATIO: f64 = 0.2;
const SLACK: f64 = 196.0;

/// What is done to the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// Whether many callers come at once.
    pub has_burst: bool,
    /// Whether hosts lose the path to the plain workers.
    pub has_cut: bool,
}

/// Plays the case; returns whether the rule held.
pub fn play(folder: &Path, trouble: Trouble) -> io::Result<bool> {
    let configuration = deployment::configuration(7, TARGET_LATENCY_MS, DEADLINE_MS);
    let deployment = Deployment::start(folder, SIZE, &configuration)?;
    let queues: Vec<Sender<usize>> = (0..SIZE.hosts)
        .map(|host| start_callers(&deployment.record, deployment.front(host)))
        .collect();
    let began = Instant::now();
    let (mut sent, mut is_cut) = (0, false);
    let mut next = began;
    while began.elapsed() < LENGTH {
        let at = began.elapsed();
        let is_in = |from: Duration, span: Duration| (from..from + span).contains(&at);
        if (trouble.has_cut && is_in(CUT_FROM, CUT_TIME)) != is_cut {
            is_cut = !is_cut;
            deployment.set_detour_cut(is_cut)?;
            deployment.record.line(&format!("path-cut {is_cut}"));
        }
        let rate = if trouble.has_burst && is_in(BURST_FROM, BURST_TIME) {
            BURST * USUAL_RATE
        } else {
            USUAL_RATE
        };
        next += Duration::from_secs_f64(1.0 / rate);
        // The callers live as long as the case.
        let _ = queues[sent % queues.len()].send(sent);
        sent += 1;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    thread::sleep(Duration::from_millis(DEADLINE_MS + 500));
    Ok(judge(&deployment.record, &deployment.entries()?))
}

/// Starts the callers of a host; each request whose number comes is sent by one that is free.
pub fn start_callers(record: &Arc<Record>, front: SocketAddrV4) -> Sender<usize> {
    let (tx, rx) = mpsc::channel();
    let rx = Arc::new(Mutex::new(rx));
    for _ in 0..CALLERS {
        let (record, rx) = (record.clone(), rx.clone());
        thread::spawn(move || {
            let mut conn = None;
            loop {
                let next = rx.lock().expect("no thread panics with the lock").recv();
                let Ok(number) = next else {
                    return;
                };
                conn = call(&record, front, number, conn.take());
            }
        });
    }
    tx
}

/// Sends a request over `conn` or a new connection; returns the connection if it can be kept.
fn call(
    record: &Record,
    front: SocketAddrV4,
    number: usize,
    conn: Option<Connection>,
) -> Option<Connection> {
    let id = format!("look-{number}");
    record.line(&format!("sent id={id} route=look host={front}"));
    let request = Request { route: "look", id: &id, body: "", tokens: 0, deadline_ms: DEADLINE_MS };
    let conn = conn.map_or_else(|| callers::connect(front, request.patience()), Ok);
    let answer = conn.and_then(|mut conn| {
        let answer = callers::send_over(&mut conn, request)?;
        Ok((conn, answer))
    });
    match answer {
        Ok((conn, answer)) => {
            record.line(&format!("answered id={id} {}", answer.describe()));
            answer.is_complete.then_some(conn)
        }
        Err(e) => {
            record.line(&format!("unanswered id={id} why={:?}", e.kind()));
            None
        }
    }
}

/// Compares, for each window, the arrivals beyond the first of each request with what the rule allows.
fn judge(record: &Record, entries: &[Entry]) -> bool {
    let is_look = |entry: &&Entry| entry.value("id").starts_with("look-");
    let sent: Vec<u64> =
        entries.iter().filter(|e| e.what == "sent").filter(is_look).map(|e| e.at).collect();
    let mut seen = HashSet::new();
    let arrivals = entries.iter().filter(|e| e.what == "run" || e.what == "shed").filter(is_look);
    let again: Vec<u64> =
        arrivals.filter(|e| !seen.insert(e.value("id").to_owned())).map(|e| e.at).collect();
    let count = |times: &[u64], from: u64| {
        times.iter().filter(|at| (from..from + WINDOW_MS).contains(at)).count()
    };
    let mut worst = (0, 0.0, 0);
    for &from in &again {
        let windows = [from, from.saturating_sub(WINDOW_MS / 2), from.saturating_sub(WINDOW_MS)];
        let requests = windows.into_iter().map(|from| count(&sent, from)).max().unwrap_or(0);
        let allowed = RATIO * requests as f64 + SLACK;
        let extra = count(&again, from);
        if extra as f64 - allowed > worst.0 as f64 - worst.1 || worst.2 == 0 {
            worst = (extra, allowed, from);
        }
    }
    let holds = worst.0 as f64 <= worst.1;
    let shed = entries.iter().filter(|e| e.what == "shed").filter(is_look).count();
    record.line(&format!(
        "result {} sent={} shed={shed} arrivals_beyond_the_first={} allowed={:.0} in_window_from={}",
        if holds { "held" } else { "BROKEN" },
        sent.len(),
        worst.0,
        worst.1,
        worst.2,
    ));
    holds
}
