//! The system under test: an embedded deployment, or running entry hosts at given addresses.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use yuccanotch_core::name::DomainName;
use yuccanotch_entry::peers::Cut;
use yuccanotch_entry::peers::Direction;
use yuccanotch_entry::peers::Remote;
use yuccanotch_local::Deployment;
use yuccanotch_standin::FaultRequest;
use yuccanotch_standin::Record;

use crate::error::LoadError;
use crate::scenario::EntryStop;
use crate::scenario::FaultAction;

/// A running system under test.
pub enum Target {
    /// A deployment in this process.
    Embedded(Box<Mutex<Deployment>>),
    /// Entry hosts that run elsewhere.
    External {
        /// Caller addresses of the entry hosts.
        entries: Vec<SocketAddr>,
        /// Admin address of the stand-ins, if there are any.
        standin: Option<SocketAddr>,
    },
}

impl Target {
    /// Returns the caller addresses of the running entry hosts.
    pub fn entries(&self) -> Vec<SocketAddr> {
        match self {
            Self::Embedded(deployment) => lock(deployment).running().map(|r| r.callers).collect(),
            Self::External { entries, .. } => entries.clone(),
        }
    }

    /// Returns the stand-ins' record of what they ran; `None` without an address of stand-ins.
    ///
    /// # Errors
    ///
    /// Returns an error when external stand-ins do not answer.
    pub fn record(&self) -> Result<Option<Record>, LoadError> {
        match self {
            Self::Embedded(deployment) => Ok(Some(lock(deployment).standin.record())),
            Self::External { standin: None, .. } => Ok(None),
            Self::External { standin: Some(address), .. } => {
                let answer = ureq::get(format!("http://{address}/record")).call();
                let record = answer.and_then(|mut answer| {
                    let body = answer.body_mut().with_config().limit(u64::MAX);
                    body.read_json()
                });
                record.map(Some).map_err(|e| LoadError::Standin(e.to_string()))
            }
        }
    }

    /// Applies a fault. A stopped entry host and a cut of peer links are undone by this call, which
    /// therefore blocks for the duration of the fault; the stand-ins end their faults themselves.
    ///
    /// # Errors
    ///
    /// Returns an error when the fault cannot be applied.
    pub fn apply_fault(&self, action: &FaultAction) -> Result<(), LoadError> {
        match (self, action) {
            (_, FaultAction::Standin(req)) => self.inject_standin_fault(req),
            (Self::Embedded(deployment), FaultAction::Entry(entry)) => {
                let running = lock(deployment).entries.get_mut(entry.index).and_then(Option::take);
                if let Some(running) = running {
                    match entry.entry {
                        EntryStop::Kill => running.kill(),
                        EntryStop::Drain => {
                            running.drain();
                        }
                    }
                }
                if entry.for_ms > 0 {
                    thread::sleep(Duration::from_millis(entry.for_ms));
                    lock(deployment).restart_entry(entry.index)?;
                }
                Ok(())
            }
            (Self::Embedded(deployment), FaultAction::Peers(peers)) => {
                set_peer_cut(&lock(deployment), &peers.peers_cut, true);
                thread::sleep(Duration::from_millis(peers.for_ms));
                set_peer_cut(&lock(deployment), &peers.peers_cut, false);
                Ok(())
            }
            (Self::External { .. }, FaultAction::Entry(_) | FaultAction::Peers(_)) => {
                Err(LoadError::Standin(
                    "entry hosts at given addresses cannot be stopped or cut off".to_owned(),
                ))
            }
        }
    }

    fn inject_standin_fault(&self, req: &FaultRequest) -> Result<(), LoadError> {
        match self {
            Self::Embedded(deployment) => {
                let result = lock(deployment).standin.inject(req.clone());
                result.map_err(|e| LoadError::Standin(e.to_string()))
            }
            Self::External { standin: Some(address), .. } => {
                let sent = ureq::post(format!("http://{address}/faults")).send_json(req);
                sent.map(|_| ()).map_err(|e| LoadError::Standin(e.to_string()))
            }
            Self::External { standin: None, .. } => {
                Err(LoadError::Standin("--standin is required to inject faults".to_owned()))
            }
        }
    }

    /// Stops an embedded deployment; external hosts keep running.
    pub fn stop(self) {
        if let Self::Embedded(deployment) = self {
            deployment.into_inner().unwrap_or_else(PoisonError::into_inner).stop();
        }
    }
}

fn lock(deployment: &Mutex<Deployment>) -> MutexGuard<'_, Deployment> {
    deployment.lock().unwrap_or_else(PoisonError::into_inner)
}

fn set_peer_cut(deployment: &Deployment, domain: &str, active: bool) {
    let domain = DomainName::new(domain);
    for running in deployment.running() {
        if running.host.settings.domain != domain {
            for direction in [Direction::Outbound, Direction::Inbound] {
                let remote = Remote::Domain(domain.clone());
                running.host.peers.set_cut(Cut { direction, remote }, active);
            }
        }
    }
}
