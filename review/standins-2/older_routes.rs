//! A host that has lost its path to a worker and to the store: requests that another host takes from it
//! are handled by a newer configuration than those that it handles itself.

use std::collections::HashSet;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Call;
use crate::deployment::Route;
use crate::deployment::Site;
use crate::deployment::KEY;
use crate::fleet::Kind;
use crate::fleet::Run;
use crate::hosts::Host;
use crate::record::Record;
use crate::Verdict;

/// The hosts, one of which loses its paths: at most 3 in 10 of those that send to a worker, and 35 in 100
/// of those that the store serves.
const HOSTS: u8 = 4;
/// The services and their workers. The worker of the first one loses the path: 1 of 10.
const SERVICES: [(&str, u8); 5] =
    [("plain-a", 1), ("plain-b", 2), ("plain-c", 3), ("plain-d", 2), ("plain-e", 2)];
/// The cuts. Within each, a configuration moves two routes; after each, another one moves them back.
const CUTS: usize = 6;
/// The time from the loss of the path to the worker until the store is silent too.
const WORKER_CUT_FIRST: Duration = Duration::from_millis(2_000);
/// The time that the store is silent before the change is made.
const STORE_CUT_BEFORE: Duration = Duration::from_millis(100);
/// The time that both cuts last after the change. The whole cut is shorter than 5 s.
const CUT_AFTER: Duration = Duration::from_millis(2_000);
/// The time until the next cut, with the change back in the middle.
const CALM: Duration = Duration::from_millis(4_500);
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
const CLIENT_PAUSE: Duration = Duration::from_millis(8);
/// The clients of the host that loses its paths; each of the other hosts has one.
const CLIENTS: usize = 6;

/// One request, when it was sent, and its target.
struct Sent {
    id: String,
    at: Instant,
}

