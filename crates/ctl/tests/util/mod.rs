//! Test environment of the commands: a directory for files, a stand-in store and entry hosts.

#![allow(dead_code)]

use std::fs;
use std::io;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::json;
use serde_json::Value;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::engine::HostKind;
use yuccanotch_core::engine::ListedHost;
use yuccanotch_entry::host::RunningHost;
use yuccanotch_entry::Settings;
use yuccanotch_standin::Fault;
use yuccanotch_standin::FaultRequest;
use yuccanotch_standin::Standin;
use yuccanotch_standin::StandinSettings;

const KEY: &str = "operators' key for tests";
const DOMAIN: &str = "sahab";
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
static NEXT_DIR: AtomicUsize = AtomicUsize::new(0);

/// A stand-in store, entry hosts, and a directory in which commands run; it is removed on drop.
pub struct TestEnvironment {
    dir: PathBuf,
    standin: Standin,
    hosts: Vec<RunningHost>,
}

/// Exit code and output of a command.
#[derive(Debug)]
pub struct CommandOutput {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl TestEnvironment {
    /// Starts an empty store without entry hosts.
    pub fn new() -> Self {
        let n = NEXT_DIR.fetch_add(1, Ordering::SeqCst);
        let name = format!("yuccanotch-ctl-{}-{n}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).unwrap();
        fs::write(dir.join("key"), KEY).unwrap();
        let standin = Standin::start(StandinSettings::default()).unwrap();
        Self { dir, standin, hosts: Vec::new() }
    }

    /// Starts a store that holds [`sample_declaration`] as its first configuration.
    pub fn with_sample() -> Self {
        let env = Self::new();
        env.write("first.json", &sample_declaration());
        assert_eq!(env.run("init", &["first.json"]).code, 0);
        env
    }

    /// Writes a JSON file.
    pub fn write(&self, name: &str, value: &Value) {
        fs::write(self.dir.join(name), value.to_string()).unwrap();
    }

    /// Writes a text file.
    pub fn write_text(&self, name: &str, text: &str) {
        fs::write(self.dir.join(name), text).unwrap();
    }

    /// Starts an entry host, lists it and waits until it has a configuration.
    pub fn add_host(&mut self, name: &str) {
        let settings = json!({
            "host": name,
            "domain": DOMAIN,
            "callers": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
            "peer": "127.0.0.1:0",
            "store": self.standin.store_address().to_string(),
            "peer_keys": ["00112233445566778899aabbccddeeff"],
            "admin_keys": [Digest::of(KEY.as_bytes()).to_string()],
        });
        let settings = Settings::parse(settings.to_string().as_bytes()).unwrap();
        let running = RunningHost::start(settings).unwrap();
        self.standin.add_host(ListedHost {
            name: name.to_owned(),
            domain: DOMAIN.into(),
            address: running.peer.to_string(),
            kind: HostKind::Entry,
            leaving: false,
        });
        let has_config = || running.host.configuration.current().is_some();
        assert!(wait_until(has_config), "{name} has no configuration");
        self.hosts.push(running);
    }

    /// Returns the entry hosts in the order in which they were added.
    pub fn hosts(&self) -> &[RunningHost] {
        &self.hosts
    }

    /// Injects a fault into the store.
    pub fn inject(&self, fault: Fault, for_ms: u64) {
        self.standin.inject(FaultRequest { fault, for_ms }).unwrap();
    }

    /// Runs a command without `--store` and `--hosts`.
    pub fn run_without_store(&self, command: &str, args: &[&str]) -> CommandOutput {
        self.execute(command, &[], args)
    }

    /// Runs a command with `--store`.
    pub fn run(&self, command: &str, args: &[&str]) -> CommandOutput {
        let store = self.standin.store_address().to_string();
        self.execute(command, &["--store", &store], args)
    }

    /// Runs a command with `--store`, `--hosts` and `--key`.
    pub fn run_with_hosts(&self, command: &str, args: &[&str]) -> CommandOutput {
        let store = self.standin.store_address().to_string();
        let hosts: Vec<String> = self.hosts.iter().map(|host| host.admin.to_string()).collect();
        let shared = ["--store", &store, "--hosts", &hosts.join(","), "--key", "key"];
        self.execute(command, &shared, args)
    }

    /// Runs a command with `--store` whose standard output is a pipe without a reader.
    pub fn run_with_closed_stdout(&self, command: &str, args: &[&str]) -> CommandOutput {
        let (reader, writer) = io::pipe().unwrap();
        drop(reader);
        let output = Command::new(env!("CARGO_BIN_EXE_yuccanotch-ctl"))
            .current_dir(&self.dir)
            .args([command, "--store", &self.standin.store_address().to_string()])
            .args(args)
            .stdout(writer)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        output.wait_with_output().unwrap().into()
    }

    fn execute(&self, command: &str, shared: &[&str], args: &[&str]) -> CommandOutput {
        let output = Command::new(env!("CARGO_BIN_EXE_yuccanotch-ctl"))
            .current_dir(&self.dir)
            .arg(command)
            .args(shared)
            .args(args)
            .output()
            .unwrap();
        output.into()
    }
}

impl Drop for TestEnvironment {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
        for running in self.hosts.drain(..) {
            running.kill();
        }
    }
}

impl From<Output> for CommandOutput {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code().unwrap(),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

/// Polls `condition` until it holds; returns `false` after [`CONDITION_TIMEOUT`].
pub fn wait_until(condition: impl Fn() -> bool) -> bool {
    let polls = CONDITION_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis();
    (0..polls).any(|_| {
        let is_met = condition();
        if !is_met {
            thread::sleep(POLL_INTERVAL);
        }
        is_met
    })
}

/// Returns a declaration with one domain, one team, one service and one server.
pub fn sample_declaration() -> Value {
    json!({
        "domains": {DOMAIN: {"region": "amman"}},
        "teams": {"bakery": {"keys": [Digest::of(b"bakery-key").to_string()]}},
        "services": {"ordering": {"routes": [{"method": "POST", "path": "/confirm"}]}},
        "servers": {"ordering-1": {
            "domain": DOMAIN,
            "address": "127.0.0.1:7001",
            "use": {"service": "ordering"},
        }},
    })
}
