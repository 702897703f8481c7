//! A deployment for tests: entry hosts as processes of their own, and stand-ins in the process of
//! the test.

use std::fs;
use std::io::BufRead as _;
use std::io::BufReader;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use serde_json::Value;
use yuccanotch_core::config::write_first_config;
use yuccanotch_core::config::Declaration;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::engine::LayerRange;
use yuccanotch_entry::store_client::StoreClient;
use yuccanotch_standin::EngineSettings;
use yuccanotch_standin::ModelSettings;
use yuccanotch_standin::ServiceSettings;
use yuccanotch_standin::Standin;
use yuccanotch_standin::StandinSettings;

const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// API key of the only team.
pub const TEAM_KEY: &str = "team-key";

/// Stand-ins with a configuration, and a temporary directory, for one test.
pub struct TestDeployment {
    dir: PathBuf,
    /// Stand-ins of the platform and the backend servers.
    pub standin: Standin,
}

impl TestDeployment {
    /// Starts stand-ins with a model `m` of two stages and a service `svc`, and writes their
    /// configuration.
    pub fn start(name: &str, step_us: u32) -> Self {
        let dir = std::env::temp_dir().join(format!("yuccanotch-{name}-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("the directory can be made");
        let mut settings = StandinSettings::default();
        settings.models.insert("m".into(), ModelSettings { layers: 4, weights_mb: 1 });
        for (name, first, end) in [("e-0", 0, 2), ("e-1", 2, 4)] {
            let mut engine =
                EngineSettings::new(name, "sahab", "m", "v1", LayerRange::new(first, end));
            engine.behavior.step_base_us = step_us;
            settings.engines.push(engine);
        }
        settings.services.push(ServiceSettings::new("svc-0", "sahab", "svc"));
        let standin = Standin::start(settings).expect("the stand-ins start");
        let store = StoreClient::new(standin.store_address());
        write_first_config(&store, &declaration(&standin))
            .expect("the store takes the configuration");
        Self { dir, standin }
    }

    /// Writes a file into the temporary directory and returns its path.
    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.join(name);
        fs::write(&path, text).expect("the file can be written");
        path
    }

    /// Starts an entry host and waits until it answers a chat request.
    pub fn start_entry(&self, name: &str, limits: Value) -> EntryProcess {
        let ip = unused_loopback_ip();
        let callers = SocketAddr::from((ip, 4_000));
        let (admin, peer) = (SocketAddr::from((ip, 4_001)), SocketAddr::from((ip, 4_002)));
        let settings = json!({
            "host": name, "domain": "sahab",
            "callers": callers, "admin": admin, "peer": peer,
            "store": self.standin.store_address(),
            "peer_keys": ["000102030405060708090a0b0c0d0e0f"],
            "limits": limits,
        });
        let path = self.file(&format!("{name}.json"), &settings.to_string());
        let child = Command::new(env!("CARGO_BIN_EXE_yuccanotch-entry"))
            .arg("--settings")
            .arg(path)
            .stderr(Stdio::null())
            .spawn()
            .expect("the entry host starts");
        let mut entry = EntryProcess { child, callers };
        entry.wait_until_serving();
        entry
    }
}

impl Drop for TestDeployment {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// An entry host in a process of its own.
pub struct EntryProcess {
    child: Child,
    /// Address for callers.
    pub callers: SocketAddr,
}

impl EntryProcess {
    fn wait_until_serving(&mut self) {
        let start = Instant::now();
        let body = chat_body("ready?", 1, false);
        loop {
            let sent = ureq::post(format!("http://{}/v1/chat/completions", self.callers))
                .header("authorization", format!("Bearer {TEAM_KEY}"))
                .send(&body);
            if sent.is_ok() {
                return;
            }
            let ended = self.child.try_wait().expect("the process can be asked");
            assert!(ended.is_none(), "the entry host ended: {ended:?}");
            assert!(
                start.elapsed() < READY_TIMEOUT,
                "the entry host does not become ready: {sent:?}"
            );
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(status.expect("kill starts").success());
    }

    /// Sends SIGKILL and waits for the exit of the process.
    pub fn kill(mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process ends");
    }

    /// Waits for the exit of the process.
    pub fn wait(mut self) -> ExitStatus {
        self.child.wait().expect("the process ends")
    }

    /// Sends a chat request and returns the lines of the event stream, each with the time from the
    /// request to its arrival.
    pub fn stream(&self, content: &str, max_tokens: u32) -> Vec<(Duration, String)> {
        let start = Instant::now();
        let response = ureq::post(format!("http://{}/v1/chat/completions", self.callers))
            .header("authorization", format!("Bearer {TEAM_KEY}"))
            .send(chat_body(content, max_tokens, true))
            .expect("the stream begins");
        let reader = BufReader::new(response.into_body().into_reader());
        let lines = reader.lines().map(|line| line.expect("the stream is text"));
        lines.filter(|line| !line.is_empty()).map(|line| (start.elapsed(), line)).collect()
    }

    /// Sends a chat request that is not streamed and returns the status and the body of the answer.
    pub fn complete(&self, content: &str, max_tokens: u32) -> Result<(u16, String), ureq::Error> {
        let agent = ureq::Agent::config_builder().http_status_as_error(false).build();
        let response = ureq::Agent::from(agent)
            .post(format!("http://{}/v1/chat/completions", self.callers))
            .header("authorization", format!("Bearer {TEAM_KEY}"))
            .send(chat_body(content, max_tokens, false))?;
        let status = response.status().as_u16();
        Ok((status, response.into_body().read_to_string()?))
    }

    /// Calls the service with an idempotency key and returns the body of the answer.
    pub fn call_service(&self, key: &str) -> Result<String, ureq::Error> {
        let response = ureq::post(format!("http://{}/svc/run", self.callers))
            .header("authorization", format!("Bearer {TEAM_KEY}"))
            .header("idempotency-key", key)
            .send("{}")?;
        response.into_body().read_to_string()
    }
}

fn chat_body(content: &str, max_tokens: u32, stream: bool) -> String {
    json!({
        "model": "m", "max_tokens": max_tokens, "stream": stream,
        "messages": [{"role": "user", "content": content}],
    })
    .to_string()
}

/// Returns a loopback address of which nothing else takes ports: a free port of a shared address may be
/// taken by any connection before the host listens on it.
fn unused_loopback_ip() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    Ipv4Addr::new(127, high | 0x80, low, NEXT.fetch_add(1, Ordering::Relaxed))
}

fn declaration(standin: &Standin) -> Declaration {
    let engine = |name: &str, first: u16, end: u16| {
        json!({
            "domain": "sahab",
            "address": standin.engine_address(name).expect("the engine listens"),
            "use": {"engine": {
                "accelerator": "medium", "model": "m", "version": "v1",
                "layers": {"first": first, "end": end},
            }},
        })
    };
    let value = json!({
        "domains": {"sahab": {"region": "amman"}},
        "teams": {"t": {"keys": [Digest::of(TEAM_KEY.as_bytes())]}},
        "models": {"m": {
            "layers": 4, "version": "v1", "max_tokens": 256, "deadline_ms": 30000, "weights_mb": 1,
        }},
        "services": {"svc": {"routes": [{"method": "POST", "path": "/run"}]}},
        "servers": {
            "e-0": engine("e-0", 0, 2),
            "e-1": engine("e-1", 2, 4),
            "svc-0": {
                "domain": "sahab",
                "address": standin.service_address("svc-0").expect("the service listens"),
                "use": {"service": "svc"},
            },
        },
    });
    serde_json::from_value(value).expect("the declaration has the right shape")
}
