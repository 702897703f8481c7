//! Starts, controls and stops all stand-ins of a process.

use std::collections::BTreeMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use quick_error::quick_error;
use tokio::runtime::Handle;
use tokio::runtime::Runtime;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::HostKind;
use yuccanotch_core::engine::ListedHost;
use yuccanotch_core::finding::Finding;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::ServerName;

use crate::admin::AdminHandler;
use crate::engine::Driver;
use crate::engine::EngineHandler;
use crate::engine::Simulation;
use crate::fault::Fault;
use crate::fault::FaultRequest;
use crate::http::Handler;
use crate::http::Port;
use crate::platform::Platform;
use crate::record::Record;
use crate::service::CallLog;
use crate::service::ServiceHandler;
use crate::settings::host_list_entry;
use crate::settings::StandinSettings;

const WORKER_THREADS: usize = 2;
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

quick_error! {
    /// An error from starting the stand-ins or from injecting a fault.
    #[derive(Debug)]
    pub enum StandinError {
        /// The settings are invalid.
        Settings(findings: Vec<Finding>) {
            display("the settings have {} errors, the first at {}", findings.len(),
                findings.first().map(ToString::to_string).unwrap_or_default())
        }
        /// A port could not be bound or a thread not be started.
        Io(e: io::Error) {
            from()
            source(e)
            display("{}", e)
        }
        /// The target of a fault does not exist.
        UnknownTarget(name: String) {
            display("server or failure domain {:?} does not exist", name)
        }
    }
}

/// Running stand-ins; they stop when the value is dropped.
pub struct Standin {
    shared: Arc<Shared>,
    runtime: Option<Runtime>,
    engines: Option<JoinHandle<()>>,
    admin: Port,
}

/// The state of the stand-ins, which the admin calls also use.
pub(crate) struct Shared {
    pub(crate) settings: StandinSettings,
    pub(crate) platform: Arc<Platform>,
    pub(crate) driver: Arc<Driver>,
    runtime: Handle,
    store: Port,
    domain_stores: BTreeMap<DomainName, Port>,
    engine_addresses: BTreeMap<ServerName, SocketAddr>,
    services: BTreeMap<ServerName, (Port, Arc<ServiceHandler>)>,
    call_log: Arc<CallLog>,
    /// A number that grows with each [`Fault::Heal`]; timers of an earlier epoch do nothing.
    timer_epoch: Mutex<u64>,
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

impl Standin {
    /// Starts all stand-ins.
    ///
    /// # Errors
    ///
    /// Returns an error when the settings are invalid, a port cannot be bound or a thread cannot be
    /// started.
    pub fn start(settings: StandinSettings) -> Result<Self, StandinError> {
        settings.check().map_err(StandinError::Settings)?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .thread_name("standin")
            .enable_all()
            .build()?;
        let guard = runtime.enter();
        let shared = Arc::new(Shared::start(settings, runtime.handle().clone())?);
        let admin = loopback(shared.settings.admin_port);
        let admin = Port::open(admin, Arc::new(AdminHandler::new(&shared)))?;
        drop(guard);
        let engines = Some(shared.driver.spawn()?);
        Ok(Self { shared, runtime: Some(runtime), engines, admin })
    }

    /// Returns the address of the store and the host list.
    pub fn store_address(&self) -> SocketAddr {
        self.shared.store.address
    }

    /// Returns the store's address for a failure domain, which [`Fault::StoreCut`] can cut alone.
    ///
    /// Failure domains that the settings do not list share the address of [`Self::store_address`].
    pub fn store_address_of(&self, domain: &str) -> SocketAddr {
        let port = self.shared.domain_stores.get(domain).unwrap_or(&self.shared.store);
        port.address
    }

    /// Returns the address of the engine `name`, if it exists.
    pub fn engine_address(&self, name: &str) -> Option<SocketAddr> {
        self.shared.engine_addresses.get(name).copied()
    }

