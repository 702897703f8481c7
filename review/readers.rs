//! The hosts that read the store for their failure domain are partitioned from it. The others must
//! have a new configuration in force in time all the same.

use std::sync::atomic::AtomicUsize;
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
use crate::server::Server;
use crate::server::HEARTBEAT;
use crate::store::Store;
use crate::Setting;
use crate::Verdict;

const ZONE: &str = "sahab";
const HOSTS: usize = 6;
/// The hosts that are partitioned at most: 0.35 of six.
const MAX_CUT_OFF: usize = 2;
const SERVERS: u8 = 41;
const WORK: Duration = Duration::from_millis(15);
/// `config-deadline-ms` of the settings.
const CONFIG_DEADLINE: Duration = Duration::from_millis(2_000);
/// The time without any disruption before the partition, more than `stable-window-ms`.
const CALM: Duration = Duration::from_secs(8);
const CUT_BEFORE_CHANGE: Duration = Duration::from_millis(50);
const AFTER_CHANGE: Duration = Duration::from_secs(5);
/// A host that watches the store has called it within this time.
const WATCH_SPAN: Duration = Duration::from_secs(2);
const CLIENT_PAUSE: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_secs(1);

/// A request with the key that the new version takes away.
struct Sent {
    id: String,
    after_ack: Duration,
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
    store.put("op/config", &configuration(7, &["key-1", "key-2"]));
    let fleet = Fleet::new(hosts.clone(), record.clone());
    for i in 0..SERVERS {
        let server = Server {
            id: format!("i-{i}"),
            service: "ordering",
            address: hosts::address(1, i + 1, 8_080),
            zone: ZONE,
            slots: 6,
            queue: 0,
            work: WORK,
            running: AtomicUsize::new(0),
            deadly_body: None,
            crashes: AtomicUsize::new(0),
            back_at: Mutex::new(None),
        };
        server.start(&fleet, &store);
        // Workers do not write their entries all at once.
        thread::sleep(HEARTBEAT / u32::from(SERVERS));
    }
    let deployment = Deployment { zones: vec![ZONE; HOSTS], store: store_address, memory_mb: 260 };
    hosts.start_all(&deployment);
    if !hosts.wait_until_ready(Duration::from_secs(10)) {
        record.line("the hosts are not ready");
        return Verdict::NotRun;
    }
    thread::sleep(CALM);
    let watchers = store.watchers(WATCH_SPAN);
    let is_watcher = |host: &usize| hosts.pid(*host).is_some_and(|pid| watchers.contains(&pid));
    let (cut_off, in_touch): (Vec<usize>, Vec<usize>) = (0..HOSTS).partition(is_watcher);
    record.line(&format!("hosts {cut_off:?} watch the store, hosts {in_touch:?} do not"));
    if cut_off.is_empty() || cut_off.len() > MAX_CUT_OFF {
        return Verdict::NotRun;
    }
    if setting.has_trouble {
        store.cut_off(watchers);
        record.line(&format!(
            "hosts {cut_off:?} are partitioned from the store, and from nothing else"
        ));
    }
    thread::sleep(CUT_BEFORE_CHANGE);
    store.put("op/config", &configuration(8, &["key-1"]));
    let acked = Instant::now();
    record.line("version 8, without key-2, is acknowledged");
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients: Vec<JoinHandle<()>> =
        in_touch.iter().map(|host| start_client(*host, acked, &sent, &record)).collect();
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let sent = sent.lock().unwrap();
    judge(&fleet, &sent, &record)
}

/// Starts a client of `host` that sends requests with the key that was taken away.
fn start_client(
    host: usize,
    acked: Instant,
    sent: &Arc<Mutex<Vec<Sent>>>,
    record: &Arc<Record>,
) -> JoinHandle<()> {
    let (sent, record) = (sent.clone(), record.clone());
    thread::spawn(move || {
        let mut client = Client::new(hosts::front(host));
        for number in 0.. {
            let after_ack = acked.elapsed();
            if after_ack > AFTER_CHANGE {
                return;
            }
            let id = format!("host-{host}-{number}");
            let outcome = client.send(&Request {
                method: "GET",
                path: "/look/stock",
                id: &id,
                key: Some("key-2"),
                deadline: DEADLINE,
                body: b"",
                piece: 1,
                pause: Duration::ZERO,
            });
            let ms = after_ack.as_millis();
            record.line(&format!("request {id}, sent {ms} ms after version 8: {outcome}"));
            sent.lock().unwrap().push(Sent { id, after_ack });
            thread::sleep(CLIENT_PAUSE);
        }
    })
}

fn judge(fleet: &Fleet, sent: &[Sent], record: &Record) -> Verdict {
    let runs = fleet.runs.lock().unwrap();
    let has_run = |sent: &&Sent| runs.iter().any(|run| run.request == sent.id);
    let late: Vec<&Sent> =
        sent.iter().filter(|sent| sent.after_ack > CONFIG_DEADLINE).filter(has_run).collect();
    let last = late.iter().map(|sent| sent.after_ack.as_millis()).max().unwrap_or(0);
    let summary = format!(
        "{} requests with a key that was taken away ran though they were sent more than {} ms after the \
         acknowledgement, the last one {last} ms after it, all at hosts that nothing was done to",
        late.len(),
        CONFIG_DEADLINE.as_millis()
    );
    record.summary(&summary);
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

fn configuration(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"version":{version},
"routes":[{{"name":"r-1","host":"app.example","prefix":"/look/","route-type":"safe","timeout-ms":1000,
"target-latency-ms":100,"priority":2,"service":"ordering","max-attempts":2,"public":false}}],
"services":[{{"name":"ordering","health-path":"/healthz","max-conns":96,"protocol":"h1","tls":false}}],
"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},
"tenants":[{{"name":"hule930","api-keys":[{}],"priority":1}}]}}"#,
        keys.join(",")
    )
}
