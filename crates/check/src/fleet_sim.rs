//! Simulation of entry hosts that exchange membership messages over a faulty network.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashSet;
use std::net::SocketAddr;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use smallvec::SmallVec;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::HostKind;
use yuccanotch_core::engine::HostList;
use yuccanotch_core::engine::ListedHost;
use yuccanotch_core::engine::LoadReport;
use yuccanotch_core::engine::Role;
use yuccanotch_core::fleet::DeclaredServer;
use yuccanotch_core::fleet::FleetAction;
use yuccanotch_core::fleet::FleetEvent;
use yuccanotch_core::fleet::FleetMessage;
use yuccanotch_core::fleet::FleetNode;
use yuccanotch_core::fleet::FleetReply;
use yuccanotch_core::fleet::HostIdentity;
use yuccanotch_core::fleet::Timing;
use yuccanotch_core::ids::Incarnation;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::HostName;
use yuccanotch_core::name::ServerName;

/// A higher number of messages means that messages cause each other endlessly.
const MAX_MESSAGES_PER_TICK: u32 = 20_000;
const TICK_PERIOD: Millis = Millis(100);
const UNIX_TIME_AT_START: Millis = Millis(1_000_000_000);
const MAX_MESSAGE_DELAY_MS: u64 = 3;

/// Message in transit, with the index of its sender.
#[derive(Clone, Debug)]
enum Packet {
    Request { from: usize, message: FleetMessage },
    Reply { from: usize, reply: FleetReply },
}

/// Simulated entry host.
#[derive(Debug)]
pub struct SimHost {
    /// Membership node; `None` while the host is down.
    pub node: Option<FleetNode>,
    /// Name.
    pub name: HostName,
    /// Failure domain.
    pub domain: DomainName,
    /// Time until which the host is paused.
    pub paused_until: Millis,
    /// Number of starts so far.
    pub incarnation: u64,
    /// Packets that arrived during a pause.
    delayed_packets: Vec<Packet>,
}

/// Simulated hosts, network, backend servers and host list.
#[derive(Debug)]
pub struct FleetSim {
    /// Current time.
    pub now: Millis,
    /// Entry hosts.
    pub hosts: Vec<SimHost>,
    /// Indexes of the senders and receivers between which messages are dropped.
    pub cut_links: HashSet<(usize, usize)>,
    /// Probability that a message is lost.
    pub loss_rate: f64,
    /// Whether the platform answers requests for the host list.
    pub platform_available: bool,
    /// Names of the hosts and backend servers that the host list shows as leaving.
    pub listed_leaving: HashSet<String>,
    /// Load reports of the backend servers.
    pub reports: BTreeMap<ServerName, LoadReport>,
    /// Number of messages sent.
    pub sent_messages: u64,
    declared_servers: Vec<DeclaredServer>,
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    /// Receivers and packets in transit, by sequence number.
    packets: BTreeMap<u64, (usize, Packet)>,
    sequence: u64,
    rng: Pcg64Mcg,
}

impl FleetSim {
    /// Creates and starts hosts and backend servers in `domains` failure domains.
    pub fn new(
        seed: u64,
        domains: usize,
        hosts_per_domain: usize,
        servers_per_domain: usize,
    ) -> Self {
        let mut sim = Self {
            now: Millis::ZERO,
            hosts: Vec::new(),
            cut_links: HashSet::new(),
            loss_rate: 0.0,
            platform_available: true,
            listed_leaving: HashSet::new(),
            reports: BTreeMap::new(),
            sent_messages: 0,
            declared_servers: Vec::new(),
            queue: BinaryHeap::new(),
            packets: BTreeMap::new(),
            sequence: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        for d in 0..domains {
            let domain = DomainName::new(&format!("domain-{d}"));
            for i in 0..servers_per_domain {
                sim.add_server(&domain, &format!("server-{d}-{i}"));
            }
            for i in 0..hosts_per_domain {
                sim.hosts.push(SimHost {
                    node: None,
                    name: HostName::new(&format!("host-{d}-{i}")),
                    domain: domain.clone(),
                    paused_until: Millis::ZERO,
                    incarnation: 0,
                    delayed_packets: Vec::new(),
                });
            }
        }
        for host in 0..sim.hosts.len() {
            sim.start(host);
        }
        sim
    }

    fn add_server(&mut self, domain: &DomainName, name: &str) {
        let name = ServerName::new(name);
        self.declared_servers.push(DeclaredServer { name: name.clone(), domain: domain.clone() });
        let report = LoadReport {
            server: name.clone(),
            boot: 1,
            age_ms: Millis::ZERO,
            running: 0,
            waiting: 0,
            slots: 32,
            step_us: 1_000,
            kv_percent: 0,
            leaving: false,
            holdings: SmallVec::new(),
            role: Role::Both,
            fencing: None,
            links_us: Vec::new(),
        };
        self.reports.insert(name, report);
    }

    /// Starts a host that is down, under a new incarnation.
    pub fn start(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.incarnation += 1;
        host.paused_until = Millis::ZERO;
        let identity = HostIdentity {
            host: host.name.clone(),
            domain: host.domain.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
            incarnation: Incarnation(host.incarnation),
        };
        let seed = self.rng.random();
        let unix = UNIX_TIME_AT_START + self.now;
        host.node = Some(FleetNode::new(identity, Timing::default(), self.now, unix, seed));
        self.handle_event(index, FleetEvent::Declared(self.declared_servers.clone()));
    }

    /// Crashes a host.
    pub fn crash(&mut self, index: usize) {
        self.hosts[index].node = None;
        self.hosts[index].delayed_packets.clear();
    }

    /// Pauses a host for `span`; messages to it are delivered afterwards.
    pub fn pause(&mut self, index: usize, span: Millis) {
        self.hosts[index].paused_until = self.now + span;
    }

    /// Cuts the links from the hosts that `from` selects to those that `to` selects.
    pub fn cut_links_between(
        &mut self,
        from: impl Fn(&SimHost) -> bool,
        to: impl Fn(&SimHost) -> bool,
    ) {
        for (i, sender) in self.hosts.iter().enumerate().filter(|(_, host)| from(host)) {
            let receivers = self.hosts.iter().enumerate().filter(|(_, host)| to(host));
            let receivers = receivers.filter(|(_, host)| host.name != sender.name);
            self.cut_links.extend(receivers.map(|(j, _)| (i, j)));
        }
    }

    /// Advances the time by `span` and calls `after` at the end of each tick.
    ///
    /// # Errors
    ///
    /// Returns the first error of `after`, or an error when messages cause each other endlessly.
    pub fn run(
        &mut self,
        span: Millis,
        mut after: impl FnMut(&Self) -> Result<(), String>,
    ) -> Result<(), String> {
        let end = self.now + span;
        while self.now < end {
            let next = self.now + TICK_PERIOD;
            self.deliver_until(next)?;
            self.now = next;
            for index in 0..self.hosts.len() {
                self.deliver_delayed(index);
                self.handle_event(index, FleetEvent::Tick);
            }
            after(self)?;
        }
        Ok(())
    }

    /// Delivers the packets that are due by `end`.
    ///
    /// # Errors
    ///
    /// Returns an error after more than [`MAX_MESSAGES_PER_TICK`] packets.
    fn deliver_until(&mut self, end: Millis) -> Result<(), String> {
        let mut delivered = 0;
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end {
                return Ok(());
            }
            delivered += 1;
            if delivered > MAX_MESSAGES_PER_TICK {
                return Err(format!(
                    "over {MAX_MESSAGES_PER_TICK} messages delivered within {TICK_PERIOD}"
                ));
            }
            self.queue.pop();
            self.now = at.max(self.now);
            let (to, packet) = self.packets.remove(&id).expect("each packet is queued once");
            self.deliver(to, packet);
        }
        Ok(())
    }

