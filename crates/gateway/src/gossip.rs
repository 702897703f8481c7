//! The messages between hosts over UDP: which hosts are alive, how much work they have in progress,
//! and which servers are suspected or slow. The decisions are those of `core::peering`.
//!
//! A lost or late datagram only makes routing less accurate until the next one arrives.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;

use bytes::Bytes;
use rand::Rng;
use tokio::net::UdpSocket;
use tokio::time;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::reason::LeavingSource;
use yuccanotch_core::forward::revision::era_of;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::peering::messages::Content;
use yuccanotch_core::peering::messages::Message;
use yuccanotch_core::peering::messages::Outgoing;
use yuccanotch_core::peering::messages::Peer;
use yuccanotch_core::peering::messages::Status;
use yuccanotch_core::peering::node::Finding;
use yuccanotch_core::peering::node::Node;
use yuccanotch_core::peering::observations::largest_prefill;
use yuccanotch_core::peering::observations::short_hash;
use yuccanotch_core::peering::observations::LeavingRow;
use yuccanotch_core::peering::observations::LoadRow;
use yuccanotch_core::peering::observations::Observations;
use yuccanotch_core::peering::observations::PrefillRow;
use yuccanotch_core::peering::observations::SlowRow;
use yuccanotch_core::peering::observations::SuspectRow;
use yuccanotch_core::peering::timing::ROUND_INTERVAL;
use yuccanotch_core::placement::load::Load;
use yuccanotch_core::reachability::HostRow;

use crate::datagram::Datagram;
use crate::datagram::MAX_DATAGRAM_BYTES;
use crate::host::Gateway;
use crate::links;

/// The prefix of the store keys under which aggregators are listed, so that hosts that start find
/// them.
pub const HOSTS_PREFIX: &str = "yuccanotch/hosts/";
/// The most senders of unreadable messages that are remembered, so that each is logged once.
const MAX_UNREADABLE_SENDERS: usize = 64;
/// The largest difference between the lengths of two rounds, which keeps hosts from sending at the
/// same time, in ms.
const ROUND_JITTER_MS: u64 = 20;

/// The names of the servers by the short hashes that messages carry.
#[derive(Debug, Default)]
struct ServerNames {
    generation: u64,
    by_hash: HashMap<u32, ServerName>,
}

/// This host's part in the exchange between hosts.
#[derive(Debug)]
pub struct Peers {
    node: RefCell<Node>,
    names: RefCell<ServerNames>,
    incarnation: u64,
    /// The senders of messages that this host could not read.
    unreadable_senders: RefCell<HashSet<SocketAddrV4>>,
}

impl Peers {
    /// Creates the state of a host that knows the control addresses of `seeds`.
    pub fn new(own: Peer, seeds: &[SocketAddrV4]) -> Self {
        let seeds = gossip_addresses(&own, seeds);
        Self {
            node: RefCell::new(Node::new(own, seeds)),
            names: RefCell::default(),
            incarnation: rand::rng().random(),
            unreadable_senders: RefCell::default(),
        }
    }

    /// Returns what this host knows of others.
    pub fn node(&self) -> std::cell::Ref<'_, Node> {
        self.node.borrow()
    }

    /// Replaces the seeds, given by their control addresses.
    pub fn set_seeds(&self, own: &Peer, seeds: &[SocketAddrV4]) {
        self.node.borrow_mut().set_seeds(gossip_addresses(own, seeds));
    }

    /// Records that the store no longer names an issuer.
    pub fn on_issuer_gone(&self) {
        self.node.borrow_mut().on_issuer_gone();
    }
}

/// Returns the addresses on which hosts with the control addresses `seeds` receive messages; all
/// hosts use the same port.
fn gossip_addresses(own: &Peer, seeds: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
    seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), own.gossip.port())).collect()
}

/// Encodes this host's entry for the store.
pub fn encode_own_peer(gateway: &Gateway) -> Bytes {
    bincode::serde::encode_to_vec(gateway.settings.own_peer(), bincode::config::standard())
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
    gateway.peers.node.borrow_mut().add_listed(gateway.clock.now(), peer);
}

