//! Entry hosts and backend servers as this host sees them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::RwLock;

use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::LoadReport;
use yuccanotch_core::fleet::FleetAction;
use yuccanotch_core::fleet::FleetEvent;
use yuccanotch_core::fleet::FleetMessage;
use yuccanotch_core::fleet::FleetNode;
use yuccanotch_core::fleet::FleetReply;
use yuccanotch_core::fleet::HostIdentity;
use yuccanotch_core::fleet::Timing;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::HostName;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::peer::PeerHeader;

mod driver;
mod view;

pub use driver::run;

/// Time for which a failed call makes a server suspected, unless it is observed meanwhile.
const SUSPICION_TIMEOUT: Millis = Millis(2_000);

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
    pub report: Option<Arc<LoadReport>>,
    /// When the report was observed.
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
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// Failure domain.
    pub domain: DomainName,
    /// Address for other entry hosts.
    pub address: SocketAddr,
    /// Whether the host answers, as far as this host knows.
    pub alive: bool,
    /// Whether the host's failure domain does not answer, so that nothing newer is known.
    pub cut_off: bool,
    /// Whether the host is stopping.
    pub leaving: bool,
}

/// Entry hosts, this one included.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
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

/// State that the facade, the driver and the callbacks of the peer links share.
struct Inner {
    clock: Clock,
    node: Mutex<FleetNode>,
    action_tx: Sender<FleetAction>,
    suspects: Mutex<HashMap<ServerName, Millis>>,
    view: RwLock<Arc<FleetView>>,
    members: RwLock<Arc<Members>>,
}

impl Inner {
    fn node(&self) -> MutexGuard<'_, FleetNode> {
        self.node.lock().expect("no panic while handling an event")
    }

    /// Passes an event to the node; actions go to the driver, a reply is returned.
    fn handle(&self, event: FleetEvent) -> Option<FleetReply> {
        let actions = self.node().on_event(self.clock.now(), event);
        let mut answer = None;
        for action in actions {
            match action {
                FleetAction::Reply(reply) => answer = Some(reply),
                // The driver is gone only when the host has stopped.
                action => drop(self.action_tx.send(action)),
            }
        }
        answer
    }
}

/// Keeps the view of the entry hosts and backend servers.
pub struct Fleet {
    inner: Arc<Inner>,
    action_rx: Mutex<Option<Receiver<FleetAction>>>,
}

impl fmt::Debug for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Fleet").finish_non_exhaustive()
    }
}

impl Fleet {
    /// Creates the view of a host that knows only itself.
    pub fn new(identity: HostIdentity, clock: Clock, seed: u64) -> Self {
        let (action_tx, action_rx) = mpsc::channel();
        let now = clock.now();
        let node = FleetNode::new(identity, Timing::default(), now, clock.unix_now(), seed);
        let inner = Inner {
            clock,
            node: Mutex::new(node),
            action_tx,
            suspects: Mutex::default(),
            view: RwLock::default(),
            members: RwLock::default(),
        };
        Self { inner: Arc::new(inner), action_rx: Mutex::new(Some(action_rx)) }
    }

    /// Returns the present view of the backend servers.
    pub fn view(&self) -> Arc<FleetView> {
        self.inner.view.read().expect("no panic while replacing the view").clone()
    }

    /// Returns the entry hosts as this host sees them.
    pub fn members(&self) -> Arc<Members> {
        self.inner.members.read().expect("no panic while replacing the members").clone()
    }

    /// Reports how a server dealt with a call.
    pub fn report_health(&self, server: &ServerName, health: Health) {
        let failed = health == Health::Failed;
        let now = self.inner.clock.now();
        let mut suspects = self.inner.suspects.lock().expect("no panic while reporting");
        let changed = if failed {
            suspects.insert(server.clone(), now).is_none()
        } else {
            suspects.remove(server).is_some()
        };
        drop(suspects);
        if !changed {
            return;
        }
        let mut view = self.inner.view.write().expect("no panic while replacing the view");
        if let Some(server) = Arc::make_mut(&mut view).servers.get_mut(server) {
            server.suspected = failed;
        }
    }

    /// Answers another entry host.
    pub fn on_peer(&self, header: &PeerHeader, message: FleetMessage) -> FleetReply {
        let from = header.host.clone();
        self.inner.handle(FleetEvent::Request { from, message }).unwrap_or(FleetReply::Noted)
    }

    /// Tells other entry hosts that this one is stopping.
    pub fn leave(&self) {
        self.inner.handle(FleetEvent::Leave);
    }
}
