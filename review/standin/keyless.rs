//! A new version of the configuration contains no tenants, so that requests carry no keys any more.

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
const WORK: Duration = Duration::from_millis(15);
/// The time without any change, more than `stable-window-ms`.
const CALM: Duration = Duration::from_secs(5);
/// The time after which no other version may be in force any more.
const SETTLED: Duration = Duration::from_secs(4);
const JUDGED: Duration = Duration::from_secs(8);
const CLIENT_PAUSE: Duration = Duration::from_millis(100);
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
    let with_tenants =
        ",\n\"tenants\":[{\"name\":\"hule930\",\"api-keys\":[\"key-1\"],\"priority\":1}]";
    store.put("op/config", &configuration(7, with_tenants));
    let fleet = Fleet::new(hosts.clone(), record.clone());
    for (i, zone) in ZONES.into_iter().enumerate() {
        let server = Server {
            id: format!("i-{i}"),
            service: "ordering",
            address: hosts::address(1, i as u8 + 1, 8_080),
            zone,
            slots: 6,
            work: WORK,
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
    // Without the change, version 8 is the same but for its number.
    let tenants = if setting.has_trouble { "" } else { with_tenants };
    store.put("op/config", &configuration(8, tenants));
    record.line("version 8 is acknowledged");
    thread::sleep(SETTLED);
    let key = if setting.has_trouble { None } else { Some("key-1") };
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let clients: Vec<JoinHandle<()>> =
        (0..ZONES.len()).map(|host| start_client(host, key, &outcomes, &record)).collect();
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let outcomes = outcomes.lock().unwrap();
    judge(&outcomes, &record)
}

fn start_client(
    host: usize,
    key: Option<&'static str>,
    outcomes: &Arc<Mutex<Vec<Outcome>>>,
    record: &Arc<Record>,
) -> JoinHandle<()> {
    let (outcomes, record) = (outcomes.clone(), record.clone());
    thread::spawn(move || {
        let mut client = Client::new(hosts::front(host));
        let end = Instant::now() + JUDGED;
        for number in 0.. {
            if Instant::now() > end {
                return;
            }
            let id = format!("host-{host}-{number}");
            let outcome = client.send(&Request {
                method: "POST",
                path: "/confirm/order",
                id: &id,
                key,
                deadline: DEADLINE,
                body: b"5000 kraft bags",
                piece: usize::MAX,
                pause: Duration::ZERO,
            });
            record.line(&format!("request {id}: {outcome}"));
            outcomes.lock().unwrap().push(outcome);
            thread::sleep(CLIENT_PAUSE);
        }
    })
}

fn judge(outcomes: &[Outcome], record: &Record) -> Verdict {
    let is_denied = |outcome: &&Outcome| {
        matches!(outcome, Outcome::Answered(status)
            if (300..500).contains(status) && ![408, 421, 429].contains(status))
    };
    let denied = outcomes.iter().filter(is_denied).count();
    let allowed = 5 + outcomes.len() / 500;
    let summary = format!(
        "{denied} of {} requests that the configuration allows were ended with a 4xx; allowed are {allowed}",
        outcomes.len()
    );
    record.line(&summary);
    println!("{summary}");
    if denied > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn configuration(version: u64, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},
"routes":[{{"name":"r-1","host":"app.example","prefix":"/confirm/","route-type":"non_idempotent","timeout-ms":1000,
"target-latency-ms":100,"priority":2,"service":"ordering","max-attempts":1,"public":false}}],
"services":[{{"name":"ordering","health-path":"/healthz","max-conns":96,"protocol":"h1","tls":false}}],
"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}{tenants}}}"#
    )
}