fn routes(turn: usize) -> [Route; 2] {
    let (one, two) = if turn % 2 == 0 { (0, 2) } else { (1, 3) };
    [("/one/", one), ("/two/", two)].map(|(prefix, service)| Route {
        prefix,
        kind: "safe",
        service: SERVICES[service].0,
        timeout_ms: 4_000,
    })
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let mut site = Site::new(record.clone());
    let services = SERVICES.map(|(name, _)| (name, Kind::Plain));
    site.configure(7, &routes(0), &services, &[KEY]);
    let mut workers = Vec::new();
    for (name, count) in SERVICES {
        let first_ip = 40 + workers.len() as u8;
        workers.extend(site.start_workers(Kind::Plain, name, count, first_ip));
    }
    let proxies = site.start_store_proxies(HOSTS);
    let addresses: Vec<_> = proxies.iter().map(|(_, address)| *address).collect();
    if !site.start_hosts_at(&addresses) {
        site.end();
        return Verdict::CouldNotRun;
    }
    // The host that loses its paths is one of those that follow the store.
    let follows = |h: &Host| {
        let log = h.log_text();
        log.rfind("store followed") > log.rfind("store no longer followed")
    };
    let Some(chosen) = site.hosts.iter().position(follows) else {
        site.end();
        return Verdict::CouldNotRun;
    };
    let proxy = &proxies[chosen].0;
    thread::sleep(Duration::from_secs(3));
    let turn_time = WORKER_CUT_FIRST + STORE_CUT_BEFORE + CUT_AFTER + CALM;
    let end = Instant::now() + turn_time * CUTS as u32;
    let mut addresses: Vec<_> = site.hosts.iter().map(|h| h.callers()).collect();
    addresses.swap(0, chosen);
    let clients: Vec<_> = (0..CLIENTS + usize::from(HOSTS) - 1)
        .map(|client| {
            let record = record.clone();
            let host = addresses[(client + 1).saturating_sub(CLIENTS)];
            // The others only let their hosts hear the workers that the chosen host does not reach.
            let uses_first_route = client >= CLIENTS || client % 2 == 0;
            thread::spawn(move || {
                let mut sent = Vec::new();
                while Instant::now() < end {
                    let path = if uses_first_route { "/one/x" } else { "/two/x" };
                    let id = format!("c{client}-{}", sent.len());
                    sent.push(Sent { id: id.clone(), at: Instant::now() });
                    let call = Call {
                        method: "GET",
                        target: path,
                        id: &id,
                        deadline_ms: 4_000,
                        ..Call::default()
                    };
                    let outcome = call.send(host);
                    record.line(&format!("answer to {path} {id}: {}", outcome.text()));
                    thread::sleep(CLIENT_PAUSE);
                }
                sent
            })
        })
        .collect();
    let mut changes = Vec::new();
    for turn in 1..=CUTS {
        if has_trouble {
            record.line(&format!("plain-a loses the path to {}", site.hosts[chosen].name));
            workers[0].cut_from(site.hosts[chosen].pid());
        }
        thread::sleep(WORKER_CUT_FIRST);
        if has_trouble {
            record.line(&format!("the store is silent for {}", site.hosts[chosen].name));
            proxy.set_silent(true);
        }
        thread::sleep(STORE_CUT_BEFORE);
        let at = Instant::now();
        site.configure(6 + 2 * turn as u64, &routes(1), &services, &[KEY]);
        changes.push(at);
        thread::sleep(CUT_AFTER);
        proxy.set_silent(false);
        workers[0].cut_from(0);
        record.line("all paths are there");
        thread::sleep(CALM / 2);
        changes.push(Instant::now());
        site.configure(7 + 2 * turn as u64, &routes(0), &services, &[KEY]);
        thread::sleep(CALM / 2);
    }
    let sent: Vec<Sent> =
        clients.into_iter().take(CLIENTS).flat_map(|c| c.join().unwrap()).collect();
    thread::sleep(Duration::from_millis(500));
    let runs = site.fleet.runs.lock().unwrap().clone();
    // Requests of the other hosts' clients say nothing about the first host.
    let ids: HashSet<&str> = sent.iter().map(|s| s.id.as_str()).collect();
    let runs: Vec<Run> = runs.into_iter().filter(|r| ids.contains(r.id.as_str())).collect();
    site.end();
    let broken = regressions(record, &changes, &sent, &runs);
    record.line(&format!(
        "{} requests sent, {} run, {broken} handled by an older version",
        sent.len(),
        runs.len()
    ));
    match (runs.is_empty(), broken) {
        (true, _) => Verdict::CouldNotRun,
        (false, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Returns how many requests were handled as only an older version allows, after a worker had seen the
/// effect of a newer one.
fn regressions(record: &Record, changes: &[Instant], sent: &[Sent], runs: &[Run]) -> usize {
    let service_of = |run: &Run| SERVICES.iter().position(|(s, _)| run.worker.contains(s));
    let mut broken = 0;
    for (i, change) in changes.iter().enumerate() {
        let next = changes.get(i + 1);
        let turn = i + 1;
        let is_new = |run: &Run| service_of(run).is_some_and(|s| s % 2 == turn % 2);
        let within = |at: Instant| at >= *change && next.is_none_or(|n| at < *n);
        let Some(seen) = runs.iter().filter(|r| within(r.at) && is_new(r)).map(|r| r.at).min()
        else {
            continue;
        };
        record
            .line(&format!("change {turn}: a worker saw its effect {:?} after it", seen - *change));
        for run in runs.iter().filter(|r| within(r.at) && !is_new(r)) {
            let Some(request) = sent.iter().find(|s| s.id == run.id) else {
                continue;
            };
            if request.at > seen + ROLLBACK_SLACK {
                broken += 1;
                let late = request.at - seen;
                record
                    .line(&format!("{} sent {late:?} after that is run by {}", run.id, run.worker));
            }
        }
    }
    broken
}
