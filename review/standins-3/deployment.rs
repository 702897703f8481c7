//! A small deployment: the store, hosts as processes of the deploy file's command, and workers.

use std::env;
use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::callers;
use crate::callers::Request;
use crate::callers::STREAM_TOKENS;
use crate::control;
use crate::record;
use crate::record::Entry;
use crate::record::Record;
use crate::store::Store;
use crate::worker;
use crate::worker::Options;

/// The command of the deploy file.
const HOST_PROGRAM: &str = "target/release/yuccanotch-platform";
/// The failure domains.
pub const ZONES: [&str; 3] = ["north", "middle", "south"];
/// The port at which hosts take callers, and workers take requests.
pub const MAIN_PORT: u16 = 4_000;
/// How long the deployment has until all hosts serve.
const START_TIME: Duration = Duration::from_secs(25);
/// The time between looks at what is waited for.
const POLL: Duration = Duration::from_millis(50);

/// How many processes a deployment has.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// The hosts.
    pub hosts: usize,
    /// The model workers.
    pub models: usize,
    /// The plain workers.
    pub plain: usize,
    /// The time that a plain request takes.
    pub plain_work: Duration,
    /// Further services of plain workers, with their numbers of workers and the time of a request in ms.
    pub more: &'static [(&'static str, usize, u64)],
    /// The hosts whose path to the plain workers can be cut.
    pub on_detour: &'static [usize],
}

/// A worker and the process that it runs in.
struct WorkerProcess {
    options: Options,
    child: Child,
    /// When it is begun anew.
    returns_at: Option<Instant>,
    starts: u32,
}

/// A running deployment; its processes end with it.
pub struct Deployment {
    /// The folder of the case.
    pub folder: PathBuf,
    /// The record of the case.
    pub record: Arc<Record>,
    /// The store.
    pub store: Arc<Store>,
    subnet: [u8; 2],
    scratch: PathBuf,
    hosts: Vec<Child>,
    workers: Vec<WorkerProcess>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let workers = self.workers.iter_mut().map(|worker| &mut worker.child);
        for child in self.hosts.iter_mut().chain(workers) {
            // It may have ended before.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.scratch);
    }
}

/// Returns two bytes of loopback addresses that no other deployment uses.
fn free_subnet() -> io::Result<[u8; 2]> {
    let start = process::id();
    for i in 0..1_000 {
        let number = start.wrapping_add(i * 37) % 50_000;
        let subnet = [20 + (number / 250) as u8, 1 + (number % 250) as u8];
        if TcpListener::bind(address_in(subnet, 1, MAIN_PORT)).is_ok() {
            return Ok(subnet);
        }
    }
    Err(io::Error::other("no free addresses"))
}

fn address_in(subnet: [u8; 2], number: usize, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, subnet[0], subnet[1], number as u8), port)
}

impl Deployment {
    /// Starts a deployment of `size` with the `configuration` in its store, and waits until all hosts
    /// serve requests of all kinds.
    pub fn start(folder: &Path, size: Size, configuration: &str) -> io::Result<Self> {
        let path = folder.join("record.txt");
        fs::write(&path, "")?;
        let subnet = free_subnet()?;
        let store = Store::start(address_in(subnet, 1, MAIN_PORT))?;
        store.put("op/config", configuration);
        let scratch = env::temp_dir().join(format!("yuccanotch-review-3-{}", process::id()));
        fs::create_dir_all(&scratch)?;
        let mut deployment = Self {
            folder: folder.to_owned(),
            store,
            record: Arc::new(Record::open(&path)?),
            subnet,
            scratch,
            hosts: Vec::new(),
            workers: Vec::new(),
        };
        for number in 0..size.models + size.plain {
            let work = (number >= size.models).then_some(size.plain_work);
            let service = if work.is_some() { "plain" } else { "model" };
            deployment.start_worker(number, service, work)?;
        }
        let more = size.more.iter().flat_map(|(service, count, work)| {
            std::iter::repeat_n((*service, Duration::from_millis(*work)), *count)
        });
        for (number, (service, work)) in (size.models + size.plain..).zip(more) {
            deployment.start_worker(number, service, Some(work))?;
        }
        for number in 0..size.hosts {
            deployment.start_host(number, size.on_detour.contains(&number))?;
        }
        deployment.wait_until_serving(size)?;
        Ok(deployment)
    }

