//! Gossip between hosts over UDP: which hosts are alive, how much work each has in progress, and
//! which servers are suspected or slow.
//!
//! A lost or late datagram only makes routing less accurate until the next one arrives.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::time;
use xxhash_rust::xxh3::xxh3_64;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::HostName;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::placement::load::Load;

use crate::host::Gateway;

/// The prefix of the store keys under which hosts are listed, so that hosts that start find them.
pub const HOSTS_PREFIX: &str = "yuccanotch/hosts/";
/// The time between datagrams to hosts of the same failure domain.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// A datagram goes to hosts of other failure domains in every round that is a multiple of this
/// number.
const ROUNDS_PER_OTHER_DOMAIN_SEND: u32 = 2;
/// A datagram includes the known hosts in every round that is a multiple of this number.
const ROUNDS_PER_HOST_LIST: u32 = 10;
/// The time without a datagram after which a host no longer counts as alive.
const PEER_TIMEOUT: Millis = Millis(2_000);
/// The time without a datagram after which a host is removed from the known ones.
const FORGET_AFTER: Millis = Millis(20_000);
/// The largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// A host as it is known to others.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Peer {
    /// The name of the host.
    pub host: HostName,
    /// The failure domain of the host.
    pub domain: DomainName,
    /// The address of its gossip socket.
    pub gossip: SocketAddrV4,
    /// The address on which it serves snapshots.
    pub control: SocketAddrV4,
}

/// The work of one host on one server, which is named by a short hash.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct LoadRow {
    server: u32,
    /// The number of requests in progress.
    active: u16,
    /// The number of requests for which the server is the first one of their chain.
    first: u16,
    /// The memory set aside for requests, in thousands of tokens times layers.
    kilo_token_layers: u16,
}

/// The content of a datagram.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Message {
    from: Peer,
    /// The version of the configuration in force, or 0.
    version: u64,
    revision: u64,
    /// Whether the sender is the order issuer.
    issuer: bool,
    loads: Vec<LoadRow>,
    /// Servers that the sender avoids after failures.
    suspects: Vec<SuspectRow>,
    slow: Vec<SlowRow>,
    /// The known hosts; empty in most rounds.
    hosts: Vec<Peer>,
}

/// A server that the sender avoids, and for how many ms more.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct SuspectRow {
    server: u32,
    ms: u16,
}

/// A server that the sender found slow, and by which factor, in tenths.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct SlowRow {
    server: u32,
    tenths: u16,
}

/// What this host knows of another one. A host that is only listed has not been heard yet.
#[derive(Debug)]
struct KnownPeer {
    peer: Peer,
    last_heard: Option<Millis>,
    added_at: Millis,
    version: u64,
    revision: u64,
    issuer: bool,
}

/// The known hosts, other than this one.
#[derive(Debug, Default)]
pub struct Peers {
    known: RefCell<HashMap<SocketAddrV4, KnownPeer>>,
}

impl Peers {
    /// Returns the number of other hosts heard within the peer timeout.
    pub fn live_count(&self, now: Millis) -> usize {
        let live = |k: &&KnownPeer| k.last_heard.is_some_and(|at| now.since(at) < PEER_TIMEOUT);
        self.known.borrow().values().filter(live).count()
    }

    /// Returns the number of other hosts that may send retries: those heard within `span`, and
    /// those that are listed but were never heard.
    pub fn sharing_count(&self, now: Millis, span: Millis) -> usize {
        let shares = |k: &&KnownPeer| k.last_heard.is_none_or(|at| now.since(at) < span);
        self.known.borrow().values().filter(shares).count()
    }

    /// Returns whether a live host is the order issuer.
    pub fn hears_issuer(&self, now: Millis) -> bool {
        self.known
            .borrow()
            .values()
            .any(|k| k.issuer && k.last_heard.is_some_and(|at| now.since(at) < PEER_TIMEOUT))
    }

