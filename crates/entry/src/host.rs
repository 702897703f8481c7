//! One entry host: its parts, its start and its graceful stop.

use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use http::HeaderMap;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::ActiveConfig;
use yuccanotch_core::config::Model;
use yuccanotch_core::config::Team;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::event::emit;
use yuccanotch_core::event::Event;
use yuccanotch_core::finding::Finding;
use yuccanotch_core::fleet::HostIdentity;
use yuccanotch_core::ids::Incarnation;
use yuccanotch_core::ids::RequestId;
use yuccanotch_core::name::ModelName;
use yuccanotch_core::name::ModelVersion;
use yuccanotch_core::name::TeamName;
use yuccanotch_core::reason::RefusalReason;
use yuccanotch_core::store::Store;

use crate::admin::AdminServer;
use crate::admission::Admission;
use crate::answer::Responder;
use crate::callers;
use crate::callers::CallerRequest;
use crate::claims::Claims;
use crate::configuration::Configuration;
use crate::engine_client::EngineClient;
use crate::error::EntryError;
use crate::fleet::Fleet;
use crate::peers::PeerHandler;
use crate::peers::PeerKeys;
use crate::peers::PeerSettings;
use crate::peers::Peers;
use crate::problem::Refusal;
use crate::quarantine::Quarantines;
use crate::routing::Routing;
use crate::settings::Settings;
use crate::shares::Shares;
use crate::store_client::StoreClient;
use crate::telemetry::Telemetry;

const DRAIN_POLL: Duration = Duration::from_millis(10);
const RUNTIME_THREADS: usize = 2;
const OVERLOAD_RETRY: Millis = Millis(1_000);
const MAX_DEADLINE: Millis = Millis(24 * 3_600_000);

/// Header that carries the time in which a caller wants its answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "yuccanotch-deadline-ms";

/// An entry host.
pub struct Host {
    /// Settings.
    pub settings: Settings,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Clock.
    pub clock: Clock,
    /// Counters.
    pub telemetry: Arc<Telemetry>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// Client of the model engines and plain services.
    pub engines: Arc<EngineClient>,
    /// Router of model requests.
    pub routing: Routing,
    /// Configuration in force.
    pub configuration: Configuration,
    /// Claims of calls that may not be repeated.
    pub claims: Claims,
    /// Requests that crash backend servers.
    pub quarantine: Quarantines,
    /// Admission of requests.
    pub admission: Admission,
    /// Links to the other entry hosts.
    pub peers: Peers,
    /// Backend servers as observed.
    pub fleet: Fleet,
    /// Shares of the teams' limits.
    pub shares: Shares,
    /// Requests in flight.
    pub in_flight: AtomicUsize,
    draining: AtomicBool,
    stopped: AtomicBool,
    rng: Mutex<Pcg64Mcg>,
}

impl fmt::Debug for Host {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Host").field("host", &self.settings.host).finish_non_exhaustive()
    }
}

impl Host {
    /// Creates a host that is bound to its peer port and serves nothing yet.
    ///
    /// # Errors
    ///
    /// Returns an error when the peer port cannot be opened.
    pub fn new(settings: Settings) -> Result<Self, EntryError> {
        let clock = Clock::monotonic();
        let mut rng = match settings.seed {
            Some(seed) => Pcg64Mcg::seed_from_u64(seed),
            None => Pcg64Mcg::from_os_rng(),
        };
        let telemetry = Arc::new(Telemetry::new());
        let store: Arc<dyn Store> = Arc::new(StoreClient::new(settings.store));
        // Wall time orders the incarnations of one name; the random part tells two processes
        // apart that start in the same millisecond.
        let incarnation = Incarnation(clock.unix_now().0 << 16 | u64::from(rng.random::<u16>()));
        let peers = Peers::bind(peer_settings(&settings, incarnation)?)
            .map_err(|e| EntryError::Listen(settings.peer.to_string(), e))?;
        let identity = HostIdentity {
            host: settings.host.clone(),
            domain: settings.domain.clone(),
            address: peers.address(),
            incarnation,
        };
        let shares = Shares::new(settings.host.clone(), clock.clone());
        let fleet = Fleet::new(identity, clock.clone(), rng.random());
        Ok(Self {
            incarnation,
            peers,
            engines: Arc::new(EngineClient::new()),
            routing: Routing::new(settings.routing, rng.random()),
            configuration: Configuration::new(),
            claims: Claims::new(store.clone(), clock.clone(), settings.host.clone(), incarnation),
            quarantine: Quarantines::new(clock.clone()),
            admission: Admission::new(clock.clone(), settings.limits.in_flight),
            fleet,
            shares,
            in_flight: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            rng: Mutex::new(rng),
            settings,
            clock,
            telemetry,
            store,
        })
    }

