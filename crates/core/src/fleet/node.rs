//! One entry host's part in membership and observation.

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

/// Who a host is.
#[derive(Clone, Debug)]
pub struct HostIdentity {
    /// Name.
    pub host: HostName,
    /// Failure domain.
    pub domain: DomainName,
    /// Address for other entry hosts.
    pub address: SocketAddr,
    /// Incarnation.
    pub incarnation: Incarnation,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// Time passed.
    Tick,
    /// Another host sent a request; exactly one [`FleetAction::Reply`] follows.
    Request {
        /// Sender.
        from: HostName,
        /// Request.
        message: FleetMessage,
    },
    /// A call was answered.
    Reply {
        /// Host that answered.
        from: HostName,
        /// Answer.
        reply: FleetReply,
    },
    /// The platform's host list was read.
    Listed(HostList),
    /// A configuration is in force.
    Declared(Vec<DeclaredServer>),
    /// A backend server was asked for its load; `None` when it did not answer.
    Observed {
        /// Server.
        server: ServerName,
        /// Its report.
        report: Option<LoadReport>,
    },
    /// This host is stopping.
    Leave,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetAction {
    /// Send a request; a reply comes back as [`FleetEvent::Reply`], a failure not at all.
    Call {
        /// Receiver.
        to: HostName,
        /// Request.
        message: FleetMessage,
    },
    /// Answer the request at hand.
    Reply(FleetReply),
    /// Ask a backend server for its load.
    Observe(ServerName),
    /// Read the platform's host list.
    ReadHostList,
}

/// Membership and observation as one entry host takes part in them.
#[derive(Debug)]
pub struct FleetNode {
    pub(super) identity: HostIdentity,
    pub(super) timing: Timing,
    pub(super) members: MemberTable,
    pub(super) probes: Probes,
    pub(super) rng: Pcg64Mcg,
    pub(super) actions: Vec<FleetAction>,
    pub(super) servers: ServerTable,
    pub(super) stamp_offset: Millis,
    pub(super) domain_heard_at: BTreeMap<DomainName, Stamp>,
    round: u32,
    leaving: bool,
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
    /// Creates the node of a host; `unix` is the time since the Unix epoch at `now`.
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

    /// Takes an event and returns what is to be done.
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

    /// Returns all entry hosts that are known, this one included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// Returns the backend servers.
    pub fn servers(&self) -> impl Iterator<Item = (&ServerName, &ServerRecord)> {
        self.servers.iter()
    }

    /// Returns what is known of a backend server.
    pub fn server(&self, name: &ServerName) -> Option<&ServerRecord> {
        self.servers.get(name)
    }

    /// Returns a number that grows with each change of the backend servers.
    pub fn servers_version(&self) -> u64 {
        self.servers.version()
    }

    /// Returns whether the platform's host list shows a host or backend server as leaving.
    pub fn is_listed_leaving(&self, name: &str) -> bool {
        self.servers.is_listed_leaving(name)
    }

    /// Returns whether a failure domain answers this host's domain.
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

    /// Puts the own entry into the member table.
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
            // This host was paused: silence of others proves nothing.
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

    /// Declares suspects dead that did not refute, and forgets the dead.
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

    /// Takes an update of a host; refutes what is said wrongly of this one.
    ///
    /// Returns whether it refutes a suspicion, and so is urgent to pass on.
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