    /// Returns the control address of the live host with the newest store revision, if that is
    /// newer than `revision`.
    pub fn ahead_of(&self, now: Millis, revision: u64) -> Option<SocketAddrV4> {
        self.known
            .borrow()
            .values()
            .filter(|k| k.last_heard.is_some_and(|at| now.since(at) < PEER_TIMEOUT))
            .filter(|k| k.revision > revision)
            .max_by_key(|k| k.revision)
            .map(|k| k.peer.control)
    }

    /// Returns all known hosts.
    pub fn all(&self) -> Vec<Peer> {
        self.known.borrow().values().map(|k| k.peer.clone()).collect()
    }

    /// Adds a host unless it is known already.
    pub fn add(&self, now: Millis, peer: Peer) {
        let known = KnownPeer {
            peer: peer.clone(),
            last_heard: None,
            added_at: now,
            version: 0,
            revision: 0,
            issuer: false,
        };
        self.known.borrow_mut().entry(peer.gossip).or_insert(known);
    }
}

/// Encodes this host's entry for the store.
pub fn encode_own_peer(gateway: &Gateway) -> Bytes {
    bincode::serde::encode_to_vec(own_peer(gateway), bincode::config::standard())
        .map(Bytes::from)
        .unwrap_or_default()
}

/// Decodes a host's entry from the store and adds the host to the known ones.
pub fn add_listed_host(gateway: &Gateway, value: &[u8]) {
    let config = bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>();
    let Ok((peer, _)) = bincode::serde::decode_from_slice::<Peer, _>(value, config) else {
        gateway.event_log.line(Event::EntryRejected, &[("source", &HOSTS_PREFIX)]);
        return;
    };
    if peer.gossip != gateway.settings.gossip {
        gateway.peers.add(gateway.clock.now(), peer);
    }
}

/// Sends and receives datagrams for the life of the process.
pub async fn run(gateway: Rc<Gateway>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let sender_socket = socket.clone();
    let sender_gateway = gateway.clone();
    tokio::task::spawn_local(async move { send_rounds(sender_gateway, sender_socket).await });
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, SocketAddr::V4(_))) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let config = bincode::config::standard();
        if let Ok((message, _)) =
            bincode::serde::decode_from_slice::<Message, _>(&buf[..len], config)
        {
            on_message(&gateway, message);
        }
    }
}

/// Sends this host's state to the known hosts in every round.
async fn send_rounds(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut round: u32 = 0;
    loop {
        time::sleep(ROUND_INTERVAL).await;
        round = round.wrapping_add(1);
        forget_silent_peers(&gateway);
        let message = compose_message(&gateway, round.is_multiple_of(ROUNDS_PER_HOST_LIST));
        let Ok(buf) = bincode::serde::encode_to_vec(&message, bincode::config::standard()) else {
            continue;
        };
        for address in recipients(&gateway, round) {
            // If the socket's buffer is full, the datagram is lost; the next round replaces it.
            let _ = socket.send_to(&buf, SocketAddr::V4(address)).await;
        }
    }
}

/// Returns the addresses that the datagram of a round goes to.
fn recipients(gateway: &Gateway, round: u32) -> Vec<SocketAddrV4> {
    let to_other_domains = round.is_multiple_of(ROUNDS_PER_OTHER_DOMAIN_SEND);
    let own = &gateway.settings.domain;
    let known = gateway.peers.known.borrow();
    known
        .values()
        .filter(|k| to_other_domains || k.peer.domain == *own)
        .map(|k| k.peer.gossip)
        .collect()
}

fn forget_silent_peers(gateway: &Gateway) {
    let now = gateway.clock.now();
    gateway.peers.known.borrow_mut().retain(|_, k| {
        let last = k.last_heard.unwrap_or(k.added_at);
        let keep = now.since(last) < FORGET_AFTER;
        if !keep {
            gateway.event_log.line(Event::PeerLost, &[("host", &k.peer.host)]);
        }
        keep
    });
}

/// Returns the name, failure domain and addresses of this host, as other hosts know it.
pub fn own_peer(gateway: &Gateway) -> Peer {
    let settings = &gateway.settings;
    Peer {
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        gossip: settings.gossip,
        control: settings.control,
    }
}