    /// Returns the address of the plain service's server `name`, if it exists.
    pub fn service_address(&self, name: &str) -> Option<SocketAddr> {
        self.shared.services.get(name).map(|(port, _)| port.address)
    }

    /// Returns the address of the admin calls.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address
    }

    /// Returns the record of what was executed so far.
    pub fn record(&self) -> Record {
        self.shared.record()
    }

    /// Returns the time since the start, in microseconds, on the clock of the record.
    pub fn now_us(&self) -> u64 {
        self.shared.driver.now_us()
    }

    /// Returns the settings.
    pub fn settings(&self) -> &StandinSettings {
        &self.shared.settings
    }

    /// Adds a host to the host list, or replaces the host with the same name.
    pub fn add_host(&self, host: ListedHost) {
        self.shared.add_host(host);
    }

    /// Removes a host from the host list.
    pub fn remove_host(&self, name: &str) {
        self.shared.platform.change_hosts(|hosts| hosts.retain(|host| host.name != name));
    }

    /// Injects a fault.
    ///
    /// # Errors
    ///
    /// Returns an error when the target does not exist.
    pub fn inject(&self, req: FaultRequest) -> Result<(), StandinError> {
        self.shared.inject(req)
    }

    /// Stops all stand-ins and returns the record of what was executed.
    pub fn stop(mut self) -> Record {
        let record = self.shared.record();
        self.shut_down();
        record
    }

    fn shut_down(&mut self) {
        self.shared.driver.stop();
        if let Some(engines) = self.engines.take() {
            let _ = engines.join();
        }
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(STOP_TIMEOUT);
        }
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.shut_down();
    }
}

impl Shared {
    fn start(settings: StandinSettings, runtime: Handle) -> Result<Self, StandinError> {
        let started = Instant::now();
        let call_log = Arc::new(CallLog::new(started));
        let mut services = BTreeMap::new();
        for service in &settings.services {
            let handler = Arc::new(ServiceHandler::new(service.clone(), call_log.clone()));
            let port = Port::open(loopback(service.port), handler.clone())?;
            services.insert(service.name.clone(), (port, handler));
        }
        let (driver, engine_addresses) = start_engines(&settings, started)?;
        let mut hosts = settings.entry_hosts.clone();
        for engine in &settings.engines {
            let address = engine_addresses[&engine.name].to_string();
            hosts.push(host_list_entry(&engine.name, &engine.domain, address, HostKind::Engine));
        }
        for service in &settings.services {
            let address = services[&service.name].0.address.to_string();
            hosts.push(host_list_entry(&service.name, &service.domain, address, HostKind::Service));
        }
        let platform = Arc::new(Platform::new(settings.platform.clone(), settings.seed, hosts));
        let store = Port::open(loopback(settings.store_port), platform.clone())?;
        let mut domain_stores = BTreeMap::new();
        for domain in &settings.platform.domains {
            domain_stores.insert(domain.clone(), Port::open(loopback(0), platform.clone())?);
        }
        let leases = platform.clone();
        runtime.spawn(async move { leases.expire_leases().await });
        let timer_epoch = Mutex::new(0);
        Ok(Self {
            settings,
            platform,
            driver,
            runtime,
            store,
            domain_stores,
            engine_addresses,
            services,
            call_log,
            timer_epoch,
        })
    }

    /// Returns the record of what was executed so far.
    pub(crate) fn record(&self) -> Record {
        let (runs, tokens, crashes) = self.driver.with_simulation(|simulation, _| {
            (simulation.records.clone(), simulation.tokens, simulation.crashes)
        });
        let store = self.platform.calls();
        Record { runs, calls: self.call_log.calls(), store, tokens, crashes }
    }

    /// Adds a host to the host list, or replaces the host with the same name.
    pub(crate) fn add_host(&self, host: ListedHost) {
        self.platform.change_hosts(|hosts| {
            hosts.retain(|other| other.name != host.name);
            hosts.push(host);
        });
    }

