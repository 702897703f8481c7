//! Entry hosts of the measurement: real peer links and membership, but no callers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::Rng as _;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::HostList;
use yuccanotch_core::fleet::FleetAction;
use yuccanotch_core::fleet::FleetEvent;
use yuccanotch_core::fleet::FleetNode;
use yuccanotch_core::fleet::FleetReply;
use yuccanotch_core::fleet::HostIdentity;
use yuccanotch_core::fleet::Timing;
use yuccanotch_core::ids::Incarnation;
use yuccanotch_core::name::HostName;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::peer::PeerHeader;
use yuccanotch_core::peer::PeerReply;
use yuccanotch_core::peer::PeerRequest;
use yuccanotch_entry::peers::PeerHandler;
use yuccanotch_entry::peers::PeerKeys;
use yuccanotch_entry::peers::PeerSettings;
use yuccanotch_entry::peers::Peers;

use super::synthetic::domain;
use super::synthetic::load_report;

const TICK_PERIOD: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Millis = Millis(1_000);
/// Bytes of the TCP and IP headers of one segment, with the timestamp option.
const SEGMENT_HEADER_BYTES: u64 = 52;
/// Link measurements in the load report of each backend server.
const LINKS_PER_SERVER: usize = 20;

/// Entry host in this process with real peer links and a membership node, but without callers.
pub(super) struct Node {
    pub(super) peers: Peers,
    pub(super) node: Mutex<FleetNode>,
    /// Actions of the node that have not been performed.
    pub(super) pending: Mutex<Vec<FleetAction>>,
    pub(super) clock: Clock,
}

impl Node {
    /// Passes an event to the membership node; keeps its actions and returns its reply.
    pub(super) fn handle(&self, event: FleetEvent) -> Option<FleetReply> {
        let actions = self.node.lock().expect("no panic").on_event(self.clock.now(), event);
        let mut answer = None;
        let mut pending = self.pending.lock().expect("no panic");
        for action in actions {
            match action {
                FleetAction::Reply(reply) => answer = Some(reply),
                action => pending.push(action),
            }
        }
        answer
    }
}

impl PeerHandler for Node {
    fn on_request(&self, header: PeerHeader, request: PeerRequest) -> PeerReply {
        let PeerRequest::Fleet(message) = request else {
            return PeerReply::Declined;
        };
        let reply = self.handle(FleetEvent::Request { from: header.host, message });
        PeerReply::Fleet(reply.unwrap_or(FleetReply::Noted))
    }
}

/// Starts an entry host that listens on loopback.
pub(super) fn start_node(index: usize) -> std::io::Result<Arc<Node>> {
    let host = HostName::new(&format!("host-{index}"));
    let peers = Peers::bind(PeerSettings {
        host: host.clone(),
        domain: domain(index),
        incarnation: Incarnation(1),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        keys: PeerKeys::new(vec![vec![7; 32]]).expect("the key is long enough"),
    })?;
    let clock = Clock::monotonic();
    let identity = HostIdentity {
        host,
        domain: domain(index),
        address: peers.address(),
        incarnation: Incarnation(1),
    };
    let now = clock.now();
    let node = FleetNode::new(identity, Timing::default(), now, clock.unix_now(), index as u64);
    let node = Arc::new(Node { peers, node: Mutex::new(node), pending: Mutex::default(), clock });
    let handler: Arc<dyn PeerHandler> = node.clone();
    node.peers.serve(Arc::downgrade(&handler))?;
    Ok(node)
}

/// Ticks all nodes and performs their actions for `span`.
pub(super) fn run_nodes(
    nodes: &[Arc<Node>],
    list: &HostList,
    rng: &mut Pcg64Mcg,
    loads: &mut BTreeMap<ServerName, u32>,
    span: Duration,
) {
    let start = Instant::now();
    let mut round = 0;
    while start.elapsed() < span {
        round += 1;
        for node in nodes {
            node.handle(FleetEvent::Tick);
            let actions = std::mem::take(&mut *node.pending.lock().expect("no panic"));
            for action in actions {
                perform_action(node, action, list, rng, loads);
            }
        }
        thread::sleep((TICK_PERIOD * round).saturating_sub(start.elapsed()));
    }
}

fn perform_action(
    node: &Arc<Node>,
    action: FleetAction,
    list: &HostList,
    rng: &mut Pcg64Mcg,
    loads: &mut BTreeMap<ServerName, u32>,
) {
    match action {
        FleetAction::Call { to, message } => {
            let sender = Arc::clone(node);
            let from = to.clone();
            let request = PeerRequest::Fleet(message);
            node.peers.call_with_callback(&to, request, CALL_TIMEOUT, move |result| {
                if let Ok(PeerReply::Fleet(reply)) = result {
                    sender.handle(FleetEvent::Reply { from, reply });
                }
            });
        }
        FleetAction::Observe(server) => {
            let load = loads.entry(server.clone()).or_insert(32);
            *load = load.saturating_add_signed(rng.random_range(-8..=8)).min(64);
            let report = Some(load_report(server.as_str(), *load, LINKS_PER_SERVER));
            node.handle(FleetEvent::Observed { server, report });
        }
        FleetAction::ReadHostList => drop(node.handle(FleetEvent::Listed(list.clone()))),
        FleetAction::Reply(_) => {}
    }
}

/// Returns whether a host holds a load report of each of `servers` servers.
pub(super) fn knows_all_loads(node: &Node, servers: usize) -> bool {
    let guard = node.node.lock().expect("no panic");
    let known = guard.servers().filter(|(_, record)| record.report.is_some()).count();
    known == servers
}

/// Returns the bytes on all links so far, headers included.
pub(super) fn total_link_bytes(nodes: &[Arc<Node>]) -> u64 {
    let of = |node: &Arc<Node>| {
        let figures = node.peers.stats();
        // The other side acknowledges each written segment with one of its own.
        let segments = 2 * (figures.writes + figures.reads);
        figures.bytes_in + figures.bytes_out + SEGMENT_HEADER_BYTES * segments
    };
    nodes.iter().map(of).sum()
}

/// Returns the calls between all hosts so far.
pub(super) fn total_calls(nodes: &[Arc<Node>]) -> u64 {
    nodes.iter().map(|node| node.peers.stats().calls).sum()
}

/// Returns the mean age in ms of the load reports over all hosts.
pub(super) fn mean_load_age_ms(nodes: &[Arc<Node>]) -> f64 {
    let mut sum = 0;
    let mut count = 0;
    for node in nodes {
        let now = node.clock.now();
        let guard = node.node.lock().expect("no panic");
        for (_, record) in guard.servers().filter(|(_, record)| record.report.is_some()) {
            sum += now.since(record.observed_at).0;
            count += 1;
        }
    }
    sum as f64 / f64::from(count.max(1))
}
