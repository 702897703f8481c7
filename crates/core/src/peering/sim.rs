//! A simulated cluster for tests and randomised runs: messages can be lost and overtake each other,
//! and hosts can crash, freeze, start anew, be cut off and lose what they send as aggregators.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use crate::clock::Millis;
use crate::name::DomainName;
use crate::name::HostName;
use crate::peering::messages::Content;
use crate::peering::messages::Message;
use crate::peering::messages::Peer;
use crate::peering::messages::Status;
use crate::peering::messages::StoreContact;
use crate::peering::node::Node;
use crate::peering::observations::short_hash;
use crate::peering::observations::LoadRow;
use crate::peering::observations::Observations;
use crate::peering::observations::PrefillRow;
use crate::peering::timing::ROUND_INTERVAL;

/// The port of every host.
const PORT: u16 = 7_000;
/// The delay of a message.
const LINK_DELAY: Millis = Millis(3);
/// The least additional delay of a late message. Two rounds pass meanwhile, so that messages of the
/// same sender overtake it.
const MIN_EXTRA_DELAY: Millis = Millis(2 * ROUND_INTERVAL.0 + 10);
/// The span over which the additional delays of late messages vary.
const EXTRA_DELAY_SPREAD: Millis = ROUND_INTERVAL;
/// The step between the additional delays of consecutive messages; it has no common divisor with
/// the spread, so that all delays occur.
const EXTRA_DELAY_STEP: u64 = 17;
/// The bandwidth of the strongest hosts of a domain, and of all others, in Mbit/s.
const LINK_MBPS: (u32, u32) = (200, 20);

/// The server of whose load the hosts tell each other.
const SERVER: &str = "server";
/// The tokens of the prompt of each request.
pub const SIM_PROMPT_TOKENS: u64 = 700;
/// The number of different servers at which hosts may have further requests.
const EXTRA_SERVERS: u32 = 40;
/// Of the hosts of a domain, one in so many has the wider link.
const STRONG_HOST_PERIOD: usize = 13;

/// How long after the store's last answer a host may still say that it reads the store: as long as a
/// call that is held for the next change.
const HELD_CALL_TIME: Millis = Millis(2_400);

/// How a simulated host reads the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SimStore {
    /// It does not, or is of an earlier release and says only [`Status::reads_store`].
    #[default]
    Untold,
    /// The store answers it at regular intervals.
    Answering,
    /// The store has not answered since this time.
    SilentSince(Millis),
}

/// A simulated host.
#[derive(Debug)]
pub struct SimHost {
    /// Its part in the exchange; `None` while it is down.
    pub node: Option<Node>,
    /// What the host tells others of itself.
    pub status: Status,
    /// How it reads the store.
    pub store: SimStore,
    /// The number of its requests in progress at the one server that all hosts use.
    pub load: u16,
    /// Whether it neither runs nor receives for now.
    pub is_frozen: bool,
    /// Whether its digests and summaries are lost, as large datagrams are on a path that drops
    /// fragments, while its small messages arrive.
    pub loses_digests: bool,
    /// Whether a cut separates it from all hosts but those with the same number.
    pub side: u32,
    next_round: Millis,
    incarnations: u64,
    /// The messages and bytes that it has sent.
    pub sent: Traffic,
    /// The messages and bytes that it has received.
    pub received: Traffic,
}

/// Messages and bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// The number of messages.
    pub messages: u64,
    /// Their encoded length in bytes.
    pub bytes: u64,
}

impl Traffic {
    fn add(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
    }
}

/// A cluster of simulated hosts.
#[derive(Debug)]
pub struct Sim {
    /// The time.
    pub now: Millis,
    /// The hosts.
    pub hosts: Vec<SimHost>,
    by_address: BTreeMap<SocketAddrV4, usize>,
    seeds: Vec<SocketAddrV4>,
    // Messages by the time of their arrival, with the index of the receiver.
    in_flight: BTreeMap<(Millis, u64), (usize, usize, Message, StoreContact)>,
    next_message: u64,
    /// Every message whose number is a multiple of this one is lost; 0 loses none.
    pub loss_period: u64,
    /// Every message whose number is a multiple of this one is so late that later ones overtake it;
    /// 0 delays none.
    pub delay_period: u64,
    bytes_between_domains: u64,
    /// The time between the store's answers to a host that reads it.
    pub store_check_interval: Millis,
    /// The number of further servers at which each host has a request in progress.
    pub extra_servers: u32,
}

