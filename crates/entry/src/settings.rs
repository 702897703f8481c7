//! Settings of an entry host: one JSON file, whose errors are reported together.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::fields::Fields;
use yuccanotch_core::finding::Finding;
use yuccanotch_core::finding::Findings;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::HostName;
use yuccanotch_core::route::Policy;

use crate::error::EntryError;

const MIN_PEER_KEY_BYTES: usize = 16;

/// Settings of an entry host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host.
    pub host: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address on which callers' requests are accepted.
    pub callers: SocketAddr,
    /// Address of the admin port, for health, metrics, status and drain.
    pub admin: SocketAddr,
    /// Address on which other entry hosts connect.
    pub peer: SocketAddr,
    /// Address of the platform's store and host list.
    pub store: SocketAddr,
    /// Keys that all entry hosts share; messages are signed with the first and verified with any.
    pub peer_keys: Vec<Vec<u8>>,
    /// Digests of the operators' keys; when there is none, the admin port serves only health and
    /// metrics.
    pub admin_keys: Vec<Digest>,
    /// Limits of sizes, counts and times.
    pub limits: Limits,
    /// Policy by which chains of model engines are chosen.
    pub routing: Policy,
    /// Seed of the request identifiers and random choices; from the operating system when absent.
    pub seed: Option<u64>,
}

/// Limits of sizes, counts and times on an entry host.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest body of a caller's request, in bytes.
    pub body_bytes: usize,
    /// Largest head of a caller's request, in bytes.
    pub head_bytes: usize,
    /// Largest number of connections of callers.
    pub connections: usize,
    /// Largest number of requests in flight.
    pub in_flight: usize,
    /// Longest time for the head of a request to arrive, and again for its body.
    pub read_timeout: Millis,
    /// Longest time for which a caller may accept no byte of its answer.
    pub write_timeout: Millis,
    /// Longest time that a drain waits for the requests in flight, after `drain_grace`.
    pub drain_timeout: Millis,
    /// Time at the start of a drain in which load balancers can notice the failing health check; new
    /// requests are refused already.
    pub drain_grace: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            head_bytes: 16 << 10,
            connections: 1024,
            in_flight: 256,
            read_timeout: Millis(10_000),
            write_timeout: Millis(10_000),
            drain_timeout: Millis(60_000),
            drain_grace: Millis(2_000),
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read, or all errors in its settings.
    pub fn read(path: &Path) -> Result<Self, EntryError> {
        let text = fs::read(path).map_err(|e| EntryError::File(path.to_owned(), e))?;
        Self::parse(&text).map_err(EntryError::Settings)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns all errors in the settings with their JSON pointers.
    pub fn parse(text: &[u8]) -> Result<Self, Vec<Finding>> {
        let value: Value = serde_json::from_slice(text)
            .map_err(|e| vec![Finding { pointer: String::new(), text: e.to_string() }])?;
        let mut findings = Findings::new();
        let settings = read_settings(&value, &mut findings);
        findings.into_result(settings)
    }
}

fn read_settings(value: &Value, findings: &mut Findings) -> Settings {
    let mut fields = Fields::new(value, "", findings);
    let settings = Settings {
        host: HostName::new(&fields.name("host", findings)),
        domain: DomainName::new(&fields.name("domain", findings)),
        callers: fields.address("callers", findings),
        admin: fields.address("admin", findings),
        peer: fields.address("peer", findings),
        store: fields.address("store", findings),
        peer_keys: read_peer_keys(&mut fields, findings),
        admin_keys: read_admin_keys(&mut fields, findings),
        limits: read_limits(&mut fields, findings),
        routing: read_routing(&mut fields, findings),
        seed: fields.value("seed").map(|_| fields.number("seed", 0, 0..=u64::MAX, findings)),
    };
    fields.finish(findings);
    settings
}

fn read_peer_keys(fields: &mut Fields<'_>, findings: &mut Findings) -> Vec<Vec<u8>> {
    let list = fields.list("peer_keys", findings);
    findings.check(!list.is_empty(), "/peer_keys", || "at least one key is required".to_owned());
    let mut keys = Vec::new();
    for (field_pointer, value) in list {
        let key = value.as_str().and_then(|text| hex::decode(text).ok()).unwrap_or_default();
        findings.check(key.len() >= MIN_PEER_KEY_BYTES, &field_pointer, || {
            format!("must be at least {MIN_PEER_KEY_BYTES} bytes in hexadecimal")
        });
        keys.push(key);
    }
    keys
}

fn read_routing(fields: &mut Fields<'_>, findings: &mut Findings) -> Policy {
    let Some(value) = fields.value("routing") else {
        return Policy::default();
    };
    let found = Policy::ALL.into_iter().find(|policy| value.as_str() == Some(policy.as_str()));
    found.unwrap_or_else(|| {
        let names = Policy::ALL.map(Policy::as_str).join(", ");
        findings.add(fields.field_pointer("routing"), format!("must be one of {names}"));
        Policy::default()
    })
}

fn read_admin_keys(fields: &mut Fields<'_>, findings: &mut Findings) -> Vec<Digest> {
    if fields.value("admin_keys").is_none() {
        return Vec::new();
    }
    let mut digests = Vec::new();
    for (field_pointer, value) in fields.list("admin_keys", findings) {
        match value.as_str().and_then(|text| text.parse().ok()) {
            Some(digest) => digests.push(digest),
            None => findings.add(field_pointer, "must be a SHA-256 digest in hexadecimal"),
        }
    }
    digests
}

fn read_limits(fields: &mut Fields<'_>, findings: &mut Findings) -> Limits {
    let default = Limits::default();
    let Some(value) = fields.value("limits") else {
        return default;
    };
    let mut fields = Fields::new(value, "/limits", findings);
    let mut number = |field, default, min, max| fields.number(field, default, min..=max, findings);
    let limits = Limits {
        body_bytes: number("body_bytes", default.body_bytes as u64, 1 << 10, 64 << 20) as usize,
        head_bytes: number("head_bytes", default.head_bytes as u64, 8 << 10, 1 << 20) as usize,
        connections: number("connections", default.connections as u64, 1, 65_536) as usize,
        in_flight: number("in_flight", default.in_flight as u64, 1, 4_096) as usize,
        read_timeout: Millis(number("read_timeout_ms", default.read_timeout.0, 10, 600_000)),
        write_timeout: Millis(number("write_timeout_ms", default.write_timeout.0, 10, 600_000)),
        drain_timeout: Millis(number("drain_timeout_ms", default.drain_timeout.0, 0, 3_600_000)),
        drain_grace: Millis(number("drain_grace_ms", default.drain_grace.0, 0, 600_000)),
    };
    fields.finish(findings);
    limits
}
