//! State of an entry host, its start and its graceful stop.

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
use tokio::sync::watch;
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

const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long a host waits, at the end of the drain timeout, for the final answers of requests in flight
/// to leave.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(300);
const ASYNC_WORKER_THREADS: usize = 2;
/// Time after which a caller should retry when the host was overloaded or had no configuration.
const OVERLOAD_RETRY_AFTER: Millis = Millis(1_000);
/// Longest time that a caller may set in [`DEADLINE_HEADER`].
const MAX_DEADLINE: Millis = Millis(24 * 3_600_000);

/// Request header with the time within which the caller needs the complete answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "yuccanotch-deadline-ms";

/// State of an entry host, shared by all its threads.
pub struct Host {
    /// Settings read at the start.
    pub settings: Settings,
    /// Number that tells this process from earlier ones with the same host name.
    pub incarnation: Incarnation,
    /// Monotonic clock of all timers and deadlines.
    pub clock: Clock,
    /// Counters and gauges.
    pub telemetry: Arc<Telemetry>,
    /// Client of the platform's store.
    pub store: Arc<dyn Store>,
    /// Client of the model engines and plain services.
    pub engines: Arc<EngineClient>,
    /// Router that chooses chains for model requests.
    pub routing: Routing,
    /// Configuration in force.
    pub configuration: Configuration,
    /// Claims on the idempotency keys of calls that must not run twice.
    pub claims: Claims,
    /// Record of requests that crashed backend servers.
    pub quarantine: Quarantines,
    /// Admission control and queue of requests.
    pub admission: Admission,
    /// Links to the other entry hosts.
    pub peers: Peers,
    /// Entry hosts and backend servers as this host sees them.
    pub fleet: Fleet,
    /// Shares of the teams' rate limits that this host may use.
    pub shares: Shares,
    /// Number of callers' requests that are being served.
    pub in_flight: AtomicUsize,
    draining: AtomicBool,
    // Whether requests in flight get their final answer now, since the process is about to exit.
    cut: watch::Sender<bool>,
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
        // The wall-clock time orders the incarnations of a host name; the random low 16 bits tell
        // apart two processes that start in the same millisecond.
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
            cut: watch::Sender::new(false),
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
        RequestId(self.rng.lock().expect("lock is not poisoned").random())
    }

    /// Returns a fresh random number.
    pub fn random_u64(&self) -> u64 {
        self.rng.lock().expect("lock is not poisoned").random()
    }

    /// Returns whether the host refuses new requests because it is stopping.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Makes the host fail its health check and refuse new requests from now on.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Resolves when requests in flight must get their final answer, since the process is about to
    /// exit.
    pub async fn requests_cut(&self) {
        // The sender lives as long as the host.
        let _ = self.cut.subscribe().wait_for(|&is_cut| is_cut).await;
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

    /// Returns the time after which a caller that was refused because of overload should retry.
    pub fn overload_retry_after(&self) -> Millis {
        OVERLOAD_RETRY_AFTER
    }

    /// Counts and logs a refusal and sends it to the caller.
    pub fn refuse(&self, responder: Responder, refusal: &Refusal) {
        self.count_refusal(responder.request(), refusal);
        responder.refuse(refusal);
    }

    /// Counts and logs a refusal.
    pub fn count_refusal(&self, request: RequestId, refusal: &Refusal) {
        self.telemetry.count_refusal(refusal.reason);
        emit(
            Event::RequestRefused,
            format_args!(
                "host={} request={request} reason={} outcome={}: {}",
                self.settings.host, refusal.reason, refusal.outcome, refusal.detail
            ),
        );
    }

    /// Answers the health check: 200 while the host accepts requests, 503 otherwise.
    pub fn answer_health(&self, responder: Responder) {
        let (status, text) = self.health();
        responder.respond(status, "text/plain", HeaderMap::new(), text);
    }

    /// Returns the HTTP status and the body of the health check.
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
    /// Returns a refusal when there is no configuration or no team has the presented key.
    pub fn authenticate(&self, req: &CallerRequest) -> Result<Caller, Refusal> {
        let active = self.configuration.current().ok_or_else(|| {
            Refusal::not_run(RefusalReason::NoConfiguration, "this host has no configuration yet")
                .retry_after(OVERLOAD_RETRY_AFTER)
        })?;
        let key = req.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
        let team = key.and_then(|key| active.team_by_key(&Digest::of(key.as_bytes())));
        let (name, team) = team.ok_or_else(|| {
            Refusal::not_run(
                RefusalReason::UnknownTeam,
                "the Authorization header has no bearer key that belongs to a team",
            )
        })?;
        Ok(Caller { active, name, team })
    }

    /// Returns the time at which a request's deadline passes, on the host's clock.
    ///
    /// Without a deadline header the request may take `default_ms`.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the deadline header is not a whole number of milliseconds from 1 to
    /// 24 h.
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

/// An authenticated caller, under the configuration in force.
#[derive(Debug)]
pub struct Caller {
    /// Configuration in force when the request arrived.
    pub active: Arc<ActiveConfig>,
    /// Name of the team.
    pub name: TeamName,
    /// Key, limits and priority of the team.
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

/// An entry host whose ports are open and whose threads run.
#[derive(Debug)]
pub struct RunningHost {
    /// State of the host.
    pub host: Arc<Host>,
    /// Address on which callers are served.
    pub callers: SocketAddr,
    /// Address on which operators are served.
    pub admin: SocketAddr,
    /// Address on which other entry hosts are served.
    pub peer: SocketAddr,
    runtime: Option<Runtime>,
    threads: Vec<JoinHandle<()>>,
}

impl RunningHost {
    /// Opens the ports of a host and starts its threads.
    ///
    /// # Errors
    ///
    /// Returns an error when a port cannot be opened.
    pub fn start(settings: Settings) -> Result<Self, EntryError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(ASYNC_WORKER_THREADS)
            .max_blocking_threads(settings.limits.in_flight + ASYNC_WORKER_THREADS)
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
        threads.push(spawn_thread(&host, "config", crate::configuration::run));
        threads.push(spawn_thread(&host, "fleet", crate::fleet::run));
        threads.push(spawn_thread(&host, "claims", crate::claims::run));
        threads.push(spawn_thread(&host, "quarantine", crate::quarantine::run));
        for _ in 0..crate::claims::STORE_WORKERS {
            threads.push(spawn_thread(&host, "claims-store", crate::claims::run_store_worker));
        }
        threads.push(spawn_thread(&host, "shares", crate::shares::run));
        threads.push(spawn_thread(&host, "orders", crate::orders::run));
        runtime.spawn(callers::serve(host.clone(), listener));
        emit(
            Event::HostStarted,
            format_args!("host={} callers={callers} admin={admin_address}", host.settings.host),
        );
        let peer = host.peers.address();
        Ok(Self { host, callers, admin: admin_address, peer, runtime: Some(runtime), threads })
    }

    /// Stops gracefully: fails the health check, waits until load balancers have noticed it, and
    /// lets the requests in flight end. Those that outlast the drain timeout are answered as unknown,
    /// except for begun streams, which break off.
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
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        let all_ended = host.in_flight.load(Ordering::SeqCst) == 0;
        if !all_ended {
            host.cut.send_replace(true);
            thread::sleep(FINAL_ANSWER_TIME);
        }
        self.stop();
        emit(Event::HostStopped, format_args!("host={} whole={all_ended}", host.settings.host));
        all_ended
    }

    /// Stops at once, as a crash would: connections break and requests in flight are abandoned.
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

fn spawn_thread(host: &Arc<Host>, name: &str, run: fn(&Arc<Host>)) -> JoinHandle<()> {
    let host = host.clone();
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || run(&host))
        .expect("the thread can be spawned")
}
