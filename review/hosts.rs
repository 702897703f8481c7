//! The hosts, each a process that is started with the command of the deploy file.

use std::fs;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http::Connection;

const SIGTERM: i32 = 15;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The words of `run` in the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/yuccanotch-platform";
const FRONT_PORT: u16 = 8_227;
const READY_PORT: u16 = 8_220;
const CONTROL_PORT: u16 = 8_229;

/// Returns a loopback address of this run: `group` and `number` tell its parts apart.
pub fn address(group: u8, number: u8, port: u16) -> SocketAddrV4 {
    let run = 20 + (std::process::id() % 200) as u8;
    SocketAddrV4::new(Ipv4Addr::new(127, run, group, number), port)
}

/// What the settings of all hosts have in common.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The zone of each host.
    pub zones: Vec<&'static str>,
    /// The address of the store.
    pub store: SocketAddrV4,
    /// The memory of a host, in MB.
    pub memory_mb: u64,
}

struct Host {
    settings: PathBuf,
    process: Option<Child>,
}

/// The hosts of a run.
pub struct HostSet {
    hosts: Mutex<Vec<Host>>,
    folder: PathBuf,
}

impl HostSet {
    /// Creates a set without hosts, whose settings files lie in `folder`.
    pub fn new(folder: PathBuf) -> Self {
        Self { hosts: Mutex::default(), folder }
    }

    /// Writes the settings files of a deployment and starts its hosts.
    pub fn start_all(&self, deployment: &Deployment) {
        for (index, zone) in deployment.zones.iter().enumerate() {
            let settings = self.folder.join(format!("host-{index}.toml"));
            fs::write(&settings, settings_text(deployment, index, zone)).expect("a settings file");
            self.hosts.lock().unwrap().push(Host { settings, process: None });
            self.start(index);
        }
    }

    /// Starts the process of a host.
    pub fn start(&self, index: usize) {
        let mut hosts = self.hosts.lock().unwrap();
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("host-{index}.log")))
            .expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("YUCCANOTCH_BOOT", &hosts[index].settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the host's program");
        self.remember(child.id());
        hosts[index].process = Some(child);
    }

    /// Notes a process, so that the script can end it if this program is killed.
    fn remember(&self, pid: u32) {
        let file = fs::File::options().create(true).append(true).open(self.folder.join("pids"));
        let mut file = file.expect("a file of process ids");
        writeln!(file, "{pid}").expect("a file of process ids");
    }

    /// Tells the process of a host to stop, as the platform does before planned work.
    pub fn terminate(&self, index: usize) {
        if let Some(pid) = self.pid(index) {
            // SAFETY: the call takes two numbers, and the process is this program's child.
            unsafe { kill(pid as i32, SIGTERM) };
        }
    }

    /// Kills the process of a host and waits for its end.
    pub fn kill(&self, index: usize) {
        if let Some(mut child) = self.hosts.lock().unwrap()[index].process.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills all hosts.
    pub fn kill_all(&self) {
        let count = self.hosts.lock().unwrap().len();
        (0..count).for_each(|index| self.kill(index));
    }

    /// Returns the process id of a host.
    pub fn pid(&self, index: usize) -> Option<u32> {
        self.hosts.lock().unwrap()[index].process.as_ref().map(Child::id)
    }

    /// Returns the memory that a host's process has resident, in bytes; 0 if it does not run.
    pub fn resident_bytes(&self, index: usize) -> u64 {
        let Some(pid) = self.pid(index) else {
            return 0;
        };
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kb.unwrap_or(0) << 10
    }

    /// Returns the process that holds the other end of a connection, if it is a host's.
    pub fn owner_of(&self, stream: &TcpStream) -> Option<u32> {
        let port = stream.peer_addr().ok()?.port();
        let own_port = stream.local_addr().ok()?.port();
        let table = fs::read_to_string("/proc/net/tcp").ok()?;
        let inode = table.lines().find_map(|line| socket_inode(line, port, own_port))?;
        let link = format!("socket:[{inode}]");
        let hosts = self.hosts.lock().unwrap();
        let mut pids = hosts.iter().filter_map(|host| host.process.as_ref()).map(Child::id);
        pids.find(|pid| holds(*pid, &link))
    }

    /// Waits until all hosts answer that they are ready; returns whether they do in time.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let count = self.hosts.lock().unwrap().len();
        let steps = limit.as_millis() / 50;
        (0..steps).any(|_| {
            thread::sleep(Duration::from_millis(50));
            (0..count).all(is_ready)
        })
    }
}

