//! A small deployment: the store, workers and hosts, on loopback addresses of its own.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::Kind;
use crate::fleet::Worker;
use crate::hosts::Deployment;
use crate::hosts::Host;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;

pub const ROUTE_HOST: &str = "app.example";
pub const KEY: &str = "key-1";
/// The layers of the model.
pub const LAYERS: u16 = 12;
const WORKER_PORT: u16 = 8_080;
const STORE_PORT: u16 = 8_223;
const PLACE_TIMEOUT: Duration = Duration::from_secs(15);
/// The time after the start of the hosts until they know each other and all is settled.
const SETTLE_TIME: Duration = Duration::from_millis(4_000);

/// A running deployment.
pub struct Site {
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    pub hosts: Vec<Host>,
    pub record: Arc<Record>,
    pub folder: PathBuf,
    net: (u8, u8),
}

/// A route of the configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
}

impl Site {
    /// Starts a store and no workers; the addresses differ between processes.
    pub fn new(record: Arc<Record>) -> Self {
        let pid = process::id();
        let net = (100 + (pid % 100) as u8, (pid / 100 % 250) as u8);
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        fs::create_dir_all(&folder).expect("a folder");
        let store =
            Store::start(SocketAddrV4::new(Ipv4Addr::new(127, net.0, net.1, 1), STORE_PORT));
        let fleet = Fleet::new(store.clone(), record.clone());
        Self { store, fleet, hosts: Vec::new(), record, folder, net }
    }

    fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, last)
    }

    pub fn store_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(1), STORE_PORT)
    }

    /// Starts workers of `service` in turn in the zones `za` and `zb`.
    pub fn start_workers(
        &self,
        kind: Kind,
        service: &str,
        count: u8,
        first_ip: u8,
    ) -> Vec<Arc<Worker>> {
        let start = |i: u8| {
            let zone = if i % 2 == 0 { "za" } else { "zb" };
            let address = SocketAddrV4::new(self.ip(first_ip + i), WORKER_PORT);
            self.fleet.start(&format!("i-{service}-{i}"), kind, service, zone, address)
        };
        (0..count).map(start).collect()
    }

    /// Writes a configuration as the operator does.
    pub fn configure(
        &self,
        version: u64,
        routes: &[Route],
        services: &[(&str, Kind)],
        keys: &[&str],
    ) {
        let routes: Vec<String> = routes.iter().map(route_json).collect();
        let services: Vec<String> = services.iter().map(|(n, k)| service_json(n, *k)).collect();
        let keys: Vec<String> = keys.iter().map(|k| format!("\"{k}\"")).collect();
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
             \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
             \"idle-timeout-ms\":15000}},\
             \"tenants\":[{{\"name\":\"tenant-1\",\"api-keys\":[{}],\"priority\":1}}]}}",
            routes.join(","),
            services.join(","),
            keys.join(",")
        );
        self.store.put("op/config", &text);
        self.record.line(&format!("configuration {version} is acknowledged"));
    }

    /// Starts `count` hosts in zone `za` and waits until they are ready.
    pub fn start_hosts(&mut self, count: u8) -> bool {
        let store = self.store_address();
        self.start_hosts_at(&vec![store; usize::from(count)])
    }

    /// Starts proxies in front of the store, one for each of `count` hosts.
    pub fn start_store_proxies(&self, count: u8) -> Vec<(Proxy, SocketAddrV4)> {
        let start = |i: u8| {
            let address = SocketAddrV4::new(self.ip(2 + i), STORE_PORT);
            (Proxy::start(address, self.store_address()), address)
        };
        (0..count).map(start).collect()
    }

    /// Starts hosts in zone `za`, each with the address at which it finds the store, and waits until they
    /// are ready.
    pub fn start_hosts_at(&mut self, stores: &[SocketAddrV4]) -> bool {
        let seeds: Vec<Ipv4Addr> =
            (0..stores.len().min(3)).map(|i| self.ip(200 + i as u8)).collect();
        for (i, store) in stores.iter().enumerate() {
            let i = i as u8;
            let deployment =
                Deployment { store: *store, folder: self.folder.clone(), seeds: seeds.clone() };
            let host = Host::start(&deployment, &format!("edge-za-{i}"), self.ip(200 + i), "za");
            self.hosts.push(host);
        }
        let are_ready = self.hosts.iter().all(Host::wait_until_ready);
        thread::sleep(SETTLE_TIME);
        are_ready
    }

    /// Waits until model workers hold each layer; returns whether they do in time.
    pub fn wait_until_placed(&self) -> bool {
        let end = Instant::now() + PLACE_TIMEOUT;
        while Instant::now() < end {
            let workers = self.fleet.workers.lock().unwrap().clone();
            let held: Vec<(u16, u16)> = workers.iter().map(|w| w.layers()).collect();
            let is_held = |l: u16| held.iter().any(|(from, to)| *from <= l && l < *to);
            if (0..LAYERS).all(is_held) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Ends all hosts and removes the folder.
    pub fn end(&mut self) {
        self.hosts.iter_mut().for_each(Host::kill);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn route_json(route: &Route) -> String {
    let is_stream = route.kind == "streaming";
    let target_ms = if is_stream { 500 } else { 100 };
    let attempts = if route.kind == "non_idempotent" { 1 } else { 2 };
    let name = route.prefix.trim_matches('/');
    let more = if is_stream { ",\"gap-target-ms\":250" } else { "" };
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{ROUTE_HOST}\",\"prefix\":\"{}\",\"route-type\":\"{}\",\
         \"timeout-ms\":{},\"target-latency-ms\":{target_ms},\"priority\":1,\"service\":\"{}\",\
         \"max-attempts\":{attempts},\"public\":false,\"sticky\":{is_stream},\"resumable\":{is_stream}{more}}}",
        route.prefix, route.kind, route.timeout_ms, route.service
    )
}

fn service_json(name: &str, kind: Kind) -> String {
    let engine = match kind {
        Kind::Plain => String::new(),
        Kind::Model => format!(
            ",\"engine\":{{\"slots\":192,\"kv-capacity\":10000,\"kv-token-bytes\":80000,\"stride\":4,\
             \"models\":[{{\"name\":\"m\",\"pace\":1.0,\"load-s\":0.6}}],\"step_ms\":1.02,\"per_seq_ms\":0.00459,\
             \"context_per_k\":0.00615,\"read_per_s\":164000.0,\"pairs_per_m\":0.199,\"chunk\":512,\
             \"report_lag_ms\":0.0,\"loads_at_once\":6,\"usual\":{{\"prompt\":100,\"answer\":40}},\
             \"layers\":{LAYERS},\"layer-mb\":1750.0,\"activation-bytes\":29500,\"pipe-mbps\":16000.0,\
             \"kinds\":[{{\"name\":\"card\",\"size-mb\":8000.0,\"pace\":1.0,\"read-factor\":1.0}}]}}"
        ),
    };
    format!("{{\"name\":\"{name}\",\"health-path\":\"/healthz\",\"max-conns\":1058{engine}}}")
}
