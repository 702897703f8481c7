//! Links between entry hosts: HTTP/2 over cleartext TCP; each stream carries one bincode value in
//! each direction.
//!
//! A host opens one long-lived connection to each peer that it calls. On the first stream of a
//! connection both sides prove that they know a shared key; every later body ends with a tag (a
//! message authentication code) under a key that is valid for this connection only. A body that is
//! unauthenticated, oversized or malformed is refused and counted, and never reaches a handler.

mod auth;
mod error;
mod filter;
mod link;
mod meter;
mod server;
mod wire;

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;

use tokio::runtime;
use tokio::runtime::Runtime;
use tokio::sync::Semaphore;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::ids::ConfigNumber;
use yuccanotch_core::ids::Incarnation;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::HostName;
use yuccanotch_core::peer::PeerHeader;
use yuccanotch_core::peer::PeerReply;
use yuccanotch_core::peer::PeerRequest;

pub use auth::PeerKeys;
pub use error::PeerError;
pub use filter::Cut;
pub use filter::Direction;
pub use filter::Remote;
pub use meter::LinkStats;

use crate::peers::filter::LinkFilter;
use crate::peers::link::Link;
use crate::peers::meter::Meter;

const WORKER_THREADS: usize = 1;
/// Largest number of threads that answer the requests that may block.
const MAX_BLOCKING_THREADS: usize = 128;
/// Time without work after which a thread that answers such requests ends.
const BLOCKING_KEEP_ALIVE: Millis = Millis(5_000);
/// Largest number of requests of [`Peers::send`] in flight.
const MAX_PENDING_SENDS: usize = 256;
const SEND_TIMEOUT: Millis = Millis(2_000);

/// Serves the requests of other entry hosts.
pub trait PeerHandler: Send + Sync {
    /// Answers a request.
    ///
    /// [`PeerRequest::Fleet`] and [`PeerRequest::Share`] are answered on the links' own thread and
    /// must not block; all other requests are answered on a thread pool and may block.
    fn on_request(&self, header: PeerHeader, request: PeerRequest) -> PeerReply;

    /// Handles the header of a reply; does nothing by default.
    fn on_reply_header(&self, _header: &PeerHeader) {}
}

/// Settings of an entry host's links.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Name of this host.
    pub host: HostName,
    /// Failure domain of this host.
    pub domain: DomainName,
    /// Incarnation of this host.
    pub incarnation: Incarnation,
    /// Address to listen on; port 0 takes any free one.
    pub listen: SocketAddr,
    /// Keys that all entry hosts share.
    pub keys: PeerKeys,
}

/// State shared by the client side, the server side and [`Peers`].
struct Shared {
    settings: PeerSettings,
    config_number: AtomicU64,
    handler: Mutex<Option<Weak<dyn PeerHandler>>>,
    filter: Mutex<LinkFilter>,
    meter: Meter,
    stopping: AtomicBool,
}

impl Shared {
    fn config_number(&self) -> ConfigNumber {
        ConfigNumber(self.config_number.load(Ordering::Relaxed))
    }

    fn handler(&self) -> Option<Arc<dyn PeerHandler>> {
        self.handler.lock().expect("lock is not poisoned").as_ref()?.upgrade()
    }

    fn is_cut(&self, remote: &HostName, direction: Direction) -> bool {
        self.filter.lock().expect("lock is not poisoned").is_cut(remote, direction)
    }
}

/// The links of one entry host.
pub struct Peers {
    shared: Arc<Shared>,
    links: Mutex<HashMap<HostName, Arc<Link>>>,
    pending_sends: Arc<Semaphore>,
    address: SocketAddr,
    listener: Mutex<Option<TcpListener>>,
    runtime: Option<Runtime>,
}

impl fmt::Debug for Peers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Peers").field("address", &self.address).finish_non_exhaustive()
    }
}

