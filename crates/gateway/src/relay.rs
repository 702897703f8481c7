//! What hosts tell each other about a request that one passes to another.
//!
//! A request goes over at most one hop: the host that takes it sends it to servers or refuses it. It
//! has the caller's head with the time that is left, and headers that only hosts read.

use std::net::SocketAddrV4;
use std::rc::Rc;

use http::header;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use smallvec::SmallVec;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::name::ServerName;

use crate::host::Gateway;

/// On a request: how many more servers may get it, the weights version of the answer so far, and the
/// servers that have had it, as `COUNT;VERSION;NAME,NAME`.
const RELAY: HeaderName = HeaderName::from_static("yuccanotch-relay");
/// On a request: the newest version of the configuration by which the sending host's callers may have been
/// served. On an answer: the version by which the request was served, and where the host has it, as
/// `VERSION;ADDRESS`. Hosts of earlier releases send none; on answers the header belongs to the connection,
/// so that they do not return it to callers.
const CONFIGURATION: HeaderName = HeaderName::from_static(CONFIGURATION_NAME);
const CONFIGURATION_NAME: &str = "yuccanotch-configuration";
/// On an answer: the servers that have had the request.
const TRIED: HeaderName = HeaderName::from_static("yuccanotch-tried");
/// The most names that are read of a list of servers.
const MAX_TRIED: usize = 16;
/// How long a host that has refused or broken a request is not chosen again.
const AVOIDANCE: Millis = Millis(300);
/// The share of the sockets of a host that requests of other hosts may take, as a divisor.
const RELAYED_SHARE: usize = 8;

/// The servers that have had a request.
pub type TriedServers = SmallVec<[ServerName; 4]>;

/// The state of a request that a host passes to another one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Relayed {
    /// How many more servers may get the request.
    pub attempts_left: u8,
    /// The weights version that the answer began with.
    pub version: Option<u64>,
    /// The servers that have had the request.
    pub tried: TriedServers,
    /// The version of the configuration that the host serves by, if it says so.
    pub configuration: Option<u64>,
}

impl Relayed {
    /// Adds the state to the head of a request.
    pub fn write(&self, fields: &mut HeaderMap) {
        let version = self.version.map_or(String::new(), |v| v.to_string());
        let text = format!("{};{version};{}", self.attempts_left, join(&self.tried));
        if let Ok(value) = HeaderValue::from_str(&text) {
            fields.insert(RELAY, value);
        }
        if let Some(configuration) = self.configuration {
            fields.insert(CONFIGURATION, HeaderValue::from(configuration));
        }
    }

    /// Takes the state out of the head of a request; returns `None` if it has none that can be read.
    pub fn take(fields: &mut HeaderMap) -> Option<Self> {
        let configuration = fields.remove(CONFIGURATION);
        let configuration = configuration.and_then(|v| v.to_str().ok()?.parse().ok());
        let value = fields.remove(RELAY)?;
        let mut parts = value.to_str().ok()?.splitn(3, ';');
        let attempts_left = parts.next()?.parse().ok()?;
        let version = match parts.next()? {
            "" => None,
            version => Some(version.parse().ok()?),
        };
        Some(Self { attempts_left, version, tried: split(parts.next()?), configuration })
    }
}

/// Adds the servers that have had a request to the head of its answer.
pub fn write_tried(fields: &mut HeaderMap, tried: &[ServerName]) {
    if let Ok(value) = HeaderValue::from_str(&join(tried)) {
        fields.insert(TRIED, value);
    }
}

/// By which version of the configuration another host has served a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServedBy {
    /// The version.
    pub version: u64,
    /// The address at which the host passes on the changes that it has.
    pub control: SocketAddrV4,
}

impl ServedBy {
    /// Adds the version and the address to the head of an answer.
    pub fn write(&self, fields: &mut HeaderMap) {
        if let Ok(value) = HeaderValue::from_str(&format!("{};{}", self.version, self.control)) {
            fields.insert(CONFIGURATION, value);
            fields.append(header::CONNECTION, HeaderValue::from_static(CONFIGURATION_NAME));
        }
    }

    /// Takes them out of the head of an answer of the host that takes requests at `relay`; returns `None` if
    /// it has none that can be read, or they name another host.
    pub fn take(fields: &mut HeaderMap, relay: SocketAddrV4) -> Option<Self> {
        let value = fields.remove(CONFIGURATION)?;
        let (version, control) = value.to_str().ok()?.split_once(';')?;
        let served = Self { version: version.parse().ok()?, control: control.parse().ok()? };
        (served.control.ip() == relay.ip()).then_some(served)
    }
}

/// Takes the servers that have had a request out of the head of its answer.
pub fn take_tried(fields: &mut HeaderMap) -> TriedServers {
    let value = fields.remove(TRIED);
    value.and_then(|v| v.to_str().ok().map(split)).unwrap_or_default()
}

fn join(servers: &[ServerName]) -> String {
    servers.iter().map(ServerName::as_str).collect::<SmallVec<[&str; 4]>>().join(",")
}

fn split(text: &str) -> TriedServers {
    text.split(',').filter(|name| !name.is_empty()).take(MAX_TRIED).map(ServerName::new).collect()
}

/// Counts as one request of another host until it is dropped.
pub struct TakenRequest(Rc<Gateway>);

impl Drop for TakenRequest {
    fn drop(&mut self) {
        self.0.taken_requests.set(self.0.taken_requests.get() - 1);
    }
}

impl Gateway {
    /// Counts a request of another host; returns `None` if this host takes no more.
    pub(crate) fn take_request(self: &Rc<Self>) -> Option<TakenRequest> {
        let count = self.taken_requests.get();
        if count >= self.settings.sockets / RELAYED_SHARE {
            return None;
        }
        self.taken_requests.set(count + 1);
        self.counters.request_taken();
        Some(TakenRequest(self.clone()))
    }

    /// Sends no request to the host at `relay` for some time.
    pub(crate) fn avoid_host(&self, relay: SocketAddrV4) {
        self.links.avoid_host(relay, AVOIDANCE);
    }
}