    /// Returns the address at which the host `number` takes callers.
    pub fn front(&self, number: usize) -> SocketAddrV4 {
        address_in(self.subnet, 10 + number, MAIN_PORT)
    }

    /// Cuts the path from the hosts on the detour to all plain workers, or heals it.
    pub fn set_detour_cut(&self, is_cut: bool) -> io::Result<()> {
        for worker in self.workers.iter().filter(|worker| worker.options.work.is_some()) {
            control::announce(worker.options.address, is_cut)?;
        }
        Ok(())
    }

    /// Lets the worker `number` leave without a word: its entry goes, and it serves on.
    pub fn leave_silently(&self, number: usize) -> io::Result<()> {
        let Options { id, address, .. } = &self.workers[number].options;
        control::tell(*address, control::LEAVE_PATH)?;
        thread::sleep(Duration::from_millis(50));
        self.store.remove(&format!("servers/{id}"));
        self.record.line(&format!("entry-removed worker={id}"));
        Ok(())
    }

    /// Returns the lines of the record so far.
    pub fn entries(&self) -> io::Result<Vec<Entry>> {
        record::read(&self.folder.join("record.txt"))
    }

    fn start_worker(
        &mut self,
        number: usize,
        service: &str,
        work: Option<Duration>,
    ) -> io::Result<()> {
        let options = Options {
            id: format!("{service}-{number}-1"),
            address: address_in(self.subnet, 50 + number, MAIN_PORT),
            zone: ZONES[number % ZONES.len()].to_owned(),
            service: service.to_owned(),
            store: address_in(self.subnet, 1, MAIN_PORT),
            work,
            record: self.folder.join("record.txt"),
        };
        let child = spawn_worker(&options)?;
        self.workers.push(WorkerProcess { options, child, returns_at: None, starts: 1 });
        Ok(())
    }