impl Peers {
    /// Binds the listening address and starts the links' thread; requests are answered only after
    /// [`Peers::serve`].
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound or the thread cannot be started.
    pub fn bind(settings: PeerSettings) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .max_blocking_threads(MAX_BLOCKING_THREADS)
            .thread_keep_alive(BLOCKING_KEEP_ALIVE.to_duration())
            .thread_name("peers")
            .enable_io()
            .enable_time()
            .build()?;
        let shared = Shared {
            settings,
            config_number: AtomicU64::new(0),
            handler: Mutex::new(None),
            filter: Mutex::default(),
            meter: Meter::default(),
            stopping: AtomicBool::new(false),
        };
        Ok(Self {
            shared: Arc::new(shared),
            links: Mutex::default(),
            pending_sends: Arc::new(Semaphore::new(MAX_PENDING_SENDS)),
            address,
            listener: Mutex::new(Some(listener)),
            runtime: Some(runtime),
        })
    }

    /// Starts to answer requests with `handler`; a second call has no effect.
    ///
    /// Requests are declined once the handler has been dropped.
    ///
    /// # Errors
    ///
    /// Returns an error when the listener cannot be registered with the runtime.
    pub fn serve(&self, handler: Weak<dyn PeerHandler>) -> io::Result<()> {
        let Some(listener) = self.listener.lock().expect("lock is not poisoned").take() else {
            return Ok(());
        };
        *self.shared.handler.lock().expect("lock is not poisoned") = Some(handler);
        let _guard = self.runtime().enter();
        let listener = tokio::net::TcpListener::from_std(listener)?;
        self.runtime().spawn(server::accept_connections(Arc::clone(&self.shared), listener));
        Ok(())
    }

    fn runtime(&self) -> &Runtime {
        self.runtime.as_ref().expect("the runtime is taken only on drop")
    }

    /// Returns the address that the host listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the name of this host.
    pub fn host(&self) -> &HostName {
        &self.shared.settings.host
    }

    /// Returns the incarnation of this host.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.settings.incarnation
    }

    /// Raises the configuration number that messages carry; a lower number is ignored.
    pub fn set_config_number(&self, config: ConfigNumber) {
        self.shared.config_number.fetch_max(config.0, Ordering::Relaxed);
    }

    /// Sets the address of a peer; a changed address closes the connection to the old one.
    pub fn set_address(&self, host: &HostName, domain: &DomainName, address: SocketAddr) {
        self.shared.filter.lock().expect("lock is not poisoned").set_domain(host, domain);
        let mut links = self.links.lock().expect("lock is not poisoned");
        match links.get(host) {
            Some(link) if link.address() == address => {}
            _ => {
                let link = Link::new(Arc::clone(&self.shared), host.clone(), address);
                links.insert(host.clone(), Arc::new(link));
            }
        }
    }

    /// Removes a peer and closes the connection to it.
    pub fn forget(&self, host: &HostName) {
        self.shared.filter.lock().expect("lock is not poisoned").forget(host);
        self.links.lock().expect("lock is not poisoned").remove(host);
    }

    /// Returns whether a peer's address is known.
    pub fn has_address(&self, host: &HostName) -> bool {
        self.links.lock().expect("lock is not poisoned").contains_key(host)
    }

    /// Returns the peers whose address is known.
    pub fn known_peers(&self) -> Vec<HostName> {
        self.links.lock().expect("lock is not poisoned").keys().cloned().collect()
    }

    fn link(&self, host: &HostName) -> Result<Arc<Link>, PeerError> {
        let links = self.links.lock().expect("lock is not poisoned");
        links.get(host).cloned().ok_or(PeerError::UnknownHost)
    }

    /// Sends a request and waits for its reply; must not be called on the links' own thread, which
    /// would block.
    ///
    /// # Errors
    ///
    /// See [`PeerError`]; [`PeerError::was_sent`] tells whether the peer may have served it.
    pub fn call(
        &self,
        host: &HostName,
        request: PeerRequest,
        timeout: Millis,
    ) -> Result<PeerReply, PeerError> {
        let (tx, rx) = mpsc::sync_channel(1);
        self.call_with_callback(host, request, timeout, move |result| {
            let _ = tx.send(result);
        });
        rx.recv().unwrap_or(Err(PeerError::Lost))
    }

    /// Sends a request and passes the result to `done` on the links' own thread.
    ///
    /// `done` must not block.
    pub fn call_with_callback(
        &self,
        host: &HostName,
        request: PeerRequest,
        timeout: Millis,
        done: impl FnOnce(Result<PeerReply, PeerError>) + Send + 'static,
    ) {
        if self.shared.stopping.load(Ordering::Relaxed) {
            done(Err(PeerError::Unreachable));
            return;
        }
        let link = match self.link(host) {
            Ok(link) => link,
            Err(e) => {
                done(Err(e));
                return;
            }
        };
        self.runtime().spawn(async move {
            done(link.call(request, timeout).await);
        });
    }

    /// Sends a request without waiting; the reply is dropped.
    ///
    /// The request is dropped and counted when too many such requests are in flight.
    pub fn send(&self, host: &HostName, request: PeerRequest) {
        let Ok(permit) = Arc::clone(&self.pending_sends).try_acquire_owned() else {
            self.shared.meter.count_dropped_send();
            return;
        };
        self.call_with_callback(host, request, SEND_TIMEOUT, move |_| drop(permit));
    }

    /// Starts (`active`) or ends the dropping of messages that `cut` describes, for experiments.
    pub fn set_cut(&self, cut: Cut, active: bool) {
        self.shared.filter.lock().expect("lock is not poisoned").set(cut, active);
    }

    /// Returns the cuts in effect.
    pub fn cuts(&self) -> Vec<Cut> {
        self.shared.filter.lock().expect("lock is not poisoned").cuts()
    }

    /// Returns the counters of the links since the start.
    pub fn stats(&self) -> LinkStats {
        self.shared.meter.stats()
    }

    /// Stops answering and calling; connections are closed when the value is dropped.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.stop();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
