//! Several requests crash most workers at the same moment, and come again when these are back.

use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::deadly;
use crate::deployment;
use crate::deployment::Deployment;
use crate::deployment::Size;
use crate::record::Entry;
use crate::record::Record;
use crate::worker;

const SIZE: Size = Size {
    hosts: 6,
    models: 15,
    plain: 3,
    plain_work: Duration::from_millis(15),
    more: &[],
    on_detour: &[],
};
/// The different requests that crash workers.
const REQUESTS: usize = 3;
/// How often they come, each time at all hosts.
const WAVES: usize = 5;
/// The time from one wave to the next.
const GAP: Duration = Duration::from_millis(7_000);
/// How long a crashed worker is away.
const AWAY: Duration = Duration::from_millis(2_500);
const TOKENS: u64 = 160;
/// How long after the third crash the hosts may still send a request to workers: `stable-window-ms`.
const STABLE_WINDOW_MS: u64 = 3_000;
/// What the rule lets pass: the retries that reach workers later than that.
const ALLOWED_RETRIES: usize = 3;

/// Plays the case; returns whether the rule held.
pub fn play(folder: &Path, has_trouble: bool) -> io::Result<bool> {
    let configuration = deployment::configuration(7, 100, 1_000);
    let mut deployment = Deployment::start(folder, SIZE, &configuration)?;
    let word = if has_trouble { worker::CRASH_WORD } else { "nothing" };
    for wave in 0..WAVES {
        let mut tasks = Vec::new();
        for number in 0..REQUESTS * SIZE.hosts {
            let (kind, host) = (number / SIZE.hosts, number % SIZE.hosts);
            let (record, front) = (deployment.record.clone(), deployment.front(host));
            tasks.push(thread::spawn(move || {
                let id = format!("deadly-{kind}-{wave}-{host}");
                let body = format!("request {kind} {word}");
                deadly::call(&record, front, deadly::request("draft", &id, &body, TOKENS));
            }));
        }
        let end = Instant::now() + GAP;
        while Instant::now() < end {
            deployment.revive_workers(AWAY)?;
            thread::sleep(Duration::from_millis(50));
        }
    }
    Ok(judge(&deployment.record, &deployment.entries()?))
}

/// Counts, for each request, the retries that reached workers later than the rule allows.
fn judge(record: &Record, entries: &[Entry]) -> bool {
    let mut late_retries = Vec::new();
    for kind in 0..REQUESTS {
        let prefix = format!("deadly-{kind}-");
        let is_own = |e: &&Entry| e.value("id").starts_with(&prefix);
        let crashes = entries.iter().filter(|e| e.what == "crash").filter(is_own);
        let Some(third) = crashes.map(|e| e.at).nth(2) else {
            late_retries.push(0);
            continue;
        };
        let runs = entries.iter().filter(|e| e.what == "run").filter(is_own);
        let late = runs.filter(|e| e.at > third + STABLE_WINDOW_MS);
        let mut ids: Vec<&str> = late.map(|e| e.value("id")).collect();
        ids.sort_unstable();
        ids.dedup();
        late_retries.push(ids.len());
    }
    let holds = late_retries.iter().all(|count| *count <= ALLOWED_RETRIES);
    record.line(&format!(
        "result {} crashes={} late_retries_by_request={late_retries:?} allowed={ALLOWED_RETRIES}",
        if holds { "held" } else { "BROKEN" },
        entries.iter().filter(|e| e.what == "crash").count(),
    ));
    holds
}
