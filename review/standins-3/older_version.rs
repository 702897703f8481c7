//! A host that has lost the store and a path hears late that its callers are served by a newer version.

use std::io;
use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::callers;
use crate::callers::Request;
use crate::deployment::Deployment;
use crate::deployment::Size;
use crate::record::Entry;
use crate::record::Record;

/// How long a request to the new service of `look` takes, in ms.
const SLOW_MS: u64 = 800;
const SIZE: Size = Size {
    hosts: 6,
    models: 0,
    plain: 3,
    plain_work: Duration::from_millis(15),
    more: &[("fresh", 6, SLOW_MS), ("desk", 6, 15), ("annex", 6, 15)],
    on_detour: &[CUT_HOST],
};
/// The host that loses the path to the workers of `plain`, and then the store.
const CUT_HOST: usize = 1;
/// How often it does.
const ROUNDS: u64 = 4;
/// How long the path is cut.
const CUT_TIME: Duration = Duration::from_millis(4_500);
/// The time from the cut until the store falls silent, and from then until the new version.
const CUT_BEFORE_SILENCE: Duration = Duration::from_millis(1_500);
const SILENCE_BEFORE_CHANGE: Duration = Duration::from_millis(100);
/// How long the store answers the host nothing after the new version.
const SILENCE: Duration = Duration::from_millis(2_500);
/// The calm time before a round, after the cut, and after the return to the former services.
const CALM_BEFORE: Duration = Duration::from_millis(2_000);
const CALM_AFTER_CUT: Duration = Duration::from_millis(1_000);
const CALM_AFTER: Duration = Duration::from_millis(3_000);
/// The length of a round.
const ROUND: Duration = Duration::from_secs(11);
/// The requests on each route that each host gets in a second.
const RATE: f64 = 40.0;
/// The bound `rollback-slack-ms`.
const ROLLBACK_SLACK_MS: u64 = 250;
const DEADLINE_MS: u64 = 4_000;

/// Returns the configuration `version`, whose routes lead to the services `look` and `ask`.
fn configuration(version: u64, look: &str, ask: &str) -> String {
    let route = |name: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"app.example\",\"prefix\":\"/{name}/\",\
             \"route-type\":\"safe\",\"priority\":1,\"service\":\"{service}\",\"public\":false,\
             \"target-latency-ms\":2000,\"timeout-ms\":{DEADLINE_MS},\"max-attempts\":2}}"
        )
    };
    let services = ["plain", "fresh", "desk", "annex"];
    let services =
        services.map(|name| format!("{{\"name\":\"{name}\",\"health-path\":\"/healthz\"}}"));
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"bakers\",\"api-keys\":[\"{}\"],\"priority\":1}}]}}",
        route("look", look),
        route("ask", ask),
        services.join(","),
        callers::KEY,
    )
}

/// Plays the case; returns whether the rule held.
pub fn play(folder: &Path, has_trouble: bool) -> io::Result<bool> {
    let deployment = Deployment::start(folder, SIZE, &configuration(7, "plain", "desk"))?;
    let began = Instant::now();
    let end = began + ROUND * ROUNDS as u32;
    let mut tasks = Vec::new();
    for host in 0..SIZE.hosts {
        let (record, front) = (deployment.record.clone(), deployment.front(host));
        tasks.push(thread::spawn(move || send_all(&record, front, host, end)));
    }
    for round in 0..ROUNDS {
        thread::sleep(CALM_BEFORE);
        let cut_at = Instant::now();
        if has_trouble {
            deployment.set_detour_cut(true)?;
            deployment.record.line("path-cut true");
        }
        thread::sleep(CUT_BEFORE_SILENCE);
        deployment.store.set_detour_silent(has_trouble);
        deployment.record.line(&format!("store-silent {has_trouble}"));
        thread::sleep(SILENCE_BEFORE_CHANGE);
        deployment.store.put("op/config", &configuration(10 + 10 * round, "fresh", "annex"));
        deployment.record.line(&format!("configured round={round}"));
        thread::sleep(SILENCE);
        deployment.store.set_detour_silent(false);
        thread::sleep(CUT_TIME.saturating_sub(cut_at.elapsed()));
        deployment.set_detour_cut(false)?;
        deployment.record.line("path-cut false");
        thread::sleep(CALM_AFTER_CUT);
        deployment.store.put("op/config", &configuration(15 + 10 * round, "plain", "desk"));
        deployment.record.line(&format!("restored round={round}"));
        thread::sleep(CALM_AFTER);
    }
    for task in tasks {
        task.join().expect("the callers do not panic");
    }
    thread::sleep(Duration::from_millis(1_000));
    Ok(judge(&deployment.record, &deployment.entries()?))
}

/// Sends requests to a host, each in a thread of its own.
fn send_all(record: &Arc<Record>, front: SocketAddrV4, host: usize, end: Instant) {
    let mut number = 0;
    while Instant::now() < end {
        for route in ["look", "ask"] {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("{route}-{host}-{number}");
                record.line(&format!("sent id={id} route={route} host={front}"));
                let request =
                    Request { route, id: &id, body: "", tokens: 0, deadline_ms: DEADLINE_MS };
                match callers::send(front, request) {
                    Ok(answer) => record.line(&format!("answered id={id} {}", answer.describe())),
                    Err(e) => record.line(&format!("unanswered id={id} why={:?}", e.kind())),
                }
            });
        }
        number += 1;
        thread::sleep(Duration::from_secs_f64(1.0 / RATE));
    }
}

/// Counts the requests of the host that are run by a service of the older version too late.
fn judge(record: &Record, entries: &[Entry]) -> bool {
    let is_own = |e: &&Entry| e.value("id").split('-').nth(1) == Some(&CUT_HOST.to_string());
    let starts = entries.iter().filter(|e| e.what == "configured").map(|e| e.at);
    let ends = entries.iter().filter(|e| e.what == "restored").map(|e| e.at);
    let mut late = Vec::new();
    for (start, end) in starts.zip(ends) {
        let runs = || {
            let runs = entries.iter().filter(|e| e.what == "run").filter(is_own);
            runs.filter(|e| (start..end).contains(&e.at))
        };
        let is_new = |e: &&Entry| {
            e.value("worker").starts_with("fresh-") || e.value("worker").starts_with("annex-")
        };
        let Some(seen) = runs().filter(is_new).map(|e| e.at).next() else {
            continue;
        };
        for run in runs().filter(|e| !is_new(e)) {
            let sent =
                entries.iter().find(|e| e.what == "sent" && e.value("id") == run.value("id"));
            let sent = sent.map_or(0, |e| e.at);
            if sent > seen + ROLLBACK_SLACK_MS {
                late.push(sent - seen);
            }
        }
    }
    let holds = late.is_empty();
    record.line(&format!(
        "result {} by_an_older_version={} latest_ms={}",
        if holds { "held" } else { "BROKEN" },
        late.len(),
        late.iter().max().unwrap_or(&0),
    ));
    holds
}