    /// Returns a fresh request identifier.
    pub fn next_request_id(&self) -> RequestId {
        RequestId(self.rng.lock().expect("no panic while drawing").random())
    }

    /// Returns a fresh random number.
    pub fn random_u64(&self) -> u64 {
        self.rng.lock().expect("no panic while drawing").random()
    }

    /// Returns whether the host takes no new requests.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Fails the health check and refuses new requests from now on.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns the version of a model that new requests run on.
    pub fn serving_version(&self, name: &ModelName, model: &Model) -> ModelVersion {
        let view = self.fleet.view();
        self.routing.version(self.clock.now(), view, name, &model.version, model.layers)
    }

    /// Returns whether the host has stopped or was killed.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Returns when a caller refused for load should try again.
    pub fn load_retry_after(&self) -> Millis {
        OVERLOAD_RETRY
    }

    /// Counts, logs and answers a refusal.
    pub fn refuse(&self, responder: Responder, refusal: &Refusal) {
        self.count_refusal(responder.request(), refusal);
        responder.refuse(refusal);
    }

    /// Counts and logs a refusal.
    pub fn count_refusal(&self, request: RequestId, refusal: &Refusal) {
        self.telemetry.refusal(refusal.reason);
        emit(
            Event::RequestRefused,
            format_args!(
                "host={} request={request} reason={} outcome={}: {}",
                self.settings.host, refusal.reason, refusal.outcome, refusal.detail
            ),
        );
    }

    /// Answers the health check: 200 while new requests are welcome, else 503.
    pub fn answer_health(&self, responder: Responder) {
        let (status, text) = self.health();
        responder.respond(status, "text/plain", HeaderMap::new(), text);
    }

    /// Returns the status and text of the health check.
    pub fn health(&self) -> (u16, &'static str) {
        if self.is_draining() {
            (503, "draining\n")
        } else if self.configuration.current().is_none() {
            (503, "no configuration\n")
        } else {
            (200, "ok\n")
        }
    }

    /// Returns the configuration in force and the team that a request comes from.
    ///
    /// # Errors
    ///
    /// Refuses when there is no configuration or no team has the presented key.
    pub fn authenticate(&self, req: &CallerRequest) -> Result<Caller, Refusal> {
        let active = self.configuration.current().ok_or_else(|| {
            Refusal::not_run(RefusalReason::NoConfiguration, "no configuration has arrived yet")
                .retry_after(OVERLOAD_RETRY)
        })?;
        let key = req.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
        let team = key.and_then(|key| active.team_by_key(&Digest::of(key.as_bytes())));
        let (name, team) = team.ok_or_else(|| {
            Refusal::not_run(
                RefusalReason::UnknownTeam,
                "the Authorization header names no team by its bearer key",
            )
        })?;
        Ok(Caller { active, name, team })
    }

    /// Returns the point in time at which a request's deadline passes.
    ///
    /// # Errors
    ///
    /// Refuses a deadline header that is not a positive whole number of milliseconds.
    pub fn deadline(&self, req: &CallerRequest, default_ms: u64) -> Result<Millis, Refusal> {
        let span = match req.headers.get(DEADLINE_HEADER) {
            None => Millis(default_ms),
            Some(value) => value
                .to_str()
                .ok()
                .and_then(|text| text.parse().ok())
                .map(Millis)
                .filter(|span| *span > Millis::ZERO && *span <= MAX_DEADLINE)
                .ok_or_else(|| {
                    let text = format!(
                        "{DEADLINE_HEADER} must be a whole number of milliseconds from 1 to {}",
                        MAX_DEADLINE.0
                    );
                    Refusal::not_run(RefusalReason::BadDeadline, text)
                })?,
        };
        Ok(self.clock.now() + span)
    }
}

