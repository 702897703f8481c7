//! Datagrams candidates hosts: who is there, what each has in progress, and which servers are suspected.
//!
//! A datagram that is lost or late only makes routing less exact; the next one replaces it.

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

/// Where hosts are listed in the store, for those that start.
pub const HOSTS_PREFIX: &str = "yuccanotch/hosts/";
/// The time between datagrams to hosts of the own failure domain.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Rounds between datagrams to hosts of other failure domains.
const OTHER_DOMAIN_ROUNDS: u32 = 2;
/// Rounds between datagrams that also name the hosts known.
const HOST_LIST_ROUNDS: u32 = 10;
/// The silence after which a host counts as lost.
const PEER_TIMEOUT: Millis = Millis(2_000);
/// The silence after which a host is forgotten.
const FORGET_AFTER: Millis = Millis(20_000);
/// The longest datagram.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// A host as others know it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Peer {
    /// Its name.
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where it takes datagrams.
    pub gossip: SocketAddrV4,
    /// Where it gives snapshots.
    pub control: SocketAddrV4,
}

/// One server's load, by a short_hash hash of its name.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct LoadRow {
    server: u32,
    active: u16,
    first: u16,
    kilo_token_layers: u16,
}

/// What a host tells others.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Message {
    from: Peer,
    version: u64,
    revision: u64,
    issuer: bool,
    loads: Vec<LoadRow>,
    suspects: Vec<SuspectRow>,
    slow: Vec<SlowRow>,
    hosts: Vec<Peer>,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct SuspectRow {
    server: u32,
    ms: u16,
}

/// A server that this host found slow, and the factor in tenths.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct SlowRow {
    server: u32,
    tenths: u16,
}

#[derive(Debug)]
struct KnownPeer {
    peer: Peer,
    last_heard: Option<Millis>,
    added_at: Millis,
    version: u64,
    revision: u64,
    issuer: bool,
}

/// The hosts known.
#[derive(Debug, Default)]
pub struct Peers {
    known: RefCell<HashMap<SocketAddrV4, KnownPeer>>,
}

impl Peers {
    /// Returns the number of other hosts last_heard of lately.
    pub fn live(&self, now: Millis) -> usize {
        let live = |k: &&KnownPeer| k.last_heard.is_some_and(|at| now.since(at) < PEER_TIMEOUT);
        self.known.borrow().values().filter(live).count()
    }

    /// Returns the number of other hosts that may send repeats: those last_heard within `span`, and those
    /// that are listed and were never last_heard.
    pub fn sharing(&self, now: Millis, span: Millis) -> usize {
        let shares = |k: &&KnownPeer| k.last_heard.is_none_or(|at| now.since(at) < span);
        self.known.borrow().values().filter(shares).count()
    }

    /// Returns whether another host that is last_heard gives orders.
    pub fn hears_issuer(&self, now: Millis) -> bool {
        self.known
            .borrow()
            .values()
            .any(|k| k.issuer && k.last_heard.is_some_and(|at| now.since(at) < PEER_TIMEOUT))
    }

    /// Returns the control address of the host that knows most beyond `revision` of the store.
    pub fn ahead_of(&self, now: Millis, revision: u64) -> Option<SocketAddrV4> {
        self.known
            .borrow()
            .values()
            .filter(|k| k.last_heard.is_some_and(|at| now.since(at) < PEER_TIMEOUT))
            .filter(|k| k.revision > revision)
            .max_by_key(|k| k.revision)
            .map(|k| k.peer.control)
    }

    /// Returns all hosts known.
    pub fn all(&self) -> Vec<Peer> {
        self.known.borrow().values().map(|k| k.peer.clone()).collect()
    }

    /// Adds a host that was last_heard of.
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

/// Writes this host as others read it from the store.
pub fn encode_own_peer(gateway: &Gateway) -> Bytes {
    bincode::serde::encode_to_vec(own_peer(gateway), bincode::config::standard())
        .map(Bytes::from)
        .unwrap_or_default()
}

/// Takes in a host that is listed in the store.
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

/// Sends and takes datagrams for the life of the process.
pub async fn run(gateway: Rc<Gateway>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let sender = socket.clone();
    let sending = gateway.clone();
    tokio::task::spawn_local(async move { send_rounds(sending, sender).await });
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

async fn send_rounds(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut round: u32 = 0;
    loop {
        time::sleep(ROUND_INTERVAL).await;
        round = round.wrapping_add(1);
        forget_silent_peers(&gateway);
        let message = compose_message(&gateway, round.is_multiple_of(HOST_LIST_ROUNDS));
        let Ok(buf) = bincode::serde::encode_to_vec(&message, bincode::config::standard()) else {
            continue;
        };
        for address in addressees(&gateway, round) {
            // A full socket loses the datagram; the next round replaces it.
            let _ = socket.send_to(&buf, SocketAddr::V4(address)).await;
        }
    }
}

fn addressees(gateway: &Gateway, round: u32) -> Vec<SocketAddrV4> {
    let far = round.is_multiple_of(OTHER_DOMAIN_ROUNDS);
    let own = &gateway.settings.domain;
    let known = gateway.peers.known.borrow();
    known.values().filter(|k| far || k.peer.domain == *own).map(|k| k.peer.gossip).collect()
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

/// Returns this host as others know it.
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
        .own()
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
    gateway.routing.loads.borrow_mut().on_peer(now, host, loads);
    for row in message.slow {
        if let Some(server) = names.get(&row.server) {
            let factor = f64::from(row.tenths) / 10.0;
            gateway.routing.health.borrow_mut().on_slowness(now, server, factor);
        }
    }
    for row in message.suspects {
        if let Some(server) = names.get(&row.server) {
            let span = Millis(u64::from(row.ms));
            gateway.routing.health.borrow_mut().on_told(now, server, span);
        }
    }
}

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
    let back = entry.last_heard.is_none_or(|at| now.since(at) >= PEER_TIMEOUT);
    entry.peer = message.from.clone();
    entry.last_heard = Some(now);
    entry.version = message.version;
    entry.revision = message.revision;
    entry.issuer = message.issuer;
    if back {
        gateway
            .event_log
            .line(Event::PeerFound, &[("host", &message.from.host), ("version", &message.version)]);
    }
}

fn short_hash(server: &ServerName) -> u32 {
    xxh3_64(server.as_str().as_bytes()) as u32
}
