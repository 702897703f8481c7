//! The state of a host, its startup, its periodic tasks and its shutdown.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;
use tokio::time;
use yuccanotch_core::bytes::ByteBudget;
use yuccanotch_core::catch_up::Waits;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::durations::Durations;

use crate::adapter::ProtocolAdapter;
use crate::answer::AnswerBody;
use crate::body::BodyTable;
use crate::callers;
use crate::callers::RequestSource;
use crate::connections::ConnectionTable;
use crate::counters::Counters;
use crate::event_log::EventLog;
use crate::gossip;
use crate::gossip::Peers;
use crate::issuer;
use crate::links;
use crate::links::Links;
use crate::listing;
use crate::memory::MemoryReport;
use crate::net;
use crate::pool::Pool;
use crate::probe_server;
use crate::quarantine;
use crate::quarantine::CrashTracker;
use crate::reload;
use crate::reload::ReadSettings;
use crate::reports::ReportCache;
use crate::routing::RoutingState;
use crate::settings::Changeable;
use crate::settings::Settings;
use crate::shutdown;
use crate::shutdown::Shutdown;
use crate::store::StoreClient;
use crate::supervision;
use crate::sync;
use crate::sync::SyncState;
use crate::views::Views;
use crate::watch;

/// The time between runs of the periodic work: expiry of state and of idle connections, and the
/// flush of the log.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The time between report requests to a server that was found slow.
const SLOW_CHECK_INTERVAL: Millis = Millis(1_000);

/// The state that the tasks of a host share.
pub struct Gateway {
    /// The settings that the host was started with.
    pub settings: Settings,
    /// The clock of all timeouts and timestamps.
    pub clock: Clock,
    /// The translation of the platform's messages.
    pub adapter: Rc<dyn ProtocolAdapter>,
    /// The structured log.
    pub event_log: Rc<EventLog>,
    /// Client connections to backend servers and the store.
    pub pool: Rc<Pool>,
    /// The client of the store.
    pub store: Rc<StoreClient>,
    /// The configuration in force and the known backend servers.
    pub views: Rc<Views>,
    /// Loads, health and retry budgets of the backend servers.
    pub routing: Rc<RoutingState>,
    /// How long requests take.
    pub durations: RefCell<Durations>,
    /// Metrics that the host exposes.
    pub counters: Counters,
    /// Recent reports of model servers.
    pub reports: ReportCache,
    /// Requests in flight and the server crashes that they may have caused.
    pub crashes: CrashTracker,
    /// This host's links to the servers.
    pub links: Rc<Links>,
    /// The other hosts, and what they observe.
    pub peers: Peers,
    /// The fetches of changes from other hosts, and the answers to them.
    pub sync: SyncState,
    /// Whether this host follows changes in the store itself.
    pub follows_store: Cell<bool>,
    /// The state of the shutdown.
    pub shutdown: Shutdown,
    /// Whether this host is the order issuer, the one that sends placement orders to model servers.
    pub is_issuer: Cell<bool>,
    /// The number of open connections of callers.
    pub caller_connections: Cell<usize>,
    /// The bytes that the process may buffer, and those that it does.
    pub byte_budget: ByteBudget,
    /// The bodies of callers that are being read.
    pub open_bodies: Rc<BodyTable>,
    /// The connections of callers and of other hosts.
    pub connections: Rc<ConnectionTable>,
    /// What the log says about exhausted memory and closed connections.
    pub memory_report: MemoryReport,
    /// The number of requests of other hosts in progress.
    pub taken_requests: Cell<usize>,
    active_requests: Rc<Cell<usize>>,
    changeable: RefCell<Rc<Changeable>>,
}

