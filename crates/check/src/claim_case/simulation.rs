//! Discrete-event simulation of callers, entry host processes, network, store and backend server.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::claim::decode_segment;
use yuccanotch_core::claim::head_key;
use yuccanotch_core::claim::home_order;
use yuccanotch_core::claim::segment_key;
use yuccanotch_core::claim::BoundKey;
use yuccanotch_core::claim::CallClaim;
use yuccanotch_core::claim::CallerReply;
use yuccanotch_core::claim::ClaimKey;
use yuccanotch_core::claim::ClaimMessage;
use yuccanotch_core::claim::ClaimState;
use yuccanotch_core::claim::HolderStatus;
use yuccanotch_core::claim::Input;
use yuccanotch_core::claim::Nonce;
use yuccanotch_core::claim::Op;
use yuccanotch_core::claim::OpKind;
use yuccanotch_core::claim::OpReply;
use yuccanotch_core::claim::Purpose;
use yuccanotch_core::claim::Record;
use yuccanotch_core::claim::Replies;
use yuccanotch_core::claim::RequestDigest;
use yuccanotch_core::claim::SegmentRead;
use yuccanotch_core::claim::SlotHead;
use yuccanotch_core::claim::SlotId;
use yuccanotch_core::claim::SlotSettings;
use yuccanotch_core::claim::Step;
use yuccanotch_core::claim::StoreAnswer;
use yuccanotch_core::claim::StoreCall;
use yuccanotch_core::claim::StoredAnswer;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::ids::KeyVersion;
use yuccanotch_core::name::HostName;
use yuccanotch_core::name::ServiceName;
use yuccanotch_core::name::TeamName;
use yuccanotch_core::reason::Outcome;
use yuccanotch_core::reason::RefusalReason;
use yuccanotch_core::store::StoreError;

use super::process::Call;
use super::process::CallId;
use super::process::OutcomeCommit;
use super::process::Process;
use super::process::ProcessId;
use super::process::WaitId;
use super::process::Waiter;
use super::store::FakeStore;
use crate::case::CaseResult;
use crate::trace::Trace;

/// Time from which no fault occurs.
const FAULTS_END: Millis = Millis(3_000);
/// Time at which one final request for each key is sent; these have to be answered.
const FINAL_REQUESTS_AT: Millis = Millis(4_500);
/// Time at which the run ends.
const RUN_END: Millis = Millis(9_000);
/// Time that a process waits for a reply from a peer or from its own slot writer.
const RPC_TIMEOUT: Millis = Millis(150);
/// Time from the arrival of a call at a process to the deadline of its claim.
const CALL_TIMEOUT: Millis = Millis(1_500);
/// Number of sends after which a caller gives up a request.
const MAX_SENDS: u32 = 6;
/// Number of failed commits after which a process gives up recording the outcome of a call. Once
/// the faults have ended, it gives up refusals only.
const MAX_OUTCOME_COMMITS: u32 = 6;
/// Number of sends within which a final request has to settle, unless its outcome is unknown.
const MAX_SENDS_TO_SETTLE: u32 = 3;

/// Parameters of a run, drawn from the seed: sizes, probabilities of faults and numbers of faults.
#[derive(Clone, Debug)]
pub struct Plan {
    hosts: usize,
    slots: u16,
    keys: usize,
    bound_keys: usize,
    requests: usize,
    drop_probability: f64,
    duplicate_probability: f64,
    store_request_loss: f64,
    store_reply_loss: f64,
    slow_probability: f64,
    crashes: usize,
    replacements: usize,
    pauses: usize,
    link_cuts: usize,
    store_outages: usize,
    membership_changes: usize,
    store_restore: bool,
}

impl Plan {
    /// Draws any mixture of faults except a restore of the store from a backup.
    pub fn without_restore(rng: &mut Pcg64Mcg) -> Self {
        let fault_free = rng.random_bool(0.1);
        let probability = |rng: &mut Pcg64Mcg, max: f64| {
            if fault_free || rng.random_bool(0.4) {
                0.0
            } else {
                rng.random_range(0.0..max)
            }
        };
        let count = |rng: &mut Pcg64Mcg, max: usize| {
            if fault_free || rng.random_bool(0.4) {
                0
            } else {
                rng.random_range(1..=max)
            }
        };
        Self {
            hosts: rng.random_range(2..=4),
            slots: rng.random_range(1..=2),
            keys: rng.random_range(1..=6),
            bound_keys: rng.random_range(0..=1),
            requests: rng.random_range(2..=10),
            drop_probability: probability(rng, 0.3),
            duplicate_probability: probability(rng, 0.2),
            store_request_loss: probability(rng, 0.25),
            store_reply_loss: probability(rng, 0.25),
            slow_probability: probability(rng, 0.3),
            crashes: count(rng, 3),
            replacements: count(rng, 2),
            pauses: count(rng, 4),
            link_cuts: count(rng, 4),
            store_outages: count(rng, 2),
            membership_changes: count(rng, 6),
            store_restore: false,
        }
    }

