//! Workers leave without a word while the store cuts watches that wait.

use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::deployment;
use crate::deployment::Deployment;
use crate::deployment::Size;
use crate::passed_on;
use crate::record::Entry;
use crate::record::Record;

const SIZE: Size = Size {
    hosts: 7,
    models: 3,
    plain: 9,
    plain_work: Duration::from_millis(15),
    more: &[],
    on_detour: &[],
};
/// The workers that leave, one after the other.
const LEAVING: [usize; 7] = [3, 4, 5, 6, 7, 8, 9];
/// The time from one to the next.
const GAP: Duration = Duration::from_millis(5_000);
/// The requests in a second.
const RATE: f64 = 120.0;
/// How long a watch waits until the store cuts it, in ms.
const WATCH_CUT_MS: u64 = 100;
/// The bound `drain-ms`.
const DRAIN_MS: u64 = 2_000;

/// Plays the case; returns whether the rule held.
pub fn play(folder: &Path, has_trouble: bool) -> io::Result<bool> {
    let deployment = Deployment::start(folder, SIZE, &deployment::configuration(7, 100, 1_000))?;
    let queues: Vec<_> = (0..SIZE.hosts)
        .map(|host| passed_on::start_callers(&deployment.record, deployment.front(host)))
        .collect();
    deployment.store.set_watch_cut(if has_trouble { WATCH_CUT_MS } else { 0 });
    let began = Instant::now();
    let (mut sent, mut left) = (0, 0);
    while began.elapsed() < GAP * (LEAVING.len() as u32 + 1) {
        if left < LEAVING.len() && began.elapsed() >= GAP * (left as u32 + 1) {
            deployment.leave_silently(LEAVING[left])?;
            left += 1;
        }
        let _ = queues[sent % queues.len()].send(sent);
        sent += 1;
        thread::sleep(Duration::from_secs_f64(1.0 / RATE));
    }
    thread::sleep(Duration::from_millis(1_500));
    Ok(judge(&deployment.record, &deployment.entries()?))
}

fn judge(record: &Record, entries: &[Entry]) -> bool {
    let mut late = Vec::new();
    for gone in entries.iter().filter(|e| e.what == "entry-removed") {
        let of_worker = |e: &&Entry| e.what == "run" && e.value("worker") == gone.value("worker");
        let runs = entries.iter().filter(of_worker).filter(|e| e.at > gone.at + DRAIN_MS);
        late.extend(runs.map(|e| e.at - gone.at));
    }
    let holds = late.is_empty();
    record.line(&format!(
        "result {} late_runs={} latest_ms={}",
        if holds { "held" } else { "BROKEN" },
        late.len(),
        late.iter().max().unwrap_or(&0),
    ));
    holds
}