    fn is_paused(&self, index: usize) -> bool {
        self.now < self.hosts[index].paused_until
    }

    fn deliver_delayed(&mut self, index: usize) {
        if !self.is_paused(index) {
            for packet in std::mem::take(&mut self.hosts[index].delayed_packets) {
                self.deliver(index, packet);
            }
        }
    }

    fn deliver(&mut self, to: usize, packet: Packet) {
        if self.is_paused(to) {
            self.hosts[to].delayed_packets.push(packet);
            return;
        }
        match packet {
            Packet::Request { from, message } => {
                let from_name = self.hosts[from].name.clone();
                let request = FleetEvent::Request { from: from_name, message };
                self.handle_event_from(to, request, Some(from));
            }
            Packet::Reply { from, reply } => {
                let from = self.hosts[from].name.clone();
                self.handle_event(to, FleetEvent::Reply { from, reply });
            }
        }
    }

    fn handle_event(&mut self, index: usize, event: FleetEvent) {
        self.handle_event_from(index, event, None);
    }

    fn handle_event_from(&mut self, index: usize, event: FleetEvent, requester: Option<usize>) {
        if self.is_paused(index) {
            return;
        }
        let now = self.now;
        let Some(node) = self.hosts[index].node.as_mut() else {
            return;
        };
        for action in node.on_event(now, event) {
            self.perform(index, action, requester);
        }
    }

    fn perform(&mut self, index: usize, action: FleetAction, requester: Option<usize>) {
        match action {
            FleetAction::Call { to, message } => {
                if let Some(to) = self.hosts.iter().position(|host| host.name == to) {
                    self.send(index, to, Packet::Request { from: index, message });
                }
            }
            FleetAction::Reply(reply) => {
                let to = requester.expect("a reply follows a request");
                self.send(index, to, Packet::Reply { from: index, reply });
            }
            FleetAction::Observe(server) => {
                let report = self.reports.get(&server).cloned();
                self.handle_event(index, FleetEvent::Observed { server, report });
            }
            FleetAction::ReadHostList => {
                if self.platform_available {
                    self.handle_event(index, FleetEvent::Listed(self.host_list()));
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, packet: Packet) {
        self.sent_messages += 1;
        let lost = self.cut_links.contains(&(from, to)) || self.rng.random_bool(self.loss_rate);
        if lost {
            return;
        }
        let at = self.now + Millis(self.rng.random_range(1..=MAX_MESSAGE_DELAY_MS));
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.packets.insert(self.sequence, (to, packet));
    }

    fn host_list(&self) -> HostList {
        let entries = self.hosts.iter().enumerate().map(|(i, host)| ListedHost {
            name: host.name.as_str().to_owned(),
            domain: host.domain.clone(),
            address: format!("127.0.0.1:{}", 1_000 + i),
            kind: HostKind::Entry,
            leaving: self.listed_leaving.contains(host.name.as_str()),
        });
        let servers = self.declared_servers.iter().map(|server| ListedHost {
            name: server.name.as_str().to_owned(),
            domain: server.domain.clone(),
            address: "127.0.0.1:1".to_owned(),
            kind: HostKind::Engine,
            leaving: self.listed_leaving.contains(server.name.as_str()),
        });
        HostList { hosts: entries.chain(servers).collect() }
    }
}