    /// Draws a restore of the store from a backup. The only other fault is the loss of store replies,
    /// so that the home of each slot does not change.
    pub fn with_restore(rng: &mut Pcg64Mcg) -> Self {
        Self {
            drop_probability: 0.0,
            duplicate_probability: 0.0,
            store_request_loss: 0.0,
            slow_probability: 0.0,
            crashes: 0,
            replacements: 0,
            pauses: 0,
            link_cuts: 0,
            store_outages: 0,
            membership_changes: 0,
            bound_keys: 0,
            store_restore: true,
            requests: rng.random_range(4..=12),
            ..Self::without_restore(rng)
        }
    }
}

/// Response that a caller received for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Response {
    Answer(Vec<u8>),
    Refused { outcome: Outcome, reason: RefusalReason },
}

/// Request of a caller.
///
/// `key` is an index into `Simulation::keys`, `refuse` makes the process claim the key in order to
/// refuse the call, `settled` says that the caller sends no more, and `is_final` marks a request
/// that is sent after the faults have ended.
#[derive(Clone, Debug)]
struct Request {
    key: usize,
    digest: RequestDigest,
    refuse: bool,
    sends: u32,
    settled: bool,
    is_final: bool,
    response: Option<Response>,
}

/// What the backend server and the callers saw of one key with one request body.
#[derive(Debug, Default)]
struct Execution {
    dispatches: u32,
    answer: Vec<u8>,
    reported_not_run: bool,
}

/// Result of a dispatch to the backend server; `Lost` means that no answer arrived.
#[derive(Clone, Debug)]
enum DispatchResult {
    Answer(Vec<u8>),
    Lost,
    Refused,
}

/// Scheduled fault, or the end of one.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Crash,
    /// Pauses a process and starts its replacement, so that two processes of one host run.
    Replace,
    Pause,
    CutLink,
    StoreOutage,
    EndStoreOutage,
    ChangeMembership,
    BackUpStore,
    RestoreStore,
    EndFaults,
}

/// Scheduled event. `wait` is the number of the wait that an input or a message belongs to.
#[derive(Clone, Debug)]
enum Event {
    Send { request: usize },
    CallerTimeout { request: usize, sends: u32 },
    Input { process: ProcessId, call: CallId, wait: WaitId, input: Input },
    PeerMessage { to: HostName, from: ProcessId, call: CallId, wait: WaitId, message: ClaimMessage },
    RunStoreCall { process: ProcessId, slot: SlotId, call: StoreCall },
    StoreReply { process: ProcessId, slot: SlotId, answer: StoreAnswer },
    PollWriters { process: ProcessId },
    Dispatch { process: ProcessId, call: CallId },
    DispatchDone { process: ProcessId, call: CallId, result: DispatchResult },
    Fault(Fault),
}

impl Event {
    /// Returns the process that handles the event: a dead one drops it, a paused one handles it later.
    fn process(&self) -> Option<ProcessId> {
        match self {
            Self::Input { process, .. }
            | Self::StoreReply { process, .. }
            | Self::PollWriters { process }
            | Self::Dispatch { process, .. }
            | Self::DispatchDone { process, .. } => Some(*process),
            _ => None,
        }
    }
}