impl Sim {
    /// Creates `domains` domains of `hosts_per_domain` hosts that all start now; the first hosts of
    /// the first three domains are the seeds.
    pub fn new(domains: usize, hosts_per_domain: usize) -> Self {
        let mut hosts = Vec::new();
        let mut by_address = BTreeMap::new();
        for domain in 0..domains {
            for index in 0..hosts_per_domain {
                let peer = sim_peer(domain, index);
                by_address.insert(peer.gossip, hosts.len());
                hosts.push(SimHost::new(peer, hosts.len()));
            }
        }
        let seeds = (0..domains.min(3)).map(|domain| sim_peer(domain, 0).gossip).collect();
        let mut sim = Self {
            now: Millis::ZERO,
            hosts,
            by_address,
            seeds,
            in_flight: BTreeMap::new(),
            next_message: 0,
            loss_period: 0,
            delay_period: 0,
            bytes_between_domains: 0,
            store_check_interval: Millis(300),
            extra_servers: 0,
        };
        (0..sim.hosts.len()).for_each(|index| sim.start(index));
        sim
    }

    /// Starts a host that is down, without any state.
    pub fn start(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.incarnations += 1;
        host.status.incarnation = host.incarnations;
        host.status.is_stopping = false;
        host.node = Some(Node::new(host.status.peer.clone(), self.seeds.clone()));
        host.next_round = self.now + Millis(index as u64 % ROUND_INTERVAL.0);
    }

    /// Tells a host to stop; it goes on with its part until its process ends.
    pub fn stop(&mut self, index: usize) {
        self.hosts[index].status.is_stopping = true;
    }

    /// Ends the process of a host.
    pub fn crash(&mut self, index: usize) {
        self.hosts[index].node = None;
    }

    /// Returns the failure domain of a host.
    pub fn domain_of(&self, index: usize) -> &DomainName {
        &self.hosts[index].status.peer.domain
    }

    /// Returns the bytes that went from one domain to another.
    pub fn bytes_between_domains(&self) -> u64 {
        self.bytes_between_domains
    }

    /// Lets `span` pass.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Millis(1);
            self.deliver();
            for index in 0..self.hosts.len() {
                self.run_round(index);
            }
        }
    }

    fn run_round(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        if now < host.next_round || host.is_frozen {
            return;
        }
        host.next_round = now + ROUND_INTERVAL;
        let mut loads = vec![own_load(host.load)];
        loads.extend((0..self.extra_servers).map(|i| extra_load(index as u32 + i)));
        let prefill = vec![own_prefill(host.load)];
        let observations = Observations { loads, prefill, ..Default::default() };
        let Some(node) = &mut host.node else {
            return;
        };
        let outgoing = node.on_round(now, &host.status, observations);
        node.take_findings();
        for message in outgoing {
            self.send(index, message.to, message.content);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddrV4, content: Content) {
        let mut status = self.hosts[from].status.clone();
        let contact = self.store_contact(from, &mut status);
        let message = Message { from: status, content, notices: Vec::new() };
        let bytes = encoded_len(&message);
        self.hosts[from].sent.add(bytes);
        self.next_message += 1;
        let is_lost = is_due(self.next_message, self.loss_period)
            || (self.hosts[from].loses_digests && is_of_aggregator(&message.content));
        let Some(&receiver) = self.by_address.get(&to) else {
            return;
        };
        if self.domain_of(from) != self.domain_of(receiver) {
            self.bytes_between_domains += bytes;
        }
        if !is_lost {
            let key = (self.now + self.next_delay(), self.next_message);
            self.in_flight.insert(key, (from, receiver, message, contact));
        }
    }

    /// Returns what a host says of the store's answers, and sets what its `status` says of them.
    fn store_contact(&self, index: usize, status: &mut Status) -> StoreContact {
        let answered_at = match self.hosts[index].store {
            SimStore::Untold => return StoreContact::default(),
            SimStore::Answering => Millis(self.now.0 - self.now.0 % self.store_check_interval.0),
            SimStore::SilentSince(since) => since,
        };
        status.reads_store = self.now.since(answered_at) < HELD_CALL_TIME;
        let node = self.hosts[index].node.as_ref();
        node.map_or(StoreContact::default(), |n| n.store_contact(self.now, Some(answered_at)))
    }

    /// Returns the delay of the message that was numbered last.
    fn next_delay(&self) -> Millis {
        if !is_due(self.next_message, self.delay_period) {
            return LINK_DELAY;
        }
        let extra = self.next_message * EXTRA_DELAY_STEP % EXTRA_DELAY_SPREAD.0;
        LINK_DELAY + MIN_EXTRA_DELAY + Millis(extra)
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (from, to, message, contact) = entry.remove();
            let is_cut = self.hosts[from].side != self.hosts[to].side;
            let host = &mut self.hosts[to];
            if is_cut || host.is_frozen {
                continue;
            }
            let bytes = encoded_len(&message);
            host.received.add(bytes);
            let Some(node) = &mut host.node else {
                continue;
            };
            node.on_store_contact(self.now, &message, contact);
            let answer = node.on_message(self.now, &host.status, message);
            if let Some(answer) = answer {
                self.send(to, answer.to, answer.content);
            }
        }
    }

    /// Returns the load of all other hosts as a host sees it; `None` if there is no news since the
    /// last call.
    pub fn seen_load(&mut self, index: usize) -> Option<u16> {
        let others = self.hosts[index].node.as_mut()?.take_others()?;
        let server = short_hash(SERVER);
        Some(others.loads.iter().filter(|row| row.server == server).map(|row| row.active).sum())
    }

    /// Returns the pending prefill of all other hosts as a host sees it, in tokens; `None` if there is
    /// no news since the last call.
    pub fn seen_prefill(&mut self, index: usize) -> Option<u64> {
        let others = self.hosts[index].node.as_mut()?.take_others()?;
        let server = short_hash(SERVER);
        Some(others.prefill.iter().filter(|r| r.server == server).map(PrefillRow::tokens).sum())
    }

    /// Returns the indexes of the hosts that run, grouped by domain and side of a cut.
    pub fn groups(&self) -> Vec<BTreeSet<usize>> {
        let mut groups: BTreeMap<(DomainName, u32), BTreeSet<usize>> = BTreeMap::new();
        for (index, host) in self.hosts.iter().enumerate() {
            if host.node.is_some() && !host.is_frozen {
                let key = (host.status.peer.domain.clone(), host.side);
                groups.entry(key).or_default().insert(index);
            }
        }
        groups.into_values().collect()
    }
}

