//! Discrete-event simulation of callers, entry host processes, network, store and backend server.

use std::collections::BTreeMap;

use rand_pcg::Pcg64Mcg;
use yuccanotch_core::claim::BoundKey;
use yuccanotch_core::claim::ClaimKey;
use yuccanotch_core::claim::SlotSettings;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::name::HostName;

use super::callers::Request;
use super::dispatch::Execution;
use super::event::Event;
use super::event::EventQueue;
use super::plan::Plan;
use super::process::Process;
use super::process::ProcessId;
use super::process::WaitId;
use super::store::FakeStore;
use crate::case::CaseResult;
use crate::trace::Trace;

/// Time at which the run ends.
const RUN_END: Millis = Millis(9_000);

/// State of one run.
pub struct Simulation<'a> {
    pub(super) plan: Plan,
    pub(super) rng: Pcg64Mcg,
    trace: &'a mut Trace,
    pub(super) now: Millis,
    queue: EventQueue,
    pub(super) store: FakeStore,
    pub(super) host_names: Vec<HostName>,
    /// All processes ever started, dead and replaced ones included.
    pub(super) processes: Vec<Process>,
    /// Latest process of each host.
    pub(super) current_processes: BTreeMap<HostName, ProcessId>,
    /// Sender, receiver and end of each cut of a link.
    pub(super) link_cuts: Vec<(HostName, HostName, Millis)>,
    pub(super) keys: Vec<ClaimKey>,
    /// Bound keys by the claim keys that stand for them.
    pub(super) bound_by_key: BTreeMap<ClaimKey, BoundKey>,
    pub(super) requests: Vec<Request>,
    /// Executions by key and request digest.
    pub(super) executions: BTreeMap<(ClaimKey, u128), Execution>,
    pub(super) faults_ended: bool,
    pub(super) next_wait: WaitId,
    /// First violated invariant.
    violation: Option<String>,
}

impl<'a> Simulation<'a> {
    /// Creates the processes, keys, requests and faults of a plan.
    pub fn new(plan: Plan, rng: Pcg64Mcg, trace: &'a mut Trace) -> Self {
        let host_names: Vec<HostName> =
            (0..plan.hosts).map(|i| HostName::new(&format!("entry-{i}"))).collect();
        let mut sim = Self {
            rng,
            trace,
            now: Millis(1),
            queue: EventQueue::default(),
            store: FakeStore::default(),
            processes: Vec::new(),
            current_processes: BTreeMap::new(),
            link_cuts: Vec::new(),
            keys: Vec::new(),
            bound_by_key: BTreeMap::new(),
            requests: Vec::new(),
            executions: BTreeMap::new(),
            faults_ended: false,
            next_wait: 0,
            violation: None,
            host_names,
            plan,
        };
        for name in sim.host_names.clone() {
            sim.start_process(&name, 1);
        }
        sim.draw_keys();
        sim.draw_requests();
        sim.draw_faults();
        sim
    }

    /// Runs to the end and checks the invariants.
    ///
    /// # Errors
    ///
    /// Returns the invariant that was violated.
    pub fn run(mut self) -> CaseResult {
        while let Some((at, event)) = self.queue.pop() {
            if at > RUN_END {
                break;
            }
            self.now = self.now.max(at);
            self.handle(event);
            if let Some(text) = self.violation.take() {
                return Err(text);
            }
        }
        self.check_settled()?;
        self.check_store()
    }

    /// Starts a process of a host; it becomes the current one of the host.
    pub(super) fn start_process(&mut self, name: &HostName, incarnation: u64) {
        let settings = SlotSettings {
            seal_bytes: 250,
            max_batch: 4,
            max_queue: 64,
            store_backoff: Millis(30),
            max_head_age: Millis(500),
            ..SlotSettings::default()
        };
        let members = self.host_names.clone();
        self.processes.push(Process::new(name, incarnation, settings, members));
        let process = self.processes.len() - 1;
        self.current_processes.insert(name.clone(), process);
        self.schedule_after(1, Event::PollWriters { process });
    }

    /// Schedules an event at a time.
    pub(super) fn schedule_at(&mut self, at: Millis, event: Event) {
        self.queue.push(at, event);
    }

    /// Schedules an event `span` milliseconds from now.
    pub(super) fn schedule_after(&mut self, span: u64, event: Event) {
        self.schedule_at(self.now + Millis(span), event);
    }

    /// Adds a step to the trace, with the time.
    pub(super) fn log(&mut self, text: String) {
        self.trace.add(format!("{:>5} {text}", self.now.0));
    }

    /// Records that an invariant is violated; only the first violation is kept.
    pub(super) fn record_violation(&mut self, text: String) {
        self.log(format!("BROKEN {text}"));
        self.violation.get_or_insert(text);
    }

    /// Handles an event now, or later if its process is paused; a dead process drops it.
    fn handle(&mut self, event: Event) {
        if let Some(process) = event.process() {
            if !self.processes[process].alive {
                return;
            }
            let paused_until = self.processes[process].paused_until;
            if paused_until > self.now {
                self.schedule_at(paused_until, event);
                return;
            }
        }
        self.handle_now(event);
    }

    fn handle_now(&mut self, event: Event) {
        match event {
            Event::Send { request } => self.on_send(request),
            Event::CallerTimeout { request, sends } => self.on_caller_timeout(request, sends),
            Event::Input { process, call, wait, input } => {
                self.on_input(process, call, wait, input);
            }
            Event::PeerMessage { to, from, call, wait, message } => {
                self.on_peer_message(&to, from, call, wait, message);
            }
            Event::RunStoreCall { process, slot, call } => self.on_store_call(process, slot, call),
            Event::StoreReply { process, slot, answer } => {
                let now = self.now;
                let replies = self.processes[process].writers.on_store(now, slot, answer);
                self.deliver_replies(process, replies);
                self.poll_writers(process);
            }
            Event::PollWriters { process } => {
                self.poll_writers(process);
                self.schedule_after(25, Event::PollWriters { process });
            }
            Event::Dispatch { process, call } => self.on_dispatch(process, call),
            Event::DispatchDone { process, call, result } => {
                self.on_dispatch_done(process, call, result);
            }
            Event::Fault(fault) => self.on_fault(fault),
        }
    }
}