fn compose_message(gateway: &Gateway, with_hosts: bool) -> Message {
    let now = gateway.clock.now();
    let loads = gateway.routing.loads.borrow();
    let loads = loads
        .own_loads()
        .map(|(server, load)| LoadRow {
            server: short_hash(server),
            active: load.active as u16,
            first: load.first as u16,
            kilo_token_layers: (load.token_layers / 1e3) as u16,
        })
        .collect();
    let health = gateway.routing.health.borrow();
    let suspects = health
        .suspects(now)
        .map(|(server, span)| SuspectRow { server: short_hash(server), ms: span.0 as u16 })
        .collect();
    let slow = gateway
        .reports
        .slow_servers(now)
        .into_iter()
        .map(|(server, factor)| SlowRow {
            server: short_hash(&server),
            tenths: (factor * 10.0) as u16,
        })
        .collect();
    let hosts = if with_hosts {
        gateway.peers.known.borrow().values().map(|k| k.peer.clone()).collect()
    } else {
        Vec::new()
    };
    Message {
        from: own_peer(gateway),
        version: gateway.views.configuration().map_or(0, |c| c.version),
        revision: gateway.views.revision(),
        issuer: gateway.is_issuer.get(),
        loads,
        suspects,
        slow,
        hosts,
    }
}

/// Applies a datagram of another host: its state, its known hosts and its findings about servers.
fn on_message(gateway: &Rc<Gateway>, message: Message) {
    let now = gateway.clock.now();
    if message.from.gossip == gateway.settings.gossip {
        return;
    }
    let host = message.from.host.clone();
    record_peer(gateway, now, &message);
    gateway.views.on_peer_revision(message.revision);
    for peer in message.hosts {
        if peer.gossip != gateway.settings.gossip {
            gateway.peers.add(now, peer);
        }
    }
    let names: HashMap<u32, ServerName> =
        gateway.views.servers().iter().map(|e| (short_hash(&e.id), e.id.clone())).collect();
    let loads = message
        .loads
        .iter()
        .filter_map(|row| {
            let load = Load {
                active: f32::from(row.active),
                token_layers: f32::from(row.kilo_token_layers) * 1e3,
                first: f32::from(row.first),
            };
            Some((names.get(&row.server)?.clone(), load))
        })
        .collect();
    gateway.routing.loads.borrow_mut().on_peer_loads(now, host, loads);
    for row in message.slow {
        if let Some(server) = names.get(&row.server) {
            let factor = f64::from(row.tenths) / 10.0;
            gateway.routing.health.borrow_mut().on_slowness(now, server, factor);
        }
    }
    for row in message.suspects {
        if let Some(server) = names.get(&row.server) {
            let span = Millis(u64::from(row.ms));
            gateway.routing.health.borrow_mut().on_peer_suspicion(now, server, span);
        }
    }
}

/// Records that a host was heard, and logs it if it is new or was silent for the peer timeout.
fn record_peer(gateway: &Gateway, now: Millis, message: &Message) {
    let mut known = gateway.peers.known.borrow_mut();
    let entry = known.entry(message.from.gossip).or_insert_with(|| KnownPeer {
        peer: message.from.clone(),
        last_heard: None,
        added_at: now,
        version: 0,
        revision: 0,
        issuer: false,
    });
    let new_or_back = entry.last_heard.is_none_or(|at| now.since(at) >= PEER_TIMEOUT);
    entry.peer = message.from.clone();
    entry.last_heard = Some(now);
    entry.version = message.version;
    entry.revision = message.revision;
    entry.issuer = message.issuer;
    if new_or_back {
        gateway
            .event_log
            .line(Event::PeerFound, &[("host", &message.from.host), ("version", &message.version)]);
    }
}

/// Returns the hash by which datagrams name a server.
fn short_hash(server: &ServerName) -> u32 {
    xxh3_64(server.as_str().as_bytes()) as u32
}