impl SimHost {
    fn new(peer: Peer, index: usize) -> Self {
        let status = Status {
            peer,
            incarnation: 0,
            is_stopping: false,
            is_issuer: false,
            reads_store: false,
            revision: 0,
        };
        Self {
            node: None,
            status,
            store: SimStore::default(),
            load: index as u16 % 5 + 1,
            is_frozen: false,
            loses_digests: false,
            side: 0,
            next_round: Millis::ZERO,
            incarnations: 0,
            sent: Traffic::default(),
            received: Traffic::default(),
        }
    }
}

/// Returns whether a fault that meets every `period`th message meets this one; none if 0.
fn is_due(number: u64, period: u64) -> bool {
    period > 0 && number.is_multiple_of(period)
}

fn is_of_aggregator(content: &Content) -> bool {
    matches!(content, Content::Digest { .. } | Content::Summary { .. })
}

fn own_load(load: u16) -> LoadRow {
    let server = short_hash(SERVER);
    LoadRow { server, active: load, first: load, kilo_token_layers: u32::from(load) }
}

/// Returns the pending prefill of a host with `load` requests, each of one prompt.
fn own_prefill(load: u16) -> PrefillRow {
    PrefillRow::new(short_hash(SERVER), u64::from(load) * SIM_PROMPT_TOKENS)
}

fn extra_load(index: u32) -> LoadRow {
    let server = short_hash(&format!("server-{}", index % EXTRA_SERVERS));
    LoadRow { server, active: 1, first: 0, kilo_token_layers: 12 }
}

fn encoded_len(message: &Message) -> u64 {
    let buf = bincode::serde::encode_to_vec(message, bincode::config::standard());
    buf.map_or(0, |buf| buf.len() as u64)
}

fn sim_peer(domain: usize, index: usize) -> Peer {
    let ip = Ipv4Addr::new(10, domain as u8, (index >> 8) as u8, index as u8);
    let (strong, weak) = LINK_MBPS;
    Peer {
        host: HostName::new(&format!("host-{domain}-{index}")),
        domain: DomainName::new(&format!("domain-{domain}")),
        gossip: SocketAddrV4::new(ip, PORT),
        control: SocketAddrV4::new(ip, PORT + 1),
        link_mbps: if index.is_multiple_of(STRONG_HOST_PERIOD) { strong } else { weak },
    }
}
