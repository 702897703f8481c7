//! Hosts of the system: processes that are started with the command of the deploy file.

use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Connection;

const DEPLOY_FILE: &str = "deploy/system.toml";
const CALLER_PORT: u16 = 8_227;
const READY_PORT: u16 = 8_220;
const CONTROL_PORT: u16 = 8_229;
const START_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One host.
pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// What the hosts of a deployment have in common.
pub struct Deployment {
    pub store: SocketAddrV4,
    pub folder: PathBuf,
    pub seeds: Vec<Ipv4Addr>,
}

/// Returns the words of the command with which the deploy file runs a host.
fn host_command() -> Vec<String> {
    let text = fs::read_to_string(DEPLOY_FILE).expect("the deploy file");
    let line = text.lines().find_map(|l| l.trim().strip_prefix("run = ")).expect("a run line");
    line.trim().trim_matches('"').split(' ').map(str::to_owned).collect()
}

impl Host {
    /// Writes the settings of a host and starts it.
    pub fn start(deployment: &Deployment, name: &str, ip: Ipv4Addr, zone: &str) -> Self {
        let settings = deployment.folder.join(format!("{name}.toml"));
        fs::write(&settings, settings_text(deployment, name, ip, zone)).expect("a settings file");
        let log = deployment.folder.join(format!("{name}.log"));
        let mut host = Self { name: name.to_owned(), ip, settings, log, child: None };
        host.spawn();
        host
    }

    fn spawn(&mut self) {
        let words = host_command();
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new(&words[0])
            .args(&words[1..])
            .env_clear()
            .env("YUCCANOTCH_BOOT", &self.settings)
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("a host process");
        self.child = Some(child);
    }

    pub fn callers(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, CALLER_PORT)
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddrV4::new(self.ip, READY_PORT);
        let Ok(mut conn) = Connection::open(address) else {
            return false;
        };
        let _ = conn.stream.set_read_timeout(Some(Duration::from_millis(500)));
        let req = http::request("GET", "/readyz", &[("Host", "h"), ("Connection", "close")], b"");
        let sent = conn.write(&req);
        sent.is_ok() && conn.read_head().is_ok_and(|h| h.is_some_and(|h| h.status() == 200))
    }

    /// Waits until the host says that it is ready; returns whether it does in time.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(POLL_INTERVAL);
        }
        false
    }

    /// Returns what the host has logged.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

fn settings_text(deployment: &Deployment, name: &str, ip: Ipv4Addr, zone: &str) -> String {
    let seeds = deployment.seeds.iter().map(|ip| format!("\"{ip}:{CONTROL_PORT}\""));
    let seeds = seeds.collect::<Vec<_>>().join(",");
    let store = deployment.store;
    format!(
        "node = \"{name}\"
role = \"gateway\"
machine-class = \"edge\"
serves = [\"edge\",\"control_plane\"]
ip = \"{ip}\"
zone = \"{zone}\"
region = \"r\"
internal-ports = [7340,7355]
seeds = [{seeds}]
bootstrap = true
counts-as-loss = false
discovery = \"platform\"
entry = \"vip\"
heartbeat-ms = 1200
[zones]
za = \"r\"
zb = \"r\"
[listen]
front = \"{ip}:{CALLER_PORT}\"
ready = \"{ip}:{READY_PORT}\"
control = \"{ip}:{CONTROL_PORT}\"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
max-fds = 4200
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
stable-window-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-deadline-ms = 2000
rollback-slack-ms = 250
skew-max-ms = 5000
strict-revoke = false
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 196
recovery-s = 12
pass-ms = 120
retry-after-s = 0
stall_ms = 2500
require-fencing = true
[platform]
address = \"{store}\"
form = \"kv\"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"
    )
}
