//! Starts and stops an embedded deployment and its entry hosts.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::write_first_config;
use yuccanotch_core::config::Declaration;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::engine::HostKind;
use yuccanotch_core::engine::ListedHost;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::HostName;
use yuccanotch_entry::host::RunningHost;
use yuccanotch_entry::store_client::StoreClient;
use yuccanotch_entry::Settings;
use yuccanotch_standin::Standin;

use crate::error::LocalError;
use crate::plan::Plan;

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Operators' key for the admin ports of an embedded deployment.
pub const ADMIN_KEY: &str = "local-admin-key";

const PEER_KEY: [u8; 32] = [7; 32];
const READY_TIMEOUT: Millis = Millis(10_000);
const READY_POLL: Duration = Duration::from_millis(10);

/// A running embedded deployment.
pub struct Deployment {
    /// Plan that the deployment was started from.
    pub plan: Plan,
    /// Stand-ins of the platform and the backend servers.
    pub standin: Standin,
    /// Declaration of the first configuration.
    pub declaration: Declaration,
    /// Entry hosts, in the order of their domains; `None` for a stopped one.
    pub entries: Vec<Option<RunningHost>>,
}

impl Deployment {
    /// Starts the stand-ins, writes the configuration, starts the entry hosts, and waits until
    /// each of them has the configuration and a view of the backend servers.
    ///
    /// # Errors
    ///
    /// Returns an error when a component does not start or is not ready in time.
    pub fn start(plan: Plan) -> Result<Self, LocalError> {
        let standin = Standin::start(plan.standin.clone())?;
        let address = |name: &str| {
            let address = standin.engine_address(name).or_else(|| standin.service_address(name));
            address.map(|address| address.to_string()).unwrap_or_default()
        };
        let declaration = plan.declaration(address);
        write_first_config(&StoreClient::new(standin.store_address()), &declaration)?;
        let mut deployment = Self { plan, standin, declaration, entries: Vec::new() };
        for (name, domain) in deployment.entry_names() {
            let running = deployment.start_entry(&name, &domain)?;
            deployment.entries.push(Some(running));
        }
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    /// Returns the running entry hosts.
    pub fn running(&self) -> impl Iterator<Item = &RunningHost> {
        self.entries.iter().flatten()
    }

    /// Stops an entry host abruptly, as a crash would.
    pub fn kill_entry(&mut self, index: usize) {
        if let Some(running) = self.entries.get_mut(index).and_then(Option::take) {
            running.kill();
        }
    }

    /// Stops an entry host gracefully. Returns whether all its requests in flight were finished.
    pub fn drain_entry(&mut self, index: usize) -> bool {
        match self.entries.get_mut(index).and_then(Option::take) {
            Some(running) => running.drain(),
            None => true,
        }
    }

    /// Restarts an entry host under its old name after a kill or a drain.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry host does not start.
    pub fn restart_entry(&mut self, index: usize) -> Result<(), LocalError> {
        let (name, domain) = self.entry_names().swap_remove(index);
        self.entries[index] = Some(self.start_entry(&name, &domain)?);
        Ok(())
    }

    /// Stops all entry hosts abruptly, then the stand-ins.
    pub fn stop(self) {
        for running in self.entries.into_iter().flatten() {
            running.kill();
        }
        self.standin.stop();
    }

    /// Waits until each running entry host has a configuration and a status report of every engine.
    ///
    /// # Errors
    ///
    /// Returns an error when an entry host is not ready in time.
    pub fn wait_until_ready(&self) -> Result<(), LocalError> {
        let clock = Clock::monotonic();
        for running in self.running() {
            while !self.is_ready(running) {
                if clock.now() > READY_TIMEOUT {
                    return Err(LocalError::NotReady(running.host.settings.host.to_string()));
                }
                thread::sleep(READY_POLL);
            }
        }
        Ok(())
    }

    fn is_ready(&self, running: &RunningHost) -> bool {
        let view = running.host.fleet.view();
        running.host.configuration.current().is_some()
            && self.plan.standin.engines.iter().all(|engine| {
                view.servers.get(&engine.name).is_some_and(|server| server.report.is_some())
            })
    }

    fn entry_names(&self) -> Vec<(HostName, DomainName)> {
        let domains = self.plan.domains.keys();
        domains
            .flat_map(|domain| {
                (1..=self.plan.entries_per_domain)
                    .map(move |i| (HostName::new(&format!("entry-{domain}-{i}")), domain.clone()))
            })
            .collect()
    }

    fn start_entry(&self, name: &HostName, domain: &DomainName) -> Result<RunningHost, LocalError> {
        let settings = Settings {
            host: name.clone(),
            domain: domain.clone(),
            callers: LOOPBACK,
            admin: LOOPBACK,
            peer: LOOPBACK,
            store: self.standin.store_address_of(domain.as_str()),
            peer_keys: vec![PEER_KEY.to_vec()],
            admin_keys: vec![Digest::of(ADMIN_KEY.as_bytes())],
            limits: self.plan.limits.clone(),
            routing: self.plan.routing,
            seed: Some(
                self.plan.seed ^ yuccanotch_core::digest::fast_hash(name.as_str().as_bytes()),
            ),
        };
        let running = RunningHost::start(settings)?;
        self.standin.add_host(ListedHost {
            name: name.as_str().to_owned(),
            domain: domain.clone(),
            address: running.peer.to_string(),
            kind: HostKind::Entry,
            leaving: false,
        });
        Ok(running)
    }
}