/// State of one run.
pub struct Simulation<'a> {
    plan: Plan,
    rng: Pcg64Mcg,
    trace: &'a mut Trace,
    now: Millis,
    /// Times and numbers of the scheduled events, earliest first.
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    /// Scheduled events by number.
    events: HashMap<u64, Event>,
    next_event: u64,
    store: FakeStore,
    host_names: Vec<HostName>,
    /// All processes ever started, dead and replaced ones included.
    processes: Vec<Process>,
    /// Latest process of each host.
    current_processes: BTreeMap<HostName, ProcessId>,
    /// Sender, receiver and end of each cut of a link.
    link_cuts: Vec<(HostName, HostName, Millis)>,
    keys: Vec<ClaimKey>,
    /// Bound keys by the claim keys that stand for them.
    bound_by_key: BTreeMap<ClaimKey, BoundKey>,
    requests: Vec<Request>,
    /// Executions by key and request digest.
    executions: BTreeMap<(ClaimKey, u128), Execution>,
    faults_ended: bool,
    next_wait: WaitId,
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
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
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
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > RUN_END {
                break;
            }
            self.now = self.now.max(at);
            let event = self.events.remove(&id).expect("each queued event is stored");
            self.handle(event);
            if let Some(text) = self.violation.take() {
                return Err(text);
            }
        }
        self.check_settled()?;
        self.check_store()
    }

    // Setup.

    fn start_process(&mut self, name: &HostName, incarnation: u64) {
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

    fn draw_keys(&mut self) {
        let team = TeamName::new("bakery");
        let service = ServiceName::new("ordering");
        for i in 0..self.plan.keys {
            self.keys.push(ClaimKey::new(&team, &service, &format!("order-{i}")));
        }
        for serial in 0..self.plan.bound_keys as u64 {
            let arbiter = self.processes[0].holder.clone();
            let bound = BoundKey { arbiter, serial };
            let key = ClaimKey::new(&team, &service, &bound.to_string());
            self.bound_by_key.insert(key, bound);
            self.keys.push(key);
        }
    }

    fn draw_requests(&mut self) {
        for _ in 0..self.plan.requests {
            let key = self.rng.random_range(0..self.keys.len());
            let other_body = self.rng.random_bool(0.1);
            let refuse = self.rng.random_bool(0.1);
            let at = self.rng.random_range(1..2_500);
            self.add_request(Millis(at), key, u128::from(other_body), refuse, false);
            if self.rng.random_bool(0.3) {
                self.add_request(Millis(at + 1), key, u128::from(other_body), false, false);
            }
        }
        for key in 0..self.keys.len() {
            self.add_request(FINAL_REQUESTS_AT, key, 0, false, true);
        }
    }

    fn add_request(&mut self, at: Millis, key: usize, body: u128, refuse: bool, is_final: bool) {
        let digest = RequestDigest(body);
        let request =
            Request { key, digest, refuse, sends: 0, settled: false, is_final, response: None };
        self.requests.push(request);
        self.schedule_at(at, Event::Send { request: self.requests.len() - 1 });
    }

    fn draw_faults(&mut self) {
        let plan = self.plan.clone();
        let faults = [
            (plan.crashes, Fault::Crash),
            (plan.replacements, Fault::Replace),
            (plan.pauses, Fault::Pause),
            (plan.link_cuts, Fault::CutLink),
            (plan.store_outages, Fault::StoreOutage),
            (plan.membership_changes, Fault::ChangeMembership),
        ];
        for (count, fault) in faults {
            for _ in 0..count {
                let at = self.rng.random_range(1..FAULTS_END.0);
                self.schedule_at(Millis(at), Event::Fault(fault));
            }
        }
        if plan.store_restore {
            let backup_at = self.rng.random_range(1..1_500);
            let restore_at = self.rng.random_range(backup_at..2_800);
            self.schedule_at(Millis(backup_at), Event::Fault(Fault::BackUpStore));
            self.schedule_at(Millis(restore_at), Event::Fault(Fault::RestoreStore));
        }
        self.schedule_at(FAULTS_END, Event::Fault(Fault::EndFaults));
    }

    // Event queue.

    fn schedule_at(&mut self, at: Millis, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at, self.next_event)));
    }

    fn schedule_after(&mut self, span: u64, event: Event) {
        self.schedule_at(self.now + Millis(span), event);
    }

    fn fault_occurs(&mut self, probability: f64) -> bool {
        !self.faults_ended && self.rng.random_bool(probability)
    }

    fn log(&mut self, text: String) {
        self.trace.add(format!("{:>5} {text}", self.now.0));
    }

    fn record_violation(&mut self, text: String) {
        self.log(format!("BROKEN {text}"));
        self.violation.get_or_insert(text);
    }

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

    // Callers.

    fn on_send(&mut self, request: usize) {
        let found = &mut self.requests[request];
        if found.settled {
            return;
        }
        found.sends += 1;
        let sends = found.sends;
        self.schedule_after(700, Event::CallerTimeout { request, sends });
        let name = self.host_names[self.rng.random_range(0..self.host_names.len())].clone();
        let process = self.current_processes[&name];
        if !self.processes[process].alive {
            return;
        }
        let Request { key, digest, refuse, .. } = self.requests[request].clone();
        let purpose =
            if refuse { Purpose::Refuse(RefusalReason::Overloaded) } else { Purpose::Run };
        let nonce = Nonce(self.rng.random());
        let holder = self.processes[process].holder.clone();
        let deadline = self.now + CALL_TIMEOUT;
        let claim = CallClaim::new(self.keys[key], digest, holder, nonce, purpose, deadline);
        let call = self.processes[process].allocate_id();
        let entry = Call { claim, request, wait: 0, commits: 0, outcome_commit: None };
        self.processes[process].calls.insert(call, entry);
        self.log(format!("request {request} key {key} sent to process {process} call {call}"));
        self.schedule_after(1, Event::Input { process, call, wait: 0, input: Input::Start });
    }

    fn on_caller_timeout(&mut self, request: usize, sends: u32) {
        let found = &self.requests[request];
        if !found.settled && found.sends == sends && sends < MAX_SENDS {
            self.schedule_after(1, Event::Send { request });
        }
    }

    fn respond(&mut self, request: usize, response: Response) {
        self.log(format!("request {request} told {response:?}"));
        let Request { key, digest, sends, .. } = self.requests[request];
        let execution = self.executions.entry((self.keys[key], digest.0)).or_default();
        let mut violation = None;
        let mut resend = false;
        match &response {
            Response::Answer(body) if execution.dispatches == 0 || execution.answer != *body => {
                violation = Some("a caller received another answer than the backend server gave");
            }
            Response::Refused { outcome: Outcome::NotRun, .. } => {
                execution.reported_not_run = true;
                if execution.dispatches > 0 {
                    violation = Some("a caller was told not_run after a dispatch");
                }
            }
            Response::Refused { outcome: Outcome::Ran, .. } if execution.dispatches == 0 => {
                violation = Some("a caller was told ran without a dispatch");
            }
            Response::Refused { outcome: Outcome::Unknown, .. } => resend = sends < MAX_SENDS,
            _ => {}
        }
        if let Some(text) = violation {
            self.record_violation(text.to_owned());
        }
        self.requests[request].response = Some(response);
        self.requests[request].settled = !resend;
        if resend {
            let wait = self.rng.random_range(20..300);
            self.schedule_after(wait, Event::Send { request });
        }
    }

    // Calls.

    fn on_input(&mut self, process: ProcessId, call: CallId, wait: WaitId, input: Input) {
        let now = self.now;
        let host = &mut self.processes[process];
        let Some(found) = host.calls.get_mut(&call) else {
            return;
        };
        if found.wait != wait {
            return;
        }
        self.next_wait += 1;
        found.wait = self.next_wait;
        if matches!(input, Input::NoCommitReply) {
            found.commits += 1;
        }
        if let Input::CommitReply(OpReply::Recorded { record, sequence }) = &input {
            let slot = record.key.slot(self.plan.slots);
            let seen = host.seen_sequences.entry(slot).or_default();
            *seen = (*seen).max(*sequence);
        }
        if found.outcome_commit.is_some() {
            self.on_outcome_input(process, call, input);
            return;
        }
        let step = found.claim.step(now, input, &mut host.registry);
        self.on_step(process, call, step);
    }

    fn on_step(&mut self, process: ProcessId, call: CallId, step: Step) {
        match step {
            Step::Commit(op) => self.commit(process, call, op),
            Step::Ask { holder, nonce, wait } => {
                if holder.host == self.processes[process].holder.host {
                    let status = self.processes[process].registry.status(&holder, nonce);
                    self.schedule_input(process, call, 20, Input::StatusReply(status));
                    return;
                }
                let message = ClaimMessage::Ask { holder: holder.clone(), nonce, wait };
                self.send_peer(process, call, &holder.host, message, Input::NoStatusReply);
            }
            Step::ReadSegment(id) => {
                let key = self.processes[process].calls[&call].claim.key();
                let record = self.read_segment(key, id);
                self.schedule_input(process, call, 2, Input::Segment(record));
            }
            Step::Pause(span) => self.schedule_input(process, call, span.0, Input::Resume),
            Step::Run => {
                let is_late = self.fault_occurs(0.1);
                let span = self.rng.random_range(0..if is_late { 600 } else { 30 });
                self.schedule_after(span, Event::Dispatch { process, call });
            }
            Step::ReplyToCaller(caller_reply) => {
                let request = self.remove_call(process, call);
                let response = match caller_reply {
                    CallerReply::Answer(answer) => Response::Answer(answer.body),
                    CallerReply::Refuse { outcome, reason, .. } => {
                        Response::Refused { outcome, reason }
                    }
                };
                self.respond(request, response);
            }
        }
    }

    fn remove_call(&mut self, process: ProcessId, call: CallId) -> usize {
        let removed = self.processes[process].calls.remove(&call);
        removed.expect("a call is removed once").request
    }

    fn schedule_input(&mut self, process: ProcessId, call: CallId, span: u64, input: Input) {
        let wait = self.processes[process].calls[&call].wait;
        self.schedule_after(span, Event::Input { process, call, wait, input });
    }

    fn read_segment(&mut self, key: ClaimKey, id: u64) -> SegmentRead {
        let path = segment_key(key.slot(self.plan.slots), id);
        match self.store.call(StoreCall::Get { key: path }) {
            StoreAnswer::Got(Ok(Some(found))) => {
                let records = decode_segment(&found.value).unwrap_or_default();
                let found = records.into_iter().find(|record| record.key == key);
                found.map_or(SegmentRead::Missing, SegmentRead::Found)
            }
            StoreAnswer::Got(Ok(None)) => SegmentRead::Missing,
            _ => SegmentRead::Unavailable,
        }
    }

    fn commit(&mut self, process: ProcessId, call: CallId, op: Op) {
        if let Some(bound) = self.bound_by_key.get(&op.key).cloned() {
            let incarnation = bound.arbiter.incarnation;
            if bound.arbiter.host == self.processes[process].holder.host {
                let now = self.now;
                let reply = self.processes[process].bound_table.commit(incarnation, &op, now);
                self.schedule_input(process, call, 0, Input::CommitReply(reply));
                return;
            }
            let message = ClaimMessage::CommitBound { incarnation, op };
            self.send_peer(process, call, &bound.arbiter.host, message, Input::NoCommitReply);
            return;
        }
        let slot = op.key.slot(self.plan.slots);
        let host = &self.processes[process];
        let order = home_order(slot, &host.members);
        let home = order[host.calls[&call].commits % order.len()].clone();
        let seen = host.seen_sequences.get(&slot).copied().unwrap_or(0);
        if home == host.holder.host {
            let wait = host.calls[&call].wait;
            self.submit(process, Waiter::Local(call, wait), slot, seen, op);
            self.schedule_input(process, call, RPC_TIMEOUT.0, Input::NoCommitReply);
            return;
        }
        let message = ClaimMessage::Commit { slot, seen, op };
        self.send_peer(process, call, &home, message, Input::NoCommitReply);
    }

    fn submit(&mut self, process: ProcessId, waiter: Waiter, slot: SlotId, seen: u64, op: Op) {
        let now = self.now;
        match self.processes[process].writers.submit(now, slot, seen, op) {
            Ok(ticket) => {
                self.processes[process].waiters.insert(ticket, waiter);
                self.poll_writers(process);
            }
            Err(_) => self.reply_to_waiter(process, waiter, OpReply::Unavailable),
        }
    }

    // Network.

    fn is_cut(&self, from: &HostName, to: &HostName) -> bool {
        let is_active_cut = |(a, b, until): &(HostName, HostName, Millis)| {
            a == from && b == to && *until > self.now
        };
        !self.faults_ended && self.link_cuts.iter().any(is_active_cut)
    }

    fn latency(&mut self) -> u64 {
        let probability = self.plan.slow_probability;
        if self.fault_occurs(probability) {
            return self.rng.random_range(1..600);
        }
        self.rng.random_range(1..8)
    }

    fn send_peer(
        &mut self,
        process: ProcessId,
        call: CallId,
        to: &HostName,
        message: ClaimMessage,
        timeout_input: Input,
    ) {
        self.schedule_input(process, call, RPC_TIMEOUT.0, timeout_input);
        let wait = self.processes[process].calls[&call].wait;
        let from = self.processes[process].holder.host.clone();
        let copies = if self.fault_occurs(self.plan.duplicate_probability) { 2 } else { 1 };
        for _ in 0..copies {
            if self.is_cut(&from, to) || self.fault_occurs(self.plan.drop_probability) {
                continue;
            }
            let latency = self.latency();
            let message = message.clone();
            let event = Event::PeerMessage { to: to.clone(), from: process, call, wait, message };
            self.schedule_after(latency, event);
        }
    }

    fn send_peer_reply(
        &mut self,
        from: ProcessId,
        to: ProcessId,
        call: CallId,
        wait: WaitId,
        input: Input,
    ) {
        let from = self.processes[from].holder.host.clone();
        let name = self.processes[to].holder.host.clone();
        if self.is_cut(&from, &name) || self.fault_occurs(self.plan.drop_probability) {
            return;
        }
        let latency = self.latency();
        self.schedule_after(latency, Event::Input { process: to, call, wait, input });
    }

    fn on_peer_message(
        &mut self,
        to: &HostName,
        from: ProcessId,
        call: CallId,
        wait: WaitId,
        message: ClaimMessage,
    ) {
        let process = self.current_processes[to];
        if !self.processes[process].alive {
            return;
        }
        let paused_until = self.processes[process].paused_until;
        if paused_until > self.now {
            let event = Event::PeerMessage { to: to.clone(), from, call, wait, message };
            self.schedule_at(paused_until, event);
            return;
        }
        match message {
            ClaimMessage::Commit { slot, seen, op } => {
                self.submit(process, Waiter::Peer(from, call, wait), slot, seen, op);
            }
            ClaimMessage::CommitBound { incarnation, op } => {
                let now = self.now;
                let reply = self.processes[process].bound_table.commit(incarnation, &op, now);
                self.send_peer_reply(process, from, call, wait, Input::CommitReply(reply));
            }
            ClaimMessage::Ask { holder, nonce, .. } => {
                let status = self.processes[process].registry.status(&holder, nonce);
                if status == HolderStatus::Running {
                    // Simulates that the asked host answers only after waiting for the call to end.
                    let event = Event::Input {
                        process: from,
                        call,
                        wait,
                        input: Input::StatusReply(HolderStatus::Running),
                    };
                    self.schedule_after(30, event);
                    return;
                }
                self.send_peer_reply(process, from, call, wait, Input::StatusReply(status));
            }
        }
    }

    fn reply_to_waiter(&mut self, process: ProcessId, waiter: Waiter, reply: OpReply) {
        match waiter {
            Waiter::Local(call, wait) => {
                let input = Input::CommitReply(reply);
                self.schedule_after(0, Event::Input { process, call, wait, input });
            }
            Waiter::Peer(to, call, wait) => {
                self.send_peer_reply(process, to, call, wait, Input::CommitReply(reply));
            }
        }
    }

    fn deliver_replies(&mut self, process: ProcessId, replies: Replies) {
        for (ticket, reply) in replies {
            if let Some(waiter) = self.processes[process].waiters.remove(&ticket) {
                self.reply_to_waiter(process, waiter, reply);
            }
        }
    }

    // Store.

    fn poll_writers(&mut self, process: ProcessId) {
        let now = self.now;
        let (replies, calls) = self.processes[process].writers.poll(now, now, &mut self.rng);
        self.deliver_replies(process, replies);
        for call in calls {
            let latency = self.store_latency();
            let event = Event::RunStoreCall { process, slot: call.slot, call: call.call };
            self.schedule_after(latency, event);
        }
    }

    fn store_latency(&mut self) -> u64 {
        let probability = self.plan.slow_probability;
        if self.fault_occurs(probability) {
            return self.rng.random_range(1..300);
        }
        self.rng.random_range(1..4)
    }

    fn on_store_call(&mut self, process: ProcessId, slot: SlotId, call: StoreCall) {
        let request_lost = self.fault_occurs(self.plan.store_request_loss);
        let reply_lost = self.fault_occurs(self.plan.store_reply_loss);
        let lost_answer = match &call {
            StoreCall::Get { .. } => StoreAnswer::Got(Err(StoreError::AnswerLost)),
            StoreCall::Swap { .. } => StoreAnswer::Swapped(Err(StoreError::AnswerLost)),
            StoreCall::Delete { .. } => StoreAnswer::Deleted,
        };
        if request_lost {
            // The call may still reach the store long after its sender gave up. The slot number
            // `u16::MAX` marks such a call, whose answer nobody receives.
            if self.rng.random_bool(0.5) {
                let wait = self.rng.random_range(1..400);
                let arrival = self.now + Millis(wait);
                let slot = SlotId(u16::MAX);
                self.schedule_at(arrival, Event::RunStoreCall { process, slot, call });
            }
            self.schedule_after(60, Event::StoreReply { process, slot, answer: lost_answer });
            return;
        }
        let answer = self.store.call(call);
        if slot == SlotId(u16::MAX) {
            return;
        }
        let answer = if reply_lost { lost_answer } else { answer };
        let latency = self.store_latency();
        self.schedule_after(latency, Event::StoreReply { process, slot, answer });
    }

    // Dispatch.

    fn on_dispatch(&mut self, process: ProcessId, call: CallId) {
        let Some(found) = self.processes[process].calls.get(&call) else {
            return;
        };
        let Request { key, digest, .. } = self.requests[found.request].clone();
        if self.rng.random_bool(0.15) {
            let result = DispatchResult::Refused;
            self.schedule_after(1, Event::DispatchDone { process, call, result });
            return;
        }
        self.log(format!("process {process} call {call} dispatches key {key}"));
        let answer = format!("confirmed {key} by {process}/{call}").into_bytes();
        self.record_dispatch(self.keys[key], digest, answer.clone());
        let span = self.rng.random_range(1..80);
        let lost = self.rng.random_bool(0.15);
        let result = if lost { DispatchResult::Lost } else { DispatchResult::Answer(answer) };
        self.schedule_after(span, Event::DispatchDone { process, call, result });
    }

    fn record_dispatch(&mut self, key: ClaimKey, digest: RequestDigest, answer: Vec<u8>) {
        let execution = self.executions.entry((key, digest.0)).or_default();
        execution.dispatches += 1;
        execution.answer = answer;
        if execution.reported_not_run {
            self.record_violation("a call that was told not_run was dispatched".to_owned());
        }
        let of_key = self.executions.range((key, 0)..=(key, u128::MAX));
        let dispatches: u32 = of_key.map(|(_, execution)| execution.dispatches).sum();
        if dispatches > 1 {
            self.record_violation(format!("a key was dispatched {dispatches} times"));
        }
    }

    fn on_dispatch_done(&mut self, process: ProcessId, call: CallId, result: DispatchResult) {
        let host = &mut self.processes[process];
        let Some(found) = host.calls.get_mut(&call) else {
            return;
        };
        let request = found.request;
        let nonce = found.claim.nonce();
        let refusal = matches!(result, DispatchResult::Refused);
        found.outcome_commit = Some(OutcomeCommit { refusal, attempts: 0 });
        self.next_wait += 1;
        found.wait = self.next_wait;
        let kind = match result {
            DispatchResult::Answer(body) => {
                let answer = StoredAnswer {
                    status: 200,
                    content_type: "text/plain".to_owned(),
                    body: body.clone(),
                };
                let state = ClaimState::answered(answer);
                host.registry.end(nonce, state.clone());
                self.respond(request, Response::Answer(body));
                OpKind::Finish { state }
            }
            DispatchResult::Lost => {
                host.registry.end(nonce, ClaimState::Unknown);
                self.respond_unknown(request);
                OpKind::Finish { state: ClaimState::Unknown }
            }
            DispatchResult::Refused => {
                host.registry.withdraw(nonce);
                OpKind::Refuse { reason: RefusalReason::NoServer }
            }
        };
        let op = self.processes[process].calls[&call].claim.op_of_kind(kind);
        self.processes[process].outcome_ops.insert(call, op.clone());
        self.commit(process, call, op);
    }

    fn respond_unknown(&mut self, request: usize) {
        let reason = RefusalReason::OutcomeUnknown;
        self.respond(request, Response::Refused { outcome: Outcome::Unknown, reason });
    }

    fn on_outcome_input(&mut self, process: ProcessId, call: CallId, input: Input) {
        let host = &mut self.processes[process];
        let found = host.calls.get_mut(&call).expect("the call is in progress");
        let mut outcome_commit = found.outcome_commit.expect("the call is ending");
        let nonce = found.claim.nonce();
        let request = found.request;
        match input {
            Input::CommitReply(OpReply::Unavailable) | Input::NoCommitReply => {
                outcome_commit.attempts += 1;
                found.outcome_commit = Some(outcome_commit);
                if outcome_commit.attempts < MAX_OUTCOME_COMMITS
                    || (self.faults_ended && !outcome_commit.refusal)
                {
                    self.schedule_input(process, call, 40, Input::Resume);
                    return;
                }
            }
            Input::Resume => {
                let op = host.outcome_ops[&call].clone();
                self.commit(process, call, op);
                return;
            }
            Input::CommitReply(OpReply::Recorded { record, .. }) if outcome_commit.refusal => {
                self.remove_call(process, call);
                let refused = matches!(record.state, ClaimState::Tombstone(_));
                if refused && record.nonce == nonce {
                    let outcome = Outcome::NotRun;
                    let reason = RefusalReason::NoServer;
                    self.respond(request, Response::Refused { outcome, reason });
                } else {
                    self.respond_unknown(request);
                }
                return;
            }
            _ => {}
        }
        self.remove_call(process, call);
        if outcome_commit.refusal {
            self.respond_unknown(request);
        }
    }

    // Faults.

    fn on_fault(&mut self, fault: Fault) {
        self.log(format!("fault {fault:?}"));
        let name = self.host_names[self.rng.random_range(0..self.host_names.len())].clone();
        let other = self.host_names[self.rng.random_range(0..self.host_names.len())].clone();
        let process = self.current_processes[&name];
        let until = self.now + Millis(self.rng.random_range(50..900));
        match fault {
            Fault::Crash => {
                self.processes[process].alive = false;
                self.start_replacement(&name);
            }
            Fault::Replace => {
                self.processes[process].paused_until = until;
                self.start_replacement(&name);
            }
            Fault::Pause => self.processes[process].paused_until = until,
            Fault::CutLink => {
                self.link_cuts.push((name.clone(), other.clone(), until));
                if self.rng.random_bool(0.6) {
                    self.link_cuts.push((other, name, until));
                }
            }
            Fault::StoreOutage => {
                self.store.unavailable = true;
                self.schedule_at(until, Event::Fault(Fault::EndStoreOutage));
            }
            Fault::EndStoreOutage => self.store.unavailable = false,
            Fault::ChangeMembership => {
                let host_names = self.host_names.clone();
                self.processes[process].randomize_members(&host_names, &mut self.rng);
            }
            Fault::BackUpStore => self.store.back_up(),
            Fault::RestoreStore => self.store.restore(),
            Fault::EndFaults => {
                self.faults_ended = true;
                self.store.unavailable = false;
            }
        }
    }

    fn start_replacement(&mut self, name: &HostName) {
        let incarnation = self.processes[self.current_processes[name]].holder.incarnation.0;
        self.start_process(name, incarnation + 1);
    }

    // Checks at the end.

    fn check_settled(&mut self) -> CaseResult {
        for (i, request) in self.requests.iter().enumerate().filter(|(_, found)| found.is_final) {
            let Some(response) = &request.response else {
                return Err(format!("request {i} was told nothing after the faults had stopped"));
            };
            let unavailable = RefusalReason::StoreUnavailable;
            if matches!(response, Response::Refused { reason, .. } if *reason == unavailable) {
                return Err(format!(
                    "request {i} was told {response:?} after the faults had stopped"
                ));
            }
            if request.sends > MAX_SENDS_TO_SETTLE && *response != self.unknown_response() {
                return Err(format!("request {i} settled only after {} sends", request.sends));
            }
        }
        Ok(())
    }

    fn unknown_response(&self) -> Response {
        Response::Refused { outcome: Outcome::Unknown, reason: RefusalReason::OutcomeUnknown }
    }

    /// Checks that the stored records agree with what the backend server executed.
    fn check_store(&mut self) -> CaseResult {
        let mut records = BTreeMap::new();
        for slot in 0..self.plan.slots {
            for record in self.read_records(SlotId(slot))? {
                records.insert(record.key, record);
            }
        }
        for ((key, digest), execution) in &self.executions {
            if execution.dispatches == 0 || self.bound_by_key.contains_key(key) {
                continue;
            }
            let Some(record) = records.get(key) else {
                return Err("a dispatched call has no record".to_owned());
            };
            let answered = matches!(&record.state,
                ClaimState::Answered(answer) if answer.body != execution.answer);
            let refused = matches!(record.state, ClaimState::Tombstone(_));
            if record.digest.0 != *digest || answered || refused {
                return Err(format!("a dispatched call is recorded as {record:?}"));
            }
        }
        Ok(())
    }

    fn read_records(&mut self, slot: SlotId) -> Result<Vec<Record>, String> {
        let head = match self.read_value(head_key(slot)) {
            Some(value) => SlotHead::decode(&value).map_err(|e| e.to_string())?,
            None => SlotHead::default(),
        };
        let mut records = Vec::new();
        for segment in &head.sealed {
            let key = segment_key(slot, segment.id);
            let value = self.read_value(key).ok_or("a listed segment is missing")?;
            let sealed = decode_segment(&value);
            records.extend(sealed.map_err(|e| e.to_string())?);
        }
        records.extend(head.open);
        Ok(records)
    }

    fn read_value(&mut self, key: String) -> Option<Vec<u8>> {
        match self.store.call(StoreCall::Get { key }) {
            StoreAnswer::Got(Ok(Some(found))) if found.version > KeyVersion(0) => Some(found.value),
            _ => None,
        }
    }
}