    /// Returns the addresses of all ports except that of the admin calls, by name.
    pub(crate) fn addresses(&self) -> BTreeMap<String, String> {
        let mut addresses = BTreeMap::from([("store".to_owned(), self.store.address.to_string())]);
        for (domain, port) in &self.domain_stores {
            addresses.insert(format!("store/{domain}"), port.address.to_string());
        }
        for (name, address) in &self.engine_addresses {
            addresses.insert(name.as_str().to_owned(), address.to_string());
        }
        for (name, (port, _)) in &self.services {
            addresses.insert(name.as_str().to_owned(), port.address.to_string());
        }
        addresses
    }

    /// Injects a fault.
    pub(crate) fn inject(self: &Arc<Self>, req: FaultRequest) -> Result<(), StandinError> {
        let span = Millis(req.for_ms);
        match req.fault {
            Fault::StoreOutage => self.platform.set_outage(span),
            Fault::StoreSlow { delay_ms } => self.platform.set_slow(span, delay_ms),
            Fault::StoreLosesCalls { percent } => self.platform.lose_calls(span, percent),
            Fault::StoreLosesAnswers { percent } => self.platform.lose_answers(span, percent),
            Fault::StoreCopy => self.platform.take_snapshot(),
            Fault::StoreRestore => self.platform.restore_snapshot(),
            Fault::StoreDropsWatches => self.platform.drop_watches(),
            Fault::StoreCut { target } => self.cut_store(&target, span)?,
            Fault::ServerLeaves { target } => self.start_leaving(&target, span)?,
            Fault::ServiceRefuses { target } => self.refuse_service(&target, span)?,
            Fault::ServiceSlow { target, delay_ms } => {
                let until = Instant::now() + span.to_duration();
                self.service(&target)?.change_faults(|f| f.slow = Some((until, delay_ms)));
            }
            Fault::ServiceLosesAnswers { target } => {
                let until = Instant::now() + span.to_duration();
                self.service(&target)?.change_faults(|f| f.loses_answers = Some(until));
            }
            Fault::ServiceLosesCalls { target } => {
                let until = Instant::now() + span.to_duration();
                self.service(&target)?.change_faults(|f| f.loses_calls = Some(until));
            }
            Fault::Heal => self.heal(),
            fault => self.inject_engine(fault, req.for_ms)?,
        }
        Ok(())
    }

    fn inject_engine(&self, fault: Fault, for_ms: u64) -> Result<(), StandinError> {
        self.driver.with_simulation(|simulation, now| {
            let until = now + for_ms * 1000;
            let find = |name: &ServerName| {
                let found = simulation.engine(name.as_str());
                found.ok_or_else(|| StandinError::UnknownTarget(name.as_str().to_owned()))
            };
            match fault {
                Fault::EngineCrash { target } => {
                    let engine = find(&target)?;
                    simulation.crash(now, engine, for_ms);
                }
                Fault::EngineStall { target } => {
                    let engine = find(&target)?;
                    simulation.stall(engine, until);
                }
                Fault::EngineSlow { target, factor } => {
                    let engine = find(&target)?;
                    simulation.engines[engine].slow_factor = factor.max(1);
                    simulation.engines[engine].slow_until_us = until;
                }
                Fault::EngineFull { target } => {
                    let engine = find(&target)?;
                    simulation.engines[engine].full_until_us = until;
                }
                Fault::EngineSkipsLayer { target } => {
                    let engine = find(&target)?;
                    simulation.engines[engine].skip_layer_until_us = until;
                }
                Fault::EngineCrossesFrames { target } => {
                    let engine = find(&target)?;
                    simulation.engines[engine].cross_frames_until_us = until;
                }
                Fault::LinkSlow { target, peer, us } => {
                    find(&target)?;
                    if let Some(peer) = &peer {
                        find(peer)?;
                    }
                    simulation.links.slow_down(target, peer, us, until);
                }
                Fault::DomainCut { target } => simulation.links.cut_domain(target, until),
                _ => {}
            }
            Ok(())
        })
    }

