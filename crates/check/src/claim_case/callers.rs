//! Callers, which send requests again when they receive no response.

use rand::Rng;
use yuccanotch_core::claim::BoundKey;
use yuccanotch_core::claim::CallClaim;
use yuccanotch_core::claim::ClaimKey;
use yuccanotch_core::claim::Input;
use yuccanotch_core::claim::Nonce;
use yuccanotch_core::claim::Purpose;
use yuccanotch_core::claim::RequestDigest;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::name::ServiceName;
use yuccanotch_core::name::TeamName;
use yuccanotch_core::reason::Outcome;
use yuccanotch_core::reason::RefusalReason;

use super::event::Event;
use super::process::Call;
use super::simulation::Simulation;

/// Time at which one final request for each key is sent; these have to be answered.
const FINAL_REQUESTS_AT: Millis = Millis(4_500);
/// Time from the arrival of a call at a process to the deadline of its claim.
const CALL_TIMEOUT: Millis = Millis(1_500);
/// Number of sends after which a caller gives up a request.
const MAX_SENDS: u32 = 6;

/// Response that a caller received for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Response {
    Answer(Vec<u8>),
    Refused { outcome: Outcome, reason: RefusalReason },
}

/// Request of a caller.
///
/// `key` is an index into `Simulation::keys`, `refuse` makes the process claim the key in order to
/// refuse the call, `settled` says that the caller sends no more, and `is_final` marks a request
/// that is sent after the faults have ended.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) key: usize,
    pub(super) digest: RequestDigest,
    pub(super) refuse: bool,
    pub(super) sends: u32,
    pub(super) settled: bool,
    pub(super) is_final: bool,
    pub(super) response: Option<Response>,
}

impl Simulation<'_> {
    /// Draws the idempotency keys, those bound to a process included.
    pub(super) fn draw_keys(&mut self) {
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

    /// Draws the requests under faults and one final request for each key.
    pub(super) fn draw_requests(&mut self) {
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

    /// Sends a request of a caller to a random host.
    pub(super) fn on_send(&mut self, request: usize) {
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

    /// Sends a request again if no response to its latest send has arrived.
    pub(super) fn on_caller_timeout(&mut self, request: usize, sends: u32) {
        let found = &self.requests[request];
        if !found.settled && found.sends == sends && sends < MAX_SENDS {
            self.schedule_after(1, Event::Send { request });
        }
    }

    /// Delivers a response to a caller and checks it against what the backend server ran.
    pub(super) fn respond(&mut self, request: usize, response: Response) {
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

    /// Tells a caller that its request may have been run.
    pub(super) fn respond_unknown(&mut self, request: usize) {
        let reason = RefusalReason::OutcomeUnknown;
        self.respond(request, Response::Refused { outcome: Outcome::Unknown, reason });
    }
}
