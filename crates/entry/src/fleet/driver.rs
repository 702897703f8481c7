//! Executes the actions of the membership node: calls to peers, observations of backend servers and
//! reads of the host list.

use std::collections::BTreeSet;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;

use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::ActiveConfig;
use yuccanotch_core::config::ServerUse;
use yuccanotch_core::fleet::DeclaredServer;
use yuccanotch_core::fleet::FleetAction;
use yuccanotch_core::fleet::FleetEvent;
use yuccanotch_core::fleet::FleetMessage;
use yuccanotch_core::ids::ConfigNumber;
use yuccanotch_core::name::HostName;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::peer::PeerReply;
use yuccanotch_core::peer::PeerRequest;

use crate::fleet::Inner;
use crate::host::Host;
use crate::store_client::StoreClient;

const TICK_INTERVAL: Millis = Millis(100);
const VIEW_REFRESH_INTERVAL: Millis = Millis(200);
const CALL_TIMEOUT: Millis = Millis(1_000);
const OBSERVER_THREADS: usize = 4;
const MAX_QUEUED_JOBS: usize = 1_024;

/// A blocking call, made by a worker thread.
enum Job {
    Observe { server: ServerName, address: String },
    ReadHostList,
}

struct Driver<'a> {
    host: &'a Arc<Host>,
    inner: Arc<Inner>,
    jobs: SyncSender<Job>,
    declared_number: Option<ConfigNumber>,
    next_view_at: Millis,
    view_version: Option<(ConfigNumber, u64)>,
    /// Members whose addresses were passed to the peer links.
    linked_members: BTreeSet<HostName>,
}

/// Runs the membership protocol and the observation of backend servers until the host stops.
pub fn run(host: &Arc<Host>) {
    let action_rx = host.fleet.action_rx.lock().expect("lock is not poisoned").take();
    let Some(action_rx) = action_rx else {
        return;
    };
    let (jobs, queue) = mpsc::sync_channel(MAX_QUEUED_JOBS);
    let queue = Arc::new(Mutex::new(queue));
    let workers: Vec<_> = (0..OBSERVER_THREADS).map(|_| spawn_worker(host, &queue)).collect();
    let mut driver = Driver {
        host,
        inner: Arc::clone(&host.fleet.inner),
        jobs,
        declared_number: None,
        next_view_at: Millis::ZERO,
        view_version: None,
        linked_members: BTreeSet::new(),
    };
    driver.run(&action_rx);
    drop(driver);
    for worker in workers {
        let _ = worker.join();
    }
}

impl Driver<'_> {
    fn run(&mut self, action_rx: &Receiver<FleetAction>) {
        let clock = &self.host.clock;
        let mut next_tick_at = clock.now();
        while !self.host.is_stopped() {
            let wait = next_tick_at.since(clock.now()).to_duration();
            match action_rx.recv_timeout(wait) {
                Ok(action) => self.execute(action),
                Err(RecvTimeoutError::Timeout) => {
                    next_tick_at = clock.now() + TICK_INTERVAL;
                    self.tick();
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn tick(&mut self) {
        let active = self.host.configuration.current();
        if let Some(active) = &active {
            self.declare_servers(active);
        }
        self.inner.handle(FleetEvent::Tick);
        let now = self.host.clock.now();
        if now < self.next_view_at {
            return;
        }
        self.next_view_at = now + VIEW_REFRESH_INTERVAL;
        if self.inner.refresh_members() {
            self.set_addresses();
        }
        if let Some(active) = &active {
            self.refresh_view(active);
        }
    }

    fn refresh_view(&mut self, active: &ActiveConfig) {
        let version = (active.number, self.inner.node().servers_version());
        let has_suspects = !self.inner.suspects.lock().expect("lock is not poisoned").is_empty();
        if has_suspects || self.view_version != Some(version) {
            self.view_version = Some(version);
            self.inner.refresh_view(active);
        }
    }

    fn declare_servers(&mut self, active: &ActiveConfig) {
        if self.declared_number == Some(active.number) {
            return;
        }
        self.declared_number = Some(active.number);
        let servers = active.declaration.servers.iter();
        let engines = servers.filter(|(_, server)| matches!(server.used_for, ServerUse::Engine(_)));
        let declared = engines
            .map(|(name, server)| DeclaredServer {
                name: name.clone(),
                domain: server.domain.clone(),
            })
            .collect();
        self.inner.handle(FleetEvent::Declared(declared));
    }

    /// Passes the members' addresses to the peer links and removes former members from them.
    fn set_addresses(&mut self) {
        let members = self.host.fleet.members();
        let others = members.hosts.iter().filter(|(name, _)| **name != self.host.settings.host);
        let mut linked_members = BTreeSet::new();
        for (name, member) in others {
            self.host.peers.set_address(name, &member.domain, member.address);
            linked_members.insert(name.clone());
        }
        for gone in self.linked_members.difference(&linked_members) {
            self.host.peers.forget(gone);
        }
        self.linked_members = linked_members;
    }

    fn execute(&mut self, action: FleetAction) {
        match action {
            FleetAction::Call { to, message } => self.call(to, message),
            FleetAction::Observe(server) => {
                let active = self.host.configuration.current();
                let declared =
                    active.as_ref().and_then(|active| active.declaration.servers.get(&server));
                if let Some(address) = declared.map(|declared| declared.address.clone()) {
                    self.enqueue(Job::Observe { server, address });
                }
            }
            FleetAction::ReadHostList => self.enqueue(Job::ReadHostList),
            FleetAction::Reply(_) => {}
        }
    }

    /// Queues a job; drops it if the queue is full, since the node asks for it again later.
    fn enqueue(&self, job: Job) {
        if self.jobs.try_send(job).is_err() {
            self.host.telemetry.increment_counter("yuccanotch_observations_dropped_total", "");
        }
    }

    fn call(&mut self, to: HostName, message: FleetMessage) {
        if !self.host.peers.has_address(&to) && self.inner.refresh_members() {
            self.set_addresses();
        }
        let inner = Arc::clone(&self.inner);
        let from = to.clone();
        let request = PeerRequest::Fleet(message);
        self.host.peers.call_with_callback(&to, request, CALL_TIMEOUT, move |result| {
            if let Ok(PeerReply::Fleet(reply)) = result {
                inner.handle(FleetEvent::Reply { from, reply });
            }
        });
    }
}

fn spawn_worker(host: &Arc<Host>, queue: &Arc<Mutex<Receiver<Job>>>) -> JoinHandle<()> {
    let host = Arc::clone(host);
    let queue = Arc::clone(queue);
    let work = move || {
        let store = StoreClient::new(host.settings.store);
        loop {
            let job = queue.lock().expect("lock is not poisoned").recv();
            let Ok(job) = job else {
                return;
            };
            run_job(&host, &store, job);
        }
    };
    thread::Builder::new()
        .name("observer".to_owned())
        .spawn(work)
        .expect("the thread can be spawned")
}

fn run_job(host: &Host, store: &StoreClient, job: Job) {
    if host.is_stopped() {
        return;
    }
    match job {
        Job::Observe { server, address } => {
            let report =
                host.engines.read_load(&address).ok().filter(|report| report.server == server);
            host.fleet.inner.handle(FleetEvent::Observed { server, report });
        }
        Job::ReadHostList => {
            if let Ok(list) = store.host_list() {
                host.fleet.inner.handle(FleetEvent::Listed(list));
            }
        }
    }
}