/// Receives and answers datagrams for the life of the process.
pub async fn run(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, SocketAddr::V4(from))) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let Some(datagram) = Datagram::decode(&buf[..len]) else {
            record_unreadable(&gateway, from);
            continue;
        };
        gateway.links.on_rows(&datagram.reach);
        gateway.on_limit_rows(&datagram.limits);
        links::apply_changes(&gateway);
        gateway.peers.node.borrow_mut().on_store_contact(
            gateway.clock.now(),
            &datagram.message,
            datagram.store,
        );
        if let Some(answer) = on_message(&gateway, datagram.message) {
            send(&gateway, &socket, vec![answer]).await;
        }
    }
}

/// Counts a message that cannot be read, and logs its sender once.
fn record_unreadable(gateway: &Gateway, from: SocketAddrV4) {
    gateway.counters.message_unreadable();
    let mut senders = gateway.peers.unreadable_senders.borrow_mut();
    if senders.len() < MAX_UNREADABLE_SENDERS && senders.insert(from) {
        gateway.event_log.line(Event::MessageUnreadable, &[("from", &from)]);
    }
}

/// Runs the rounds of the exchange for the life of the process.
pub async fn send_rounds(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    loop {
        let jitter = rand::rng().random_range(0..ROUND_JITTER_MS);
        time::sleep((ROUND_INTERVAL + Millis(jitter)).to_duration()).await;
        let now = gateway.clock.now();
        let status = own_status(&gateway);
        let observations = own_observations(&gateway);
        let outgoing = gateway.peers.node.borrow_mut().on_round(now, &status, observations);
        log_findings(&gateway);
        gateway.update_limit_shares();
        if gateway.peers.node().is_aggregator() {
            adopt_others(&gateway);
        }
        send(&gateway, &socket, outgoing).await;
    }
}

async fn send(gateway: &Gateway, socket: &UdpSocket, outgoing: Vec<Outgoing>) {
    if outgoing.is_empty() {
        return;
    }
    let from = own_status(gateway);
    let is_full_exchange = gateway.peers.node().is_full_exchange();
    let notices = gateway.crashes.notices(is_full_exchange);
    let now = gateway.clock.now();
    let answered_at = gateway.store.answered_at().filter(|_| gateway.follows_store.get());
    let store = gateway.peers.node().store_contact(now, answered_at);
    let turn = gateway.links.next_turn();
    let limit_rows = gateway.routing.limits.borrow().rows(now, turn);
    for Outgoing { to, content } in outgoing {
        let notices = match content {
            Content::Summary { .. } | Content::Peers(_) => gateway.crashes.notices(true),
            _ => notices.clone(),
        };
        let is_full = is_full_exchange || matches!(content, Content::Summary { .. });
        let rows = gateway.links.rows(own_host_row(gateway), is_full);
        let message = Message { from: from.clone(), content, notices };
        let datagram = Datagram { message, reach: rows, limits: limit_rows.clone(), store };
        let Some(buf) = datagram.encode() else {
            continue;
        };
        // If the socket's buffer is full, the datagram is lost; the next round replaces it.
        let _ = socket.send_to(&buf, SocketAddr::V4(to)).await;
    }
}

fn own_status(gateway: &Gateway) -> Status {
    Status {
        peer: gateway.settings.own_peer(),
        incarnation: gateway.peers.incarnation,
        is_stopping: gateway.shutdown.is_stopping(),
        is_issuer: gateway.is_issuer.get(),
        reads_store: gateway.hears_store(gateway.clock.now()),
        revision: gateway.views.revision(),
    }
}

/// Returns what this host says of its own links.
fn own_host_row(gateway: &Gateway) -> HostRow {
    let reaches = gateway.links.state().reaches_servers();
    HostRow {
        relay: gateway.settings.relay,
        domain: short_hash(gateway.settings.domain.as_str()),
        reaches: reaches && !gateway.shutdown.is_stopping() && gateway.views.servers_read(),
        age_ms: 0,
    }
}

