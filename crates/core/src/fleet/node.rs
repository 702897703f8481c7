//! State machine of one entry host for membership and observation.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;

use super::members::Member;
use super::members::MemberTable;
use super::messages::FleetMessage;
use super::messages::FleetReply;
use super::messages::MemberState;
use super::messages::MemberUpdate;
use super::probe::Probes;
use super::servers::DeclaredServer;
use super::servers::Now;
use super::servers::ServerRecord;
use super::servers::ServerTable;
use super::timing::Stamp;
use super::timing::Timing;
use crate::clock::Millis;
use crate::engine::HostList;
use crate::engine::LoadReport;
use crate::ids::Incarnation;
use crate::name::DomainName;
use crate::name::HostName;
use crate::name::ServerName;

/// Name, failure domain, address and incarnation of an entry host.
#[derive(Clone, Debug)]
pub struct HostIdentity {
    /// Name of the host.
    pub host: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address at which other entry hosts reach it.
    pub address: SocketAddr,
    /// Incarnation of the host's process.
    pub incarnation: Incarnation,
}

/// Input to a [`FleetNode`].
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// Time passed.
    Tick,
    /// Another host sent a request; exactly one [`FleetAction::Reply`] follows.
    Request {
        /// Host that sent the request.
        from: HostName,
        /// Content of the request.
        message: FleetMessage,
    },
    /// Another host answered a [`FleetAction::Call`].
    Reply {
        /// Host that answered.
        from: HostName,
        /// Content of the answer.
        reply: FleetReply,
    },
    /// The platform's host list was read.
    Listed(HostList),
    /// The backend servers that the configuration in force declares.
    Declared(Vec<DeclaredServer>),
    /// A backend server was asked for its load.
    Observed {
        /// Server that was asked.
        server: ServerName,
        /// Load report of the server; `None` when it did not answer.
        report: Option<LoadReport>,
    },
    /// This host is stopping and announces it.
    Leave,
}

/// Output of a [`FleetNode`], which its driver carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetAction {
    /// Send a request; the driver returns a reply as [`FleetEvent::Reply`] and drops failures.
    Call {
        /// Host that receives the request.
        to: HostName,
        /// Content of the request.
        message: FleetMessage,
    },
    /// Answer the [`FleetEvent::Request`] that is being handled.
    Reply(FleetReply),
    /// Ask a backend server for its load.
    Observe(ServerName),
    /// Read the platform's host list.
    ReadHostList,
}

/// State machine of one entry host for membership and observation.
#[derive(Debug)]
pub struct FleetNode {
    pub(super) identity: HostIdentity,
    pub(super) timing: Timing,
    pub(super) members: MemberTable,
    pub(super) probes: Probes,
    pub(super) rng: Pcg64Mcg,
    pub(super) actions: Vec<FleetAction>,
    pub(super) servers: ServerTable,
    /// Unix time minus the time of this host's clock.
    pub(super) stamp_offset: Millis,
    /// Last answer of each other failure domain to a host of this one.
    pub(super) domain_heard_at: BTreeMap<DomainName, Stamp>,
    round: u32,
    leaving: bool,
    /// Time since which the member tables of hosts of a failure domain differ from this host's.
    pub(super) mismatch_since: BTreeMap<DomainName, Millis>,
    last_tick: Millis,
    pub(super) last_sync_at: Option<Millis>,
    pub(super) next_join_at: Millis,
    pub(super) join_delay: Millis,
    pub(super) next_cross_domain_probe_at: Millis,
    pub(super) cross_domain_probe_count: u32,
    pub(super) list_period_index: u64,
    pub(super) observation_times: BTreeMap<ServerName, Millis>,
    pub(super) next_observation_at: Millis,
    pub(super) started_at: Millis,
}

impl FleetNode {
    /// Creates the state machine of a host; `unix` is the time since the Unix epoch at `now`.
    pub fn new(
        identity: HostIdentity,
        timing: Timing,
        now: Millis,
        unix: Millis,
        seed: u64,
    ) -> Self {
        let mut node = Self {
            identity,
            timing,
            members: MemberTable::default(),
            probes: Probes::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            actions: Vec::new(),
            servers: ServerTable::default(),
            stamp_offset: unix - now,
            domain_heard_at: BTreeMap::new(),
            round: 0,
            leaving: false,
            mismatch_since: BTreeMap::new(),
            last_tick: now,
            last_sync_at: None,
            next_join_at: now,
            join_delay: timing.sync_period,
            next_cross_domain_probe_at: now,
            cross_domain_probe_count: 0,
            list_period_index: 0,
            observation_times: BTreeMap::new(),
            next_observation_at: now,
            started_at: now,
        };
        node.update_own_entry(now);
        node.actions.push(FleetAction::ReadHostList);
        node
    }

