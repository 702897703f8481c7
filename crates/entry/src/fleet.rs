//! Backend servers as this host sees them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::RwLock;
use std::thread;
use std::time::Duration;

use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::Server;
use yuccanotch_core::config::ServerUse;
use yuccanotch_core::engine::HostKind;
use yuccanotch_core::engine::HostList;
use yuccanotch_core::engine::LoadReport;
use yuccanotch_core::fleet::FleetMessage;
use yuccanotch_core::fleet::FleetReply;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::HostName;
use yuccanotch_core::name::ServerName;

use crate::host::Host;
use crate::store_client::StoreClient;

const POLL: Duration = Duration::from_millis(200);

/// One backend server.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// Name.
    pub name: ServerName,
    /// Failure domain.
    pub domain: DomainName,
    /// Address.
    pub address: String,
    /// Last load report; `None` for plain services and servers never heard of.
    pub report: Option<LoadReport>,
    /// When the report was received.
    pub reported_at: Millis,
    /// Whether the server takes no new work.
    pub leaving: bool,
    /// Whether the server does not answer.
    pub suspected: bool,
}

/// All backend servers of the configuration.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// The servers by name.
    pub servers: HashMap<ServerName, ServerView>,
}

/// One entry host.
#[derive(Clone, Debug)]
pub struct MemberView {
    /// Failure domain.
    pub domain: DomainName,
    /// Address for other entry hosts.
    pub address: SocketAddr,
    /// Whether the host answers, as far as this host knows.
    pub alive: bool,
    /// Whether the host is stopping.
    pub leaving: bool,
}

/// Entry hosts, this one included.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// The hosts by name.
    pub hosts: BTreeMap<HostName, MemberView>,
}

impl Members {
    /// Returns the hosts that answer and are not leaving, in the order of their names.
    pub fn usable(&self) -> impl Iterator<Item = (&HostName, &MemberView)> {
        self.hosts.iter().filter(|(_, member)| member.alive && !member.leaving)
    }

    /// Returns the usable hosts of a failure domain, in the order of their names.
    pub fn usable_in<'a>(
        &'a self,
        domain: &'a DomainName,
    ) -> impl Iterator<Item = (&'a HostName, &'a MemberView)> {
        self.usable().filter(move |(_, member)| member.domain == *domain)
    }
}

/// Result of a call to a backend server, as far as its health is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// The server answered.
    Answered,
    /// The server did not answer.
    Failed,
}

/// Keeps the view of the backend servers.
#[derive(Debug, Default)]
pub struct Fleet {
    view: RwLock<Arc<FleetView>>,
    members: RwLock<Arc<Members>>,
}

impl Fleet {
    /// Creates a fleet without servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the present view.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.read().expect("no panic while replacing the view").clone()
    }

    /// Reports how a server dealt with a call.
    pub fn report(&self, server: &ServerName, health: Health) {
        let mut view = self.view.write().expect("no panic while replacing the view");
        if let Some(server) = Arc::make_mut(&mut view).servers.get_mut(server) {
            server.suspected = health == Health::Failed;
        }
    }

    /// Returns the entry hosts as this host sees them.
    pub fn members(&self) -> Arc<Members> {
        self.members.read().expect("no panic while replacing the members").clone()
    }

    /// Answers another entry host.
    pub fn on_peer(&self, message: FleetMessage) -> FleetReply {
        match message {
            FleetMessage::Probe { number } => FleetReply::Ack { number },
        }
    }

    fn replace_members(&self, members: Members) {
        *self.members.write().expect("no panic while replacing the members") = Arc::new(members);
    }

    fn replace(&self, servers: HashMap<ServerName, ServerView>) {
        *self.view.write().expect("no panic while replacing the view") =
            Arc::new(FleetView { servers });
    }
}

/// Polls the backend servers until the host stops.
pub fn run(host: &Arc<Host>) {
    let list = StoreClient::new(host.settings.store);
    while !host.is_stopped() {
        if let Ok(list) = list.hosts() {
            host.fleet.replace_members(learn(host, list));
        }
        if let Some(active) = host.configuration.current() {
            let servers = active.declaration.servers.iter();
            let servers = servers.map(|(name, server)| (name.clone(), observe(host, name, server)));
            host.fleet.replace(servers.collect());
        }
        thread::sleep(POLL);
    }
}

fn learn(host: &Host, list: HostList) -> Members {
    let mut members = Members::default();
    for listed in list.hosts.into_iter().filter(|listed| listed.kind == HostKind::Entry) {
        let Ok(address) = listed.address.parse() else {
            continue;
        };
        let name = HostName::new(&listed.name);
        if name != host.settings.host {
            host.peers.set_address(&name, &listed.domain, address);
        }
        let leaving = listed.leaving;
        let member = MemberView { domain: listed.domain, address, alive: true, leaving };
        members.hosts.insert(name, member);
    }
    let own = MemberView {
        domain: host.settings.domain.clone(),
        address: host.peers.address(),
        alive: true,
        leaving: host.is_draining(),
    };
    members.hosts.insert(host.settings.host.clone(), own);
    members
}

fn observe(host: &Host, name: &ServerName, server: &Server) -> ServerView {
    let is_engine = matches!(server.used_for, ServerUse::Engine(_));
    let report = if is_engine { host.engines.load(&server.address).ok() } else { None };
    ServerView {
        name: name.clone(),
        domain: server.domain.clone(),
        address: server.address.clone(),
        reported_at: host.clock.now(),
        leaving: server.drain || report.as_ref().is_some_and(|report| report.leaving),
        suspected: is_engine && report.is_none(),
        report,
    }
}
