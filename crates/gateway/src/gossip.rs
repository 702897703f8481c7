//! Datagrams among hosts: who is there, what each has in progress, and which servers are suspected.
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
const NEAR: Duration = Duration::from_millis(200);
/// Rounds between datagrams to hosts of other failure domains.
const FAR_ROUNDS: u32 = 2;
/// Rounds between datagrams that also name the hosts known.
const HOSTS_ROUNDS: u32 = 10;
/// The silence after which a host counts as lost.
const SILENCE: Millis = Millis(2_000);
/// The silence after which a host is forgotten.
const FORGET: Millis = Millis(20_000);
/// The longest datagram.
const MAX_BYTES: usize = 8 << 10;

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

/// One server's load, by a short hash of its name.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct LoadRow {
    server: u32,
    active: u16,
    first: u16,
    kilo_token_layers: u16,
}

/// What a host tells others.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct News {
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
struct Known {
    peer: Peer,
    heard: Option<Millis>,
    added: Millis,
    version: u64,
    revision: u64,
    issuer: bool,
}

/// The hosts known.
#[derive(Debug, Default)]
pub struct Peers {
    known: RefCell<HashMap<SocketAddrV4, Known>>,
}

impl Peers {
    /// Returns the number of other hosts heard of lately.
    pub fn live(&self, now: Millis) -> usize {
        let live = |k: &&Known| k.heard.is_some_and(|at| now.since(at) < SILENCE);
        self.known.borrow().values().filter(live).count()
    }

    /// Returns the number of other hosts that may send repeats: those heard within `span`, and those
    /// that are listed and were never heard.
    pub fn sharing(&self, now: Millis, span: Millis) -> usize {
        let shares = |k: &&Known| k.heard.is_none_or(|at| now.since(at) < span);
        self.known.borrow().values().filter(shares).count()
    }

    /// Returns whether another host that is heard gives orders.
    pub fn hears_issuer(&self, now: Millis) -> bool {
        self.known
            .borrow()
            .values()
            .any(|k| k.issuer && k.heard.is_some_and(|at| now.since(at) < SILENCE))
    }

    /// Returns the control address of the host that knows most beyond `revision` of the store.
    pub fn ahead_of(&self, now: Millis, revision: u64) -> Option<SocketAddrV4> {
        self.known
            .borrow()
            .values()
            .filter(|k| k.heard.is_some_and(|at| now.since(at) < SILENCE))
            .filter(|k| k.revision > revision)
            .max_by_key(|k| k.revision)
            .map(|k| k.peer.control)
    }

    /// Returns all hosts known.
    pub fn all(&self) -> Vec<Peer> {
        self.known.borrow().values().map(|k| k.peer.clone()).collect()
    }

    /// Adds a host that was heard of.
    pub fn add(&self, now: Millis, peer: Peer) {
        let known = Known {
            peer: peer.clone(),
            heard: None,
            added: now,
            version: 0,
            revision: 0,
            issuer: false,
        };
        self.known.borrow_mut().entry(peer.gossip).or_insert(known);
    }
}

/// Writes this host as others read it from the store.
pub fn own_entry(gateway: &Gateway) -> Bytes {
    bincode::serde::encode_to_vec(own_peer(gateway), bincode::config::standard())
        .map(Bytes::from)
        .unwrap_or_default()
}

