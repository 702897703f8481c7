//! Test environment: a deployment, and raw HTTP exchanges with its entry hosts.
#![allow(dead_code, reason = "each test file uses a part of the helper")]

pub mod transcript;

use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use yuccanotch_local::Deployment;
use yuccanotch_local::Plan;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Deployment of one test.
pub struct TestEnvironment {
    /// The running deployment.
    pub deployment: Deployment,
}

impl TestEnvironment {
    /// Starts a deployment.
    pub fn start(plan: Plan) -> Self {
        Self { deployment: Deployment::start(plan).expect("the deployment starts") }
    }

    /// Returns the caller address of an entry host.
    pub fn host(&self, index: usize) -> SocketAddr {
        self.deployment.entries[index].as_ref().expect("the entry host runs").callers
    }

    /// Sends raw bytes to the first entry host and reads until it closes the connection.
    pub fn exchange(&self, raw: &[u8]) -> RawAnswer {
        exchange(self.host(0), raw)
    }

    /// Waits until `condition` holds.
    ///
    /// # Panics
    ///
    /// Panics when it does not hold within [`TIMEOUT`].
    pub fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        let start = Instant::now();
        while !condition(self) {
            assert!(start.elapsed() < TIMEOUT, "the condition does not hold within {TIMEOUT:?}");
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Returns the value of a counter of the first entry host; `reason` is empty for a counter
    /// without a label. A missing counter counts as 0.
    pub fn counter(&self, name: &str, reason: &str) -> u64 {
        let running = self.deployment.entries[0].as_ref().expect("the entry host runs");
        let text = running.host.telemetry.render();
        let wanted = if reason.is_empty() {
            format!("{name} ")
        } else {
            format!("{name}{{reason=\"{reason}\"}} ")
        };
        let value = text.lines().find_map(|line| line.strip_prefix(&wanted));
        value.map_or(0, |value| value.parse().expect("a counter is a whole number"))
    }
}

/// HTTP response as received.
#[derive(Debug)]
pub struct RawAnswer {
    /// HTTP status.
    pub status: u16,
    /// Status line and headers.
    pub head: String,
    /// Body as received, including chunk sizes.
    pub body: String,
}

impl RawAnswer {
    /// Returns the `reason` member of a problem body; empty when there is none.
    pub fn reason(&self) -> String {
        let value: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        value["reason"].as_str().unwrap_or_default().to_owned()
    }
}

/// Sends raw bytes and reads until the peer closes the connection.
pub fn exchange(host: SocketAddr, raw: &[u8]) -> RawAnswer {
    let mut stream = TcpStream::connect(host).expect("the entry host listens");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout can be set");
    // A host may refuse the request and close the connection before it has read all of it.
    let _ = stream.write_all(raw);
    let mut buf = Vec::new();
    let _ = stream.read_to_end(&mut buf);
    let text = String::from_utf8_lossy(&buf).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    RawAnswer { status, head: head.to_owned(), body: body.to_owned() }
}

/// Builds an HTTP request with `connection: close`.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut raw = format!("{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n");
    for (name, value) in headers {
        raw.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        raw.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    raw.push_str("\r\n");
    let mut raw = raw.into_bytes();
    raw.extend_from_slice(body);
    raw
}
