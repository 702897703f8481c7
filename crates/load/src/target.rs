//! What the callers run against: an embedded deployment, or given addresses.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use yuccanotch_core::name::DomainName;
use yuccanotch_entry::peers::Cut;
use yuccanotch_entry::peers::Direction;
use yuccanotch_entry::peers::Far;
use yuccanotch_local::Deployment;
use yuccanotch_standin::FaultRequest;
use yuccanotch_standin::Record;

use crate::error::LoadError;
use crate::scenario::EntryStop;
use crate::scenario::FaultAction;

/// A running system.
pub enum Target {
    /// An embedded deployment.
    Embedded(Box<Mutex<Deployment>>),
    /// Given entry hosts.
    External {
        /// Their addresses for callers.
        entries: Vec<SocketAddr>,
        /// Address of the stand-ins' admin calls, if there are any.
        standin: Option<SocketAddr>,
    },
}

impl Target {
    /// Returns the callers' addresses of the entry hosts that run.
    pub fn entries(&self) -> Vec<SocketAddr> {
        match self {
            Self::Embedded(deployment) => lock(deployment).running().map(|r| r.callers).collect(),
            Self::External { entries, .. } => entries.clone(),
        }
    }

    /// Returns what the stand-ins ran, if there are any.
    ///
    /// # Errors
    ///
    /// Returns an error when given stand-ins do not answer.
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

    /// Carries out a fault; an action with a span that only this process can end waits for it.
    ///
    /// # Errors
    ///
    /// Returns an error when the fault cannot be carried out.
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
                Err(LoadError::Standin("given entry hosts cannot be stopped or cut".to_owned()))
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
                Err(LoadError::Standin("no address is given".to_owned()))
            }
        }
    }

    /// Stops an embedded deployment.
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
            for direction in [Direction::To, Direction::From] {
                let far = Far::Domain(domain.clone());
                running.host.peers.set_cut(Cut { direction, far }, active);
            }
        }
    }
}