/// Counts as one request in progress until it is dropped.
pub struct ActiveRequest(Rc<Cell<usize>>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Gateway {
    /// Creates the state of a host.
    ///
    /// # Errors
    ///
    /// Returns an error when the counters cannot be set up.
    pub fn new(
        settings: Settings,
        adapter: Rc<dyn ProtocolAdapter>,
        clock: Clock,
    ) -> io::Result<Rc<Self>> {
        let event_log = Rc::new(EventLog::new(clock.clone()));
        let pool = Pool::new(clock.clone(), settings.source);
        let store = StoreClient::new(
            adapter.clone(),
            settings.store,
            pool.clone(),
            clock.clone(),
            event_log.clone(),
        );
        let views = Views::new(adapter.clone(), clock.clone(), event_log.clone());
        let links = Links::new(clock.clone(), event_log.clone());
        let routing = RoutingState::new(
            clock.clone(),
            settings.domain.clone(),
            event_log.clone(),
            views.clone(),
            links.clone(),
            pool.clone(),
            settings.changeable.repeats,
        );
        let reports_clock = clock.clone();
        let crashes = CrashTracker::new(clock.clone(), event_log.clone());
        let peers = Peers::new(settings.own_peer(), &settings.changeable.seeds);
        let changeable = RefCell::new(Rc::new(settings.changeable.clone()));
        let byte_budget = ByteBudget::new(settings.memory_bytes);
        let connections = ConnectionTable::new(clock.clone(), callers::MIN_ANSWERED_IDLE);
        let sync = SyncState::new(Waits::new(settings.change_limit));
        Ok(Rc::new(Self {
            settings,
            clock,
            adapter,
            event_log,
            pool,
            store,
            views,
            routing,
            durations: RefCell::default(),
            counters: Counters::new().map_err(io::Error::other)?,
            reports: ReportCache::new(reports_clock),
            crashes,
            links,
            peers,
            sync,
            follows_store: Cell::new(false),
            shutdown: Shutdown::new(),
            is_issuer: Cell::new(false),
            caller_connections: Cell::new(0),
            byte_budget,
            open_bodies: Rc::default(),
            connections,
            memory_report: MemoryReport::default(),
            taken_requests: Cell::new(0),
            active_requests: Rc::default(),
            changeable,
        }))
    }

    /// Returns the current values of the settings that may change while the process runs.
    pub fn changeable(&self) -> Rc<Changeable> {
        self.changeable.borrow().clone()
    }

    /// Replaces the settings that may change while the process runs.
    pub fn set_changeable(&self, changeable: &Changeable) {
        self.routing.set_retry_limits(changeable.repeats);
        self.peers.set_seeds(&self.settings.own_peer(), &changeable.seeds);
        self.changeable.replace(Rc::new(changeable.clone()));
    }

    /// Returns the number of requests in progress.
    pub fn active_requests(&self) -> usize {
        self.active_requests.get()
    }

    /// Counts a request in progress until the returned value is dropped.
    pub fn begin_request(&self) -> ActiveRequest {
        self.active_requests.set(self.active_requests.get() + 1);
        ActiveRequest(self.active_requests.clone())
    }

    /// Returns the number of hosts believed alive, this one included.
    pub fn live_hosts(&self) -> usize {
        self.peers.node().host_count(self.clock.now())
    }

    /// Returns the number of hosts that share the retry budget and the link between failure domains,
    /// this one included. A host that is cut off from the others still divides both by their number,
    /// since they may still reach servers.
    pub fn hosts_sharing_retries(&self) -> usize {
        let window = self.changeable().repeats.window;
        self.peers.node().sharing_count(self.clock.now(), window)
    }

    fn readiness_response(&self) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::whole(Bytes::new()));
        if !self.accepts_callers() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }

    fn accepts_callers(&self) -> bool {
        !self.shutdown.is_stopping()
            && self.views.configuration().is_some()
            && !self.views.servers().is_empty()
    }
}

