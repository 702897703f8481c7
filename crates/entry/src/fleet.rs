//! Backend servers as this host sees them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::RwLock;
use std::thread;
use std::time::Duration;

use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::Server;
use yuccanotch_core::config::ServerUse;
use yuccanotch_core::engine::LoadReport;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::ServerName;

use crate::host::Host;

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

    fn replace(&self, servers: HashMap<ServerName, ServerView>) {
        *self.view.write().expect("no panic while replacing the view") =
            Arc::new(FleetView { servers });
    }
}

/// Polls the backend servers until the host stops.
pub fn run(host: &Arc<Host>) {
    while !host.is_stopped() {
        if let Some(active) = host.configuration.current() {
            let servers = active.declaration.servers.iter();
            let servers = servers.map(|(name, server)| (name.clone(), observe(host, name, server)));
            host.fleet.replace(servers.collect());
        }
        thread::sleep(POLL);
    }
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