/// Returns what this host itself observes about servers.
fn own_observations(gateway: &Gateway) -> Observations {
    let now = gateway.clock.now();
    let own = gateway.routing.loads.borrow();
    let loads = own.own_loads().map(|(server, load)| LoadRow {
        server: short_hash(server.as_str()),
        active: load.active as u16,
        first: load.first as u16,
        kilo_token_layers: (load.token_layers / 1e3).round() as u32,
    });
    let prefill = own
        .own_prefill()
        .map(|(server, tokens)| PrefillRow::new(short_hash(server.as_str()), tokens));
    let health = gateway.routing.health.borrow();
    let suspects = health.suspects(now).map(|(server, span)| SuspectRow {
        server: short_hash(server.as_str()),
        ms: u16::try_from(span.0).unwrap_or(u16::MAX),
    });
    let slow = gateway.reports.slow_servers(now);
    let slow = slow.into_iter().map(|(server, factor)| SlowRow {
        server: short_hash(server.as_str()),
        tenths: (factor * 10.0) as u16,
    });
    let servers = gateway.views.servers();
    let leaving = servers
        .announced_leaving()
        .map(|(server, born)| LeavingRow { server: short_hash(server.as_str()), born });
    Observations {
        loads: loads.collect(),
        suspects: suspects.collect(),
        slow: slow.collect(),
        leaving: leaving.collect(),
        prefill: largest_prefill(prefill.collect()),
    }
}

/// Applies a message of another host; returns the answer.
fn on_message(gateway: &Rc<Gateway>, message: Message) -> Option<Outgoing> {
    let now = gateway.clock.now();
    let status = own_status(gateway);
    gateway.store.on_era(era_of(message.from.revision));
    gateway.views.on_peer_revision(message.from.revision);
    gateway.crashes.on_notices(&message.notices);
    let answer = gateway.peers.node.borrow_mut().on_message(now, &status, message);
    log_findings(gateway);
    if !gateway.peers.node().is_aggregator() {
        adopt_others(gateway);
    }
    answer
}

/// Takes the observations of other hosts into the state that routing uses.
fn adopt_others(gateway: &Gateway) {
    let now = gateway.clock.now();
    let mut node = gateway.peers.node.borrow_mut();
    let Some(others) = node.take_others() else {
        return;
    };
    let servers = gateway.views.servers();
    let mut names = gateway.peers.names.borrow_mut();
    if names.generation != servers.generation() {
        names.generation = servers.generation();
        names.by_hash = servers.iter().map(|e| (short_hash(e.id.as_str()), e.id.clone())).collect();
    }
    let loads = others.loads.iter().filter_map(|row| {
        let load = Load {
            active: f32::from(row.active),
            token_layers: row.kilo_token_layers as f32 * 1e3,
            first: f32::from(row.first),
        };
        Some((names.by_hash.get(&row.server)?.clone(), load))
    });
    let prefill = others
        .prefill
        .iter()
        .filter_map(|row| Some((names.by_hash.get(&row.server)?.clone(), row.tokens())));
    gateway.routing.loads.borrow_mut().on_others(now, loads.collect(), prefill.collect());
    let mut health = gateway.routing.health.borrow_mut();
    for row in &others.slow {
        if let Some(server) = names.by_hash.get(&row.server) {
            health.on_slowness(now, server, f64::from(row.tenths) / 10.0);
        }
    }
    for row in &others.suspects {
        let Some(server) = names.by_hash.get(&row.server) else {
            continue;
        };
        if gateway.links.believes_suspicion(server) {
            health.on_peer_suspicion(now, server, Millis(u64::from(row.ms)));
        } else {
            health.on_suspicion_refuted(server);
        }
    }
    drop(servers);
    for row in &others.leaving {
        if let Some(server) = names.by_hash.get(&row.server) {
            gateway.record_leaving(server, row.born, LeavingSource::Host);
        }
    }
}

fn log_findings(gateway: &Gateway) {
    let findings = gateway.peers.node.borrow_mut().take_findings();
    for finding in findings {
        match finding {
            Finding::Found(peer) => {
                gateway.event_log.line(Event::PeerFound, &[("host", &peer.host)]);
            }
            Finding::Lost(peer) => {
                gateway.event_log.line(Event::PeerLost, &[("host", &peer.host)]);
            }
            Finding::DomainFound(domain) => {
                gateway.routing.on_domain(&domain, true);
                gateway.event_log.line(Event::DomainFound, &[("domain", &domain)]);
            }
            Finding::DomainLost(domain) => {
                gateway.routing.on_domain(&domain, false);
                gateway.event_log.line(Event::DomainLost, &[("domain", &domain)]);
            }
            Finding::Avoided(peer) => {
                gateway.event_log.line(Event::AggregatorAvoided, &[("host", &peer.host)]);
            }
            Finding::BecameAggregator => gateway.event_log.line(Event::AggregatorBegan, &[]),
            Finding::CeasedAggregator => gateway.event_log.line(Event::AggregatorEnded, &[]),
        }
    }
}