    /// Starts the host `number` with settings as the platform writes them.
    fn start_host(&mut self, number: usize, is_on_detour: bool) -> io::Result<()> {
        let store_port = if is_on_detour { control::DETOUR_PORT } else { MAIN_PORT };
        let address = |port| address_in(self.subnet, 10 + number, port);
        let seeds = (0..3).map(|seed| format!("\"{}\"", address_in(self.subnet, 10 + seed, 4_002)));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let zone = ZONES[number % ZONES.len()];
        let settings = format!(
            "node = \"edge-{zone}-{number}\"\nrole = \"gateway\"\nip = \"{}\"\nzone = \"{zone}\"\n\
             region = \"r\"\ninternal-ports = [4003,4010]\nseeds = [{seeds}]\nbootstrap = true\n\
             [listen]\nfront = \"{}\"\nready = \"{}\"\ncontrol = \"{}\"\n\
             [limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = 260\nmax-fds = 4200\n\
             link-mbps = 1000.0\n\
             [bounds]\nstable-window-ms = 3000\nack-ms = 4000\ndrain-ms = 2000\ngrace-s = 8\n\
             config-deadline-ms = 2000\nrollback-slack-ms = 250\nretry-budget-ratio = 0.2\n\
             budget-window-s = 10\nbudget-slack = 196\nrecovery-s = 12\nstall_ms = 2500\n\
             require-fencing = true\n\
             [platform]\naddress = \"{}\"\nform = \"kv\"\nwrites-per-s = 400\nreads-per-s = 2000\n\
             history-s = 20\nvalue-bytes = 1048576\nttl-min-ms = 1000\n",
            address(0).ip(),
            address(MAIN_PORT),
            address(4_001),
            address(4_002),
            address_in(self.subnet, 1, store_port),
        );
        let path = self.scratch.join(format!("host-{number}.toml"));
        fs::write(&path, settings)?;
        let log = fs::File::create(self.scratch.join(format!("host-{number}.log")))?;
        let child = Command::new(HOST_PROGRAM)
            .env_clear()
            .env("YUCCANOTCH_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.hosts.push(child);
        Ok(())
    }

    /// Waits until the model workers hold all layers and each host has answered a request of each kind.
    fn wait_until_serving(&mut self, size: Size) -> io::Result<()> {
        let end = Instant::now() + START_TIME;
        let paths: &[&str] = if size.models == 0 { &["look"] } else { &["look", "draft"] };
        for host in 0..size.hosts {
            for path in paths {
                let mut turn = 0;
                loop {
                    let id = format!("start-{host}-{path}-{turn}");
                    let request = Request {
                        route: path,
                        id: &id,
                        body: "warm-up",
                        tokens: STREAM_TOKENS,
                        deadline_ms: 4_000,
                    };
                    let answer = callers::send(self.front(host), request);
                    if answer.is_ok_and(|answer| answer.is_success()) {
                        break;
                    }
                    if Instant::now() >= end {
                        return Err(io::Error::other(format!("host {host} does not serve {path}")));
                    }
                    turn += 1;
                    thread::sleep(POLL);
                }
            }
        }
        Ok(())
    }

    /// Begins workers anew that a request has crashed, `after` that, each as a new incarnation.
    pub fn revive_workers(&mut self, after: Duration) -> io::Result<()> {
        let stopped = self.stopped_workers()?;
        for worker in &mut self.workers {
            let has_ended = worker.child.try_wait()?.is_some();
            if (has_ended || stopped.contains(&worker.options.id)) && worker.returns_at.is_none() {
                worker.returns_at = Some(Instant::now() + after);
            }
            if worker.returns_at.is_some_and(|at| Instant::now() >= at) {
                // A worker that has gone dark ends here.
                let _ = worker.child.kill();
                worker.child.wait()?;
                worker.returns_at = None;
                worker.starts += 1;
                let (kind, _) = worker.options.id.rsplit_once('-').unwrap_or(("worker", ""));
                worker.options.id = format!("{kind}-{}", worker.starts);
                worker.child = spawn_worker(&worker.options)?;
            }
        }
        Ok(())
    }

    /// Returns the ids of the workers that the record says have crashed.
    fn stopped_workers(&self) -> io::Result<Vec<String>> {
        let entries = self.entries()?;
        let crashes = entries.iter().filter(|entry| entry.what == "crash");
        Ok(crashes.map(|entry| entry.value("worker").to_owned()).collect())
    }
}

fn spawn_worker(options: &Options) -> io::Result<Child> {
    Command::new(env::current_exe()?)
        .args(options.to_args())
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .spawn()
}

/// Returns the operator's configuration as `version`: the routes `/draft/` and `/note/` to the model
/// workers, of which only the first may be resumed, `/look/` for safe requests and `/confirm/` for those
/// that may run once, both to the plain workers.
pub fn configuration(version: u64, target_latency_ms: u64, timeout_ms: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"app.example\",\"prefix\":\"/{name}/\",\
             \"route-type\":\"{kind}\",\"priority\":1,\"service\":\"{service}\",\
             \"public\":false{more}}}"
        )
    };
    let plain = format!(",\"target-latency-ms\":{target_latency_ms},\"timeout-ms\":{timeout_ms}");
    let stream = ",\"target-latency-ms\":500,\"timeout-ms\":20000,\"max-attempts\":2,\
                  \"sticky\":true,\"gap-target-ms\":250,\"resumable\"";
    let routes = [
        route("draft", "streaming", "model", &format!("{stream}:true")),
        route("note", "streaming", "model", &format!("{stream}:false")),
        route("look", "safe", "plain", &format!("{plain},\"max-attempts\":2")),
        route("confirm", "non_idempotent", "plain", &format!("{plain},\"max-attempts\":1")),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"model\",\
         \"health-path\":\"/healthz\",\"max-conns\":1058,\"engine\":{{\"slots\":100,\
         \"kv-capacity\":100000,\"kv-token-bytes\":590000,\"link-mbps\":400000.0,\"stride\":4,\
         \"models\":[{{\"name\":\"m0\",\"load-s\":0.3}}],\"step_ms\":1.02,\"per_seq_ms\":0.00459,\
         \"context_per_k\":0.00615,\"read_per_s\":164000.0,\"chunk\":512,\"report_lag_ms\":200.0,\
         \"loads_at_once\":6,\"usual\":{{\"prompt\":100,\"answer\":160}},\"layers\":{},\
         \"layer-mb\":1750.0,\"activation-bytes\":29500,\"pipe-mbps\":16000.0,\
         \"kinds\":[{{\"name\":\"card\",\"size-mb\":288000.0,\"pace\":1.0,\"read-factor\":1.0}}]}}}},\
         {{\"name\":\"plain\",\"health-path\":\"/healthz\",\"max-conns\":96}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"bakers\",\"api-keys\":[\"{}\"],\"priority\":1}}]}}",
        routes.join(","),
        worker::LAYERS,
        callers::KEY,
    )
}