/// The team that a request comes from, under the configuration in force.
#[derive(Debug)]
pub struct Caller {
    /// Configuration in force when the request arrived.
    pub active: Arc<ActiveConfig>,
    /// Name of the team.
    pub name: TeamName,
    /// The team.
    pub team: Team,
}

fn peer_settings(
    settings: &Settings,
    incarnation: Incarnation,
) -> Result<PeerSettings, EntryError> {
    let keys = PeerKeys::new(settings.peer_keys.clone()).ok_or_else(|| {
        let text = "at least one key of 16 bytes is required".to_owned();
        EntryError::Settings(vec![Finding { pointer: "/peer_keys".to_owned(), text }])
    })?;
    Ok(PeerSettings {
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        incarnation,
        listen: settings.peer,
        keys,
    })
}

/// An entry host that listens and serves.
#[derive(Debug)]
pub struct Running {
    /// The host.
    pub host: Arc<Host>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for other entry hosts.
    pub peer: SocketAddr,
    runtime: Option<Runtime>,
    threads: Vec<JoinHandle<()>>,
}

impl Running {
    /// Opens the ports of a host and starts its work.
    ///
    /// # Errors
    ///
    /// Returns an error when a port cannot be opened.
    pub fn start(settings: Settings) -> Result<Self, EntryError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(RUNTIME_THREADS)
            .max_blocking_threads(settings.limits.in_flight + RUNTIME_THREADS)
            .enable_all()
            .build()?;
        let listener = runtime
            .block_on(TcpListener::bind(settings.callers))
            .map_err(|e| EntryError::Listen(settings.callers.to_string(), e))?;
        let callers = listener.local_addr()?;
        let host = Arc::new(Host::new(settings)?);
        let handler: Arc<dyn PeerHandler> = host.clone();
        host.peers.serve(Arc::downgrade(&handler))?;
        let admin = AdminServer::start(&host)?;
        let admin_address = admin.address;
        let mut threads = vec![admin.thread];
        threads.push(spawn(&host, "config", crate::configuration::run));
        threads.push(spawn(&host, "fleet", crate::fleet::run));
        threads.push(spawn(&host, "claims", crate::claims::run));
        threads.push(spawn(&host, "quarantine", crate::quarantine::run));
        for _ in 0..crate::claims::STORE_WORKERS {
            threads.push(spawn(&host, "claims-store", crate::claims::run_store_worker));
        }
        threads.push(spawn(&host, "shares", crate::shares::run));
        threads.push(spawn(&host, "orders", crate::orders::run));
        runtime.spawn(callers::serve(host.clone(), listener));
        emit(
            Event::HostStarted,
            format_args!("host={} callers={callers} admin={admin_address}", host.settings.host),
        );
        let peer = host.peers.address();
        Ok(Self { host, callers, admin: admin_address, peer, runtime: Some(runtime), threads })
    }

    /// Stops gracefully: fails the health check, waits for the balancer, lets requests end.
    ///
    /// Returns whether all requests in flight ended within the drain timeout.
    pub fn drain(mut self) -> bool {
        let host = self.host.clone();
        let limits = &host.settings.limits;
        emit(Event::HostDraining, format_args!("host={}", host.settings.host));
        host.start_draining();
        host.fleet.leave();
        thread::sleep(limits.drain_grace.to_duration());
        let end = host.clock.now() + limits.drain_timeout;
        let busy =
            || host.in_flight.load(Ordering::SeqCst) > 0 || host.claims.unrecorded_outcomes() > 0;
        while busy() && host.clock.now() < end {
            thread::sleep(DRAIN_POLL);
        }
        let whole = host.in_flight.load(Ordering::SeqCst) == 0;
        self.stop();
        emit(Event::HostStopped, format_args!("host={} whole={whole}", host.settings.host));
        whole
    }

    /// Stops at once, as a crash would: connections break and nothing is handed over.
    pub fn kill(mut self) {
        self.stop();
    }

    fn stop(&mut self) {
        self.host.draining.store(true, Ordering::SeqCst);
        self.host.stopped.store(true, Ordering::SeqCst);
        self.host.peers.stop();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn spawn(host: &Arc<Host>, name: &str, run: fn(&Arc<Host>)) -> JoinHandle<()> {
    let host = host.clone();
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || run(&host))
        .expect("the operating system grants a thread")
}