/// Returns the address at which clients reach a host.
pub fn front(index: usize) -> SocketAddrV4 {
    address(2, index as u8 + 1, FRONT_PORT)
}

/// Returns whether a host answers the platform's question with 200.
pub fn is_ready(index: usize) -> bool {
    let ready = address(2, index as u8 + 1, READY_PORT);
    let ask = || {
        let mut connection = Connection::open(ready).ok()?;
        connection.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n").ok()?;
        Some(connection.read_head().ok()?.status())
    };
    ask() == Some(200)
}

/// Returns the inode of the socket in a line of the kernel's table, if its ports are these.
fn socket_inode(line: &str, port: u16, remote_port: u16) -> Option<&str> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let port_of = |text: &str| u16::from_str_radix(text.rsplit(':').next()?, 16).ok();
    let is_wanted =
        port_of(fields.get(1)?) == Some(port) && port_of(fields.get(2)?) == Some(remote_port);
    is_wanted.then(|| fields.get(9).copied()).flatten()
}

fn holds(pid: u32, link: &str) -> bool {
    let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else {
        return false;
    };
    entries
        .flatten()
        .any(|entry| fs::read_link(entry.path()).is_ok_and(|l| l.to_string_lossy() == *link))
}

fn settings_text(deployment: &Deployment, index: usize, zone: &str) -> String {
    let ip = *front(index).ip();
    let seeds: Vec<String> = (0..deployment.zones.len().min(3))
        .map(|seed| format!("\"{}:{CONTROL_PORT}\"", front(seed).ip()))
        .collect();
    let mut zones = deployment.zones.clone();
    zones.dedup();
    let zones: Vec<String> = zones.iter().map(|zone| format!("{zone} = \"amman\"\n")).collect();
    format!(
        "node = \"edge-{zone}-{index}\"\nrole = \"gateway\"\nmachine-class = \"edge\"\n\
         serves = [\"edge\",\"control_plane\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"amman\"\n\
         internal-ports = [7340,7355]\nseeds = [{}]\nbootstrap = true\ncounts-as-loss = false\n\
         discovery = \"platform\"\nentry = \"vip\"\nheartbeat-ms = 1200\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"tenants\",\"platform\"]\n\
         [zones]\n{}[listen]\nfront = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
         control = \"{ip}:{CONTROL_PORT}\"\n\
         [limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = {}\nmax-fds = 4200\nlink-mbps = 1000.0\n\
         disk-mb = 0\n\
         [fault-tolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
         [bounds]\nseed-lag-s = 3\nreuse-after-s = 2\nstable-window-ms = 3000\nack-ms = 4000\n\
         catch-up-s = 4\ndrain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\nconfig-deadline-ms = 2000\n\
         rollback-slack-ms = 250\nskew-max-ms = 5000\nstrict-revoke = false\nrevoke-ms = 5000\n\
         retry-budget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = 196\nrecovery-s = 12\n\
         pass-ms = 120\nretry-after-s = 0\nstall_ms = 2500\nrequire-fencing = true\n\
         [platform]\naddress = \"{}\"\nform = \"kv\"\nwrites-per-s = 400\nreads-per-s = 2000\n\
         history-s = 20\nvalue-bytes = 1048576\nttl-min-ms = 1000\n",
        seeds.join(","),
        zones.concat(),
        deployment.memory_mb,
        deployment.store,
    )
}
