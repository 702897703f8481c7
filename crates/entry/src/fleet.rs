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

/// Time for which a failed call makes a server suspected, unless a later call is answered.
const SUSPICION_TIMEOUT: Millis = Millis(2_000);

/// One backend server as this host sees it.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// Name.
    pub name: ServerName,
    /// Failure domain.
    pub domain: DomainName,
    /// Address.
    pub address: String,
    /// Last load report; `None` for plain services and for servers that have not reported yet.
    pub report: Option<Arc<LoadReport>>,
    /// When the report was observed.
    pub reported_at: Millis,
    /// Whether the server takes no new work.
    pub leaving: bool,
    /// Whether the server is suspected not to answer.
    pub suspected: bool,
}

/// All backend servers of the configuration.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// The servers by name.
    pub servers: HashMap<ServerName, ServerView>,
}

/// One entry host as this host sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// Failure domain.
    pub domain: DomainName,
    /// Address for other entry hosts.
    pub address: SocketAddr,
    /// Whether the host answers, as far as this host knows.
    pub alive: bool,
    /// Whether the host's failure domain as a whole does not answer, so that the last known state
    /// of the host may be out of date.
    pub cut_off: bool,
    /// Whether the host is stopping.
    pub leaving: bool,
}

/// The entry hosts, this one included.
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

/// Outcome of a call to a backend server, as evidence of the server's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// The server answered.
    Answered,
    /// The server did not answer.
    Failed,
}

/// State shared by [`Fleet`], its driver and the callbacks of the peer links.
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
        self.node.lock().expect("lock is not poisoned")
    }

    /// Passes an event to the node; returns its reply and sends all other actions to the driver.
    fn handle(&self, event: FleetEvent) -> Option<FleetReply> {
        let actions = self.node().on_event(self.clock.now(), event);
        let mut answer = None;
        for action in actions {
            match action {
                FleetAction::Reply(reply) => answer = Some(reply),
                // Sending fails only when the host has stopped and the driver with it.
                action => drop(self.action_tx.send(action)),
            }
        }
        answer
    }
}

/// Membership of the entry hosts and observation of the backend servers.
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
    /// Creates the state of a host that knows only itself.
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

    /// Returns the current view of the backend servers.
    pub fn view(&self) -> Arc<FleetView> {
        self.inner.view.read().expect("lock is not poisoned").clone()
    }

    /// Returns the entry hosts as this host sees them.
    pub fn members(&self) -> Arc<Members> {
        self.inner.members.read().expect("lock is not poisoned").clone()
    }

    /// Records whether a server answered a call; a failed call makes it suspected at once.
    pub fn report_health(&self, server: &ServerName, health: Health) {
        let failed = health == Health::Failed;
        let now = self.inner.clock.now();
        let mut suspects = self.inner.suspects.lock().expect("lock is not poisoned");
        let changed = if failed {
            suspects.insert(server.clone(), now).is_none()
        } else {
            suspects.remove(server).is_some()
        };
        drop(suspects);
        if !changed {
            return;
        }
        let mut view = self.inner.view.write().expect("lock is not poisoned");
        if let Some(server) = Arc::make_mut(&mut view).servers.get_mut(server) {
            server.suspected = failed;
        }
    }

    /// Answers a message of another entry host.
    pub fn on_peer(&self, header: &PeerHeader, message: FleetMessage) -> FleetReply {
        let from = header.host.clone();
        self.inner.handle(FleetEvent::Request { from, message }).unwrap_or(FleetReply::Noted)
    }

    /// Tells other entry hosts that this one is stopping.
    pub fn leave(&self) {
        self.inner.handle(FleetEvent::Leave);
    }
}