/// Takes in a host that is listed in the store.
pub fn on_listed(gateway: &Gateway, value: &[u8]) {
    let config = bincode::config::standard().with_limit::<MAX_BYTES>();
    let Ok((peer, _)) = bincode::serde::decode_from_slice::<Peer, _>(value, config) else {
        gateway.journal.line(Event::EntryRejected, &[("source", &HOSTS_PREFIX)]);
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
    let mut buf = vec![0; MAX_BYTES];
    loop {
        let Ok((len, SocketAddr::V4(_))) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let config = bincode::config::standard();
        if let Ok((news, _)) = bincode::serde::decode_from_slice::<News, _>(&buf[..len], config) {
            on_news(&gateway, news);
        }
    }
}

async fn send_rounds(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut round: u32 = 0;
    loop {
        time::sleep(NEAR).await;
        round = round.wrapping_add(1);
        forget_lost(&gateway);
        let news = compose(&gateway, round.is_multiple_of(HOSTS_ROUNDS));
        let Ok(buf) = bincode::serde::encode_to_vec(&news, bincode::config::standard()) else {
            continue;
        };
        for address in addressees(&gateway, round) {
            // A full socket loses the datagram; the next round replaces it.
            let _ = socket.send_to(&buf, SocketAddr::V4(address)).await;
        }
    }
}

fn addressees(gateway: &Gateway, round: u32) -> Vec<SocketAddrV4> {
    let far = round.is_multiple_of(FAR_ROUNDS);
    let own = &gateway.settings.domain;
    let known = gateway.peers.known.borrow();
    known.values().filter(|k| far || k.peer.domain == *own).map(|k| k.peer.gossip).collect()
}

fn forget_lost(gateway: &Gateway) {
    let now = gateway.clock.now();
    gateway.peers.known.borrow_mut().retain(|_, k| {
        let last = k.heard.unwrap_or(k.added);
        let keep = now.since(last) < FORGET;
        if !keep {
            gateway.journal.line(Event::PeerLost, &[("host", &k.peer.host)]);
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

fn compose(gateway: &Gateway, with_hosts: bool) -> News {
    let now = gateway.clock.now();
    let loads = gateway.traffic.loads.borrow();
    let loads = loads
        .own_loads()
        .map(|(server, load)| LoadRow {
            server: short(server),
            active: load.active as u16,
            first: load.first as u16,
            kilo_token_layers: (load.token_layers / 1e3) as u16,
        })
        .collect();
    let health = gateway.traffic.health.borrow();
    let suspects = health
        .suspects(now)
        .map(|(server, span)| SuspectRow { server: short(server), ms: span.0 as u16 })
        .collect();
    let slow = gateway
        .reports
        .slow(now)
        .into_iter()
        .map(|(server, factor)| SlowRow { server: short(&server), tenths: (factor * 10.0) as u16 })
        .collect();
    let hosts = if with_hosts {
        gateway.peers.known.borrow().values().map(|k| k.peer.clone()).collect()
    } else {
        Vec::new()
    };
    News {
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

fn on_news(gateway: &Rc<Gateway>, news: News) {
    let now = gateway.clock.now();
    if news.from.gossip == gateway.settings.gossip {
        return;
    }
    let host = news.from.host.clone();
    note_peer(gateway, now, &news);
    gateway.views.on_peer_revision(news.revision);
    for peer in news.hosts {
        if peer.gossip != gateway.settings.gossip {
            gateway.peers.add(now, peer);
        }
    }
    let names: HashMap<u32, ServerName> =
        gateway.views.servers().iter().map(|e| (short(&e.id), e.id.clone())).collect();
    let loads = news
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
    gateway.traffic.loads.borrow_mut().on_peer_loads(now, host, loads);
    for row in news.slow {
        if let Some(server) = names.get(&row.server) {
            let factor = f64::from(row.tenths) / 10.0;
            gateway.traffic.health.borrow_mut().on_slowness(now, server, factor);
        }
    }
    for row in news.suspects {
        if let Some(server) = names.get(&row.server) {
            let span = Millis(u64::from(row.ms));
            gateway.traffic.health.borrow_mut().on_peer_suspicion(now, server, span);
        }
    }
}

fn note_peer(gateway: &Gateway, now: Millis, news: &News) {
    let mut known = gateway.peers.known.borrow_mut();
    let entry = known.entry(news.from.gossip).or_insert_with(|| Known {
        peer: news.from.clone(),
        heard: None,
        added: now,
        version: 0,
        revision: 0,
        issuer: false,
    });
    let back = entry.heard.is_none_or(|at| now.since(at) >= SILENCE);
    entry.peer = news.from.clone();
    entry.heard = Some(now);
    entry.version = news.version;
    entry.revision = news.revision;
    entry.issuer = news.issuer;
    if back {
        gateway
            .journal
            .line(Event::PeerFound, &[("host", &news.from.host), ("version", &news.version)]);
    }
}

fn short(server: &ServerName) -> u32 {
    xxh3_64(server.as_str().as_bytes()) as u32
}