    /// Handles an event and returns the actions to carry out.
    pub fn on_event(&mut self, now: Millis, event: FleetEvent) -> Vec<FleetAction> {
        match event {
            FleetEvent::Tick => self.on_tick(now),
            FleetEvent::Request { from, message } => self.on_request(now, &from, message),
            FleetEvent::Reply { from, reply } => self.on_reply(now, &from, reply),
            FleetEvent::Listed(list) => self.on_host_list(now, &list),
            FleetEvent::Declared(declared) => self.on_declared(now, &declared),
            FleetEvent::Observed { server, report } => self.on_observed(now, &server, report),
            FleetEvent::Leave => {
                self.leaving = true;
                self.round += 1;
                self.update_own_entry(now);
                self.spread_urgently(now);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns all known entry hosts, this one included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// Returns the declared backend servers with their last known state.
    pub fn servers(&self) -> impl Iterator<Item = (&ServerName, &ServerRecord)> {
        self.servers.iter()
    }

    /// Returns the last known state of a backend server; `None` when it is not declared.
    pub fn server(&self, name: &ServerName) -> Option<&ServerRecord> {
        self.servers.get(name)
    }

    /// Returns a number that increases with each change of the backend servers' state.
    pub fn servers_version(&self) -> u64 {
        self.servers.version()
    }

    /// Returns whether the platform's host list shows a host or backend server as leaving.
    pub fn is_listed_leaving(&self, name: &str) -> bool {
        self.servers.is_listed_leaving(name)
    }

    /// Returns whether a host of `domain` answered a host of this failure domain within the domain
    /// timeout; always true for the own domain.
    pub fn is_reachable(&self, now: Millis, domain: &DomainName) -> bool {
        if *domain == self.identity.domain {
            return true;
        }
        let domain_heard_at = self.domain_heard_at.get(domain);
        domain_heard_at
            .is_some_and(|at| self.now(now).stamp.age_of(*at).span() <= self.timing.domain_timeout)
    }

    pub(super) fn now(&self, time: Millis) -> Now {
        Now { time, stamp: Stamp::at(time + self.stamp_offset) }
    }

    pub(super) fn call(&mut self, to: &HostName, message: FleetMessage) {
        self.actions.push(FleetAction::Call { to: to.clone(), message });
    }

    /// Writes the entry of this host into the member table, with the current round and state.
    fn update_own_entry(&mut self, now: Millis) {
        let state = if self.leaving { MemberState::Leaving } else { MemberState::Alive };
        let update = MemberUpdate {
            host: self.identity.host.clone(),
            domain: self.identity.domain.clone(),
            address: self.identity.address,
            incarnation: self.identity.incarnation,
            round: self.round,
            state,
        };
        self.members.apply(now, update);
    }

    fn on_tick(&mut self, now: Millis) {
        if now.since(self.last_tick) >= self.timing.direct_probe_timeout {
            // This host was paused, so missing answers do not show that other hosts failed.
            self.probes.cancel_current();
            self.members.extend_suspicions(now);
        }
        self.last_tick = now;
        self.tick_join(now);
        self.tick_probes(now);
        self.expire_members(now);
        self.tick_cross_domain_probes(now);
        self.tick_host_list(now);
        self.tick_observations(now);
    }

    /// Declares suspected hosts of the own failure domain dead after the suspicion timeout, and
    /// removes dead hosts after their retention time.
    fn expire_members(&mut self, now: Millis) {
        let mut unrefuted = Vec::new();
        let mut expired = Vec::new();
        for member in self.members.iter() {
            let age = now.since(member.since);
            let own = member.update.domain == self.identity.domain;
            match member.update.state {
                MemberState::Suspect if own && age >= self.timing.suspicion_timeout => {
                    unrefuted.push(member.update.clone());
                }
                MemberState::Dead if age >= self.timing.dead_retention => {
                    expired.push(member.update.host.clone());
                }
                _ => {}
            }
        }
        for update in unrefuted {
            self.apply_member_update(now, MemberUpdate { state: MemberState::Dead, ..update });
        }
        for host in expired {
            self.members.remove(&host);
        }
    }

    /// Applies an update of a host; refutes an update that gives a wrong state of this host.
    ///
    /// Returns whether the update refutes a suspicion, and so has to be forwarded at once.
    pub(super) fn apply_member_update(&mut self, now: Millis, update: MemberUpdate) -> bool {
        if update.host == self.identity.host {
            let held = self.members.get(update.host.as_str()).expect("the own entry is kept");
            let needs_refutation =
                update.incarnation == self.identity.incarnation && update.supersedes(&held.update);
            if needs_refutation {
                self.round = update.round + 1;
                self.update_own_entry(now);
                self.spread_urgently(now);
            }
            return false;
        }
        let held = self.members.get(update.host.as_str()).map(|member| member.update.state);
        let is_refuted = held == Some(MemberState::Suspect) && update.state < MemberState::Suspect;
        self.members.apply(now, update) && is_refuted
    }
}