    fn service(&self, name: &ServerName) -> Result<&Arc<ServiceHandler>, StandinError> {
        let found = self.services.get(name).map(|(_, handler)| handler);
        found.ok_or_else(|| StandinError::UnknownTarget(name.as_str().to_owned()))
    }

    fn cut_store(self: &Arc<Self>, target: &DomainName, span: Millis) -> Result<(), StandinError> {
        let unknown = || StandinError::UnknownTarget(target.as_str().to_owned());
        self.domain_stores.get(target).ok_or_else(unknown)?.close();
        let target = target.clone();
        self.run_after(span, move |shared| shared.domain_stores[&target].reopen());
        Ok(())
    }

    fn refuse_service(
        self: &Arc<Self>,
        target: &ServerName,
        span: Millis,
    ) -> Result<(), StandinError> {
        self.service(target)?;
        self.services[target].0.refuse();
        let target = target.clone();
        self.run_after(span, move |shared| shared.services[&target].0.reopen());
        Ok(())
    }

    fn start_leaving(
        self: &Arc<Self>,
        target: &ServerName,
        span: Millis,
    ) -> Result<(), StandinError> {
        if self.settings.engines.iter().all(|engine| engine.name != *target) {
            self.service(target)?;
        }
        self.set_leaving(target, true);
        if span > Millis::ZERO {
            let target = target.clone();
            self.run_after(span, move |shared| shared.set_leaving(&target, false));
        }
        Ok(())
    }

    fn set_leaving(&self, target: &ServerName, leaving: bool) {
        self.driver.with_simulation(|simulation, _| {
            if let Some(engine) = simulation.engine(target.as_str()) {
                simulation.engines[engine].leaving = leaving;
            }
        });
        self.platform.change_hosts(|hosts| {
            let found = hosts.iter_mut().find(|host| host.name == target.as_str());
            if let Some(host) = found {
                host.leaving = leaving;
            }
        });
    }

    fn heal(&self) {
        // Timers of earlier faults see another epoch and do nothing.
        *self.timer_epoch.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        self.platform.heal();
        self.domain_stores.values().for_each(Port::reopen);
        for (port, handler) in self.services.values() {
            port.reopen();
            handler.change_faults(|faults| *faults = Default::default());
        }
        self.driver.with_simulation(|simulation, now| simulation.heal(now));
        let names: Vec<ServerName> = self.settings.engines.iter().map(|e| e.name.clone()).collect();
        names.iter().chain(self.services.keys()).for_each(|name| self.set_leaving(name, false));
    }

    fn run_after(self: &Arc<Self>, span: Millis, f: impl FnOnce(&Self) + Send + 'static) {
        let timer_epoch = *self.timer_epoch.lock().unwrap_or_else(PoisonError::into_inner);
        let shared = Arc::downgrade(self);
        self.runtime.spawn(async move {
            tokio::time::sleep(span.to_duration()).await;
            let Some(shared) = shared.upgrade() else { return };
            if *shared.timer_epoch.lock().unwrap_or_else(PoisonError::into_inner) == timer_epoch {
                f(&shared);
            }
        });
    }
}

fn start_engines(
    settings: &StandinSettings,
    started: Instant,
) -> Result<(Arc<Driver>, BTreeMap<ServerName, SocketAddr>), StandinError> {
    let simulation = Simulation::new(settings);
    let driver = Driver::new(simulation, started);
    let mut ports = Vec::new();
    let mut addresses = BTreeMap::new();
    for (i, engine) in settings.engines.iter().enumerate() {
        let handler = Arc::new(EngineHandler { driver: driver.clone(), engine: i });
        let port = open_port(engine.port, handler)?;
        addresses.insert(engine.name.clone(), port.address);
        ports.push(port);
    }
    driver.set_ports(ports);
    Ok((driver, addresses))
}

fn open_port<H: Handler>(port: u16, handler: Arc<H>) -> Result<Port, StandinError> {
    Ok(Port::open(loopback(port), handler)?)
}