/// Runs a host until it is told to stop and its requests have ended or the grace period is over.
/// `read_settings` reads the settings again for a reload; without it they never change.
///
/// # Errors
///
/// Returns an error when an address cannot be bound.
pub async fn run(gateway: Rc<Gateway>, read_settings: Option<ReadSettings>) -> io::Result<()> {
    let settings = &gateway.settings;
    let callers = net::listen(settings.callers)?;
    let relay = net::listen(settings.relay)?;
    let ready = net::listen(settings.ready)?;
    let control = net::listen(settings.control)?;
    let metrics = net::listen(settings.metrics)?;
    let gossip_socket = UdpSocket::bind(SocketAddr::V4(settings.gossip)).await?;
    let mut term = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    gateway.event_log.line(
        Event::GatewayStarted,
        &[("host", &settings.host), ("domain", &settings.domain), ("callers", &settings.callers)],
    );
    spawn_loops(&gateway, gossip_socket, control);
    spawn_listeners(&gateway, callers, relay, ready, metrics);
    if let Some(read_settings) = read_settings {
        tokio::task::spawn_local(reload::run(gateway.clone(), hangup, read_settings));
    }
    term.recv().await;
    shutdown::run(&gateway).await;
    Ok(())
}

/// Spawns the loops that run for the life of the process.
fn spawn_loops(gateway: &Rc<Gateway>, gossip_socket: UdpSocket, control: TcpListener) {
    supervision::spawn(gateway, "watch", watch::run);
    supervision::spawn(gateway, "links", links::run);
    supervision::spawn(gateway, "issuer", issuer::run);
    supervision::spawn(gateway, "sync", sync::run);
    supervision::spawn(gateway, "listing", listing::run);
    supervision::spawn(gateway, "upkeep", run_upkeep);
    let socket = Rc::new(gossip_socket);
    let rounds_socket = socket.clone();
    supervision::spawn(gateway, "gossip", move |gateway| gossip::run(gateway, socket.clone()));
    supervision::spawn(gateway, "rounds", move |gateway| {
        gossip::send_rounds(gateway, rounds_socket.clone())
    });
    let control = Rc::new(control);
    supervision::spawn(gateway, "sync server", move |gateway| {
        sync::serve(gateway, control.clone())
    });
}

/// Spawns the loops that accept connections, of callers until the shutdown closes their listeners.
fn spawn_listeners(
    gateway: &Rc<Gateway>,
    callers: TcpListener,
    relay: TcpListener,
    ready: TcpListener,
    metrics: TcpListener,
) {
    let metrics_gateway = gateway.clone();
    tokio::task::spawn_local(probe_server::serve(gateway.clock.clone(), metrics, move || {
        Response::new(AnswerBody::whole(Bytes::from(
            metrics_gateway.counters.render(&metrics_gateway),
        )))
    }));
    let ready_gateway = gateway.clone();
    tokio::task::spawn_local(probe_server::serve(gateway.clock.clone(), ready, move || {
        ready_gateway.readiness_response()
    }));
    tokio::task::spawn_local(callers::accept(gateway.clone(), callers, RequestSource::Caller));
    tokio::task::spawn_local(callers::accept(gateway.clone(), relay, RequestSource::Host));
}

/// Does the periodic work for the life of the process.
async fn run_upkeep(gateway: Rc<Gateway>) {
    let mut slow_checked_at = Millis::ZERO;
    loop {
        time::sleep(TICK_INTERVAL).await;
        let now = gateway.clock.now();
        gateway.views.on_tick(now);
        gateway.routing.set_hosts(gateway.live_hosts());
        gateway.routing.on_tick(now, gateway.hosts_sharing_retries());
        gateway.crashes.on_tick();
        gateway.pool.on_tick();
        gateway.report_memory();
        quarantine::refute_crashes(&gateway);
        gateway.event_log.flush();
        if now.since(slow_checked_at) >= SLOW_CHECK_INTERVAL {
            slow_checked_at = now;
            recheck_slow_servers(&gateway);
        }
    }
}

/// Requests new reports from the servers that this host found slow.
fn recheck_slow_servers(gateway: &Rc<Gateway>) {
    for (server, _) in gateway.reports.slow_servers(gateway.clock.now()) {
        if gateway.routing.is_paused(&server) {
            continue;
        }
        let address = gateway.views.servers().get(&server).map(|e| e.address);
        let Some(address) = address else {
            continue;
        };
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            gateway.check_slowness(&server, address, SLOW_CHECK_INTERVAL).await;
        });
    }
}
