//! Compares the requests, answers and counters of whole sessions with golden files.
//!
//! `YUCCANOTCH_BLESS=1 cargo test -p yuccanotch-local --test golden` overwrites the golden files.

mod support;

use std::env;
use std::fs;
use std::path::PathBuf;

use yuccanotch_core::clock::Millis;
use yuccanotch_local::Plan;
use yuccanotch_standin::Fault;
use yuccanotch_standin::FaultRequest;

use crate::support::request;
use crate::support::transcript;
use crate::support::TestEnvironment;

const UPDATE_VARIABLE: &str = "YUCCANOTCH_BLESS";
const FAULT_MS: u64 = 60_000;
const RETAIL: (&str, &str) = ("authorization", "Bearer retail-key");
const INSPECTORS: (&str, &str) = ("authorization", "Bearer inspectors-key");
const JSON: (&str, &str) = ("content-type", "application/json");
const CHAT: &str = "/v1/chat/completions";
const QUOTE: &[u8] = br#"{"model": "assistant", "max_tokens": 12, "messages": [{"role": "user", "content": "Quote 5000 kraft bags"}]}"#;
const QUOTE_STREAM: &[u8] = br#"{"model": "assistant", "max_tokens": 12, "stream": true, "messages": [{"role": "user", "content": "Quote 5000 kraft bags"}]}"#;
const CONFIRM: &str = "/ordering/confirmations";

/// Transcript of one session with a deployment of its own.
struct Session {
    env: TestEnvironment,
    text: String,
}

impl Session {
    fn start(plan: Plan) -> Self {
        Self { env: TestEnvironment::start(plan), text: String::new() }
    }

    fn haddad() -> Self {
        Self::start(haddad())
    }

    fn send(&mut self, raw: &[u8]) {
        self.send_to(0, raw);
    }

    fn send_to(&mut self, host: usize, raw: &[u8]) {
        let answer = support::exchange(self.env.host(host), raw);
        self.text.push_str(&transcript::render_request(raw));
        self.text.push_str(&transcript::render_answer(&answer));
        self.text.push('\n');
    }

    fn confirm(&mut self, key: &str, body: &[u8]) {
        self.send(&request("POST", CONFIRM, &[RETAIL, JSON, ("idempotency-key", key)], body));
    }

    fn inject(&mut self, fault: Fault) {
        let line = serde_json::to_string(&fault).expect("a fault can be rendered");
        self.text.push_str(&format!("! {line}\n\n"));
        let req = FaultRequest { fault, for_ms: FAULT_MS };
        self.env.deployment.standin.inject(req).expect("the fault's target exists");
    }

    fn inject_on_services(&mut self, fault: fn(&str) -> Fault) {
        for domain in ["abdali", "marka", "sahab"] {
            self.inject(fault(&format!("ordering-{domain}")));
        }
    }

    /// Compares the transcript with its golden file; with `YUCCANOTCH_BLESS` set, writes the file
    /// first.
    fn compare_with_golden(mut self, name: &str) {
        let running = self.env.deployment.entries[0].as_ref().expect("the entry host runs");
        self.text.push_str(&transcript::render_counters(&running.host.telemetry.render()));
        let path: PathBuf = [env!("CARGO_MANIFEST_DIR"), "tests", "golden", &format!("{name}.txt")]
            .iter()
            .collect();
        if env::var_os(UPDATE_VARIABLE).is_some() {
            fs::write(&path, &self.text).expect("the golden file can be written");
        }
        let golden = fs::read_to_string(&path).unwrap_or_default();
        assert_eq!(
            self.text, golden,
            "session {name} differs from its golden file; {UPDATE_VARIABLE}=1 overwrites the file"
        );
        self.env.deployment.stop();
    }
}

fn haddad() -> Plan {
    let mut plan = Plan::haddad(21);
    plan.limits.body_bytes = 2048;
    plan.limits.read_timeout = Millis(200);
    plan
}

#[test]
fn bag_quote_streams_tokens_and_a_closing_frame() {
    let mut session = Session::haddad();
    session.send(&request("POST", CHAT, &[RETAIL], QUOTE_STREAM));
    session.compare_with_golden("bag-quote");
}

#[test]
fn stock_check_is_answered() {
    let mut session = Session::haddad();
    session.send(&request("GET", "/ordering/stock?item=kraft-90", &[RETAIL], b""));
    session.compare_with_golden("stock-check");
}

#[test]
fn order_confirmation_runs_once_for_two_sends() {
    let mut session = Session::haddad();
    let headers = [RETAIL, JSON, ("idempotency-key", "order-1")];
    let raw = request("POST", CONFIRM, &headers, br#"{"order": 1}"#);
    session.send(&raw);
    session.send_to(1, &raw);
    session.compare_with_golden("order-confirmation");
}

#[test]
fn tender_summary_is_answered_whole() {
    let mut session = Session::start(Plan::association(21));
    let body = r#"{"model": "redacao", "max_tokens": 12, "messages": [{"role": "user", "content": "Resuma o edital"}]}"#;
    session.send(&request("POST", CHAT, &[INSPECTORS], body.as_bytes()));
    session.compare_with_golden("tender-summary");
}

#[test]
fn batch_registration_runs_once_for_two_sends() {
    let mut session = Session::start(Plan::association(21));
    let headers = [INSPECTORS, JSON, ("idempotency-key", "batch-1")];
    let raw = request("POST", "/registro/batches", &headers, br#"{"batch": 1}"#);
    session.send(&raw);
    session.send_to(2, &raw);
    session.compare_with_golden("batch-registration");
}

#[test]
fn refusals_of_bad_input() {
    let mut session = Session::haddad();
    session.send(&request("POST", CHAT, &[], QUOTE));
    session.send(&request("POST", CHAT, &[RETAIL], b"{"));
    session.send(&request("POST", CHAT, &[RETAIL], b"\xff"));
    session.send(&request("POST", CHAT, &[RETAIL], &[b' '; 2049]));
    session.send(&request("GET", CHAT, &[RETAIL], b""));
    let none = br#"{"model": "none", "messages": [{"role": "user", "content": "x"}]}"#;
    session.send(&request("POST", CHAT, &[RETAIL], none));
    session.send(&request("GET", "/none/x", &[RETAIL], b""));
    session.send(&request("GET", "/ordering/none", &[RETAIL], b""));
    session.send(&request("POST", CHAT, &[RETAIL, ("yuccanotch-deadline-ms", "-1")], QUOTE));
    session.send(&request("POST", CONFIRM, &[RETAIL], b"{}"));
    session.send(&request("POST", CONFIRM, &[RETAIL, ("idempotency-key", "")], b"{}"));
    session.send(b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n{");
    session.compare_with_golden("refusals-of-bad-input");
}

#[test]
fn refusal_of_a_key_used_with_another_body() {
    let mut session = Session::haddad();
    session.confirm("order-2", br#"{"order": 2}"#);
    session.confirm("order-2", br#"{"order": 3}"#);
    session.compare_with_golden("refusal-key-reused");
}

#[test]
fn refusal_without_a_server_is_final() {
    let mut session = Session::haddad();
    session.inject_on_services(|server| Fault::ServiceRefuses { target: server.into() });
    session.confirm("order-4", br#"{"order": 4}"#);
    session.inject(Fault::Heal);
    session.confirm("order-4", br#"{"order": 4}"#);
    session.compare_with_golden("refusal-no-server-then-tombstoned");
}

#[test]
fn lost_answer_of_a_server_is_never_repeated() {
    let mut session = Session::haddad();
    session.inject_on_services(|server| Fault::ServiceLosesAnswers { target: server.into() });
    session.confirm("order-5", br#"{"order": 5}"#);
    session.inject(Fault::Heal);
    session.confirm("order-5", br#"{"order": 5}"#);
    assert_eq!(session.env.deployment.standin.record().calls.len(), 1);
    session.compare_with_golden("refusal-server-failed-then-outcome-unknown");
}

#[test]
fn refusal_without_a_chain() {
    let mut session = Session::haddad();
    for replica in 0..2 {
        let target = format!("assistant-1-{replica}").as_str().into();
        session.inject(Fault::ServerLeaves { target });
    }
    session.env.wait_until(|env| {
        let running = env.deployment.entries[0].as_ref().expect("the entry host runs");
        let view = running.host.fleet.view();
        let left = |name: &str| view.servers.get(name).is_some_and(|server| server.leaving);
        left("assistant-1-0") && left("assistant-1-1")
    });
    session.send(&request("POST", CHAT, &[RETAIL], QUOTE));
    session.compare_with_golden("refusal-no-chain");
}

#[test]
fn refusal_of_a_deadline_that_cannot_be_met() {
    let mut plan = haddad();
    for engine in &mut plan.standin.engines {
        engine.behavior.step_base_us = 100_000;
    }
    let mut session = Session::start(plan);
    session.send(&request("POST", CHAT, &[RETAIL, ("yuccanotch-deadline-ms", "250")], QUOTE));
    session.compare_with_golden("refusal-deadline");
}

#[test]
fn refusal_while_draining() {
    let mut session = Session::haddad();
    let running = session.env.deployment.entries[0].as_ref().expect("the entry host runs");
    running.host.start_draining();
    session.send(&request("POST", CHAT, &[RETAIL], QUOTE));
    session.send(&request("GET", "/healthz", &[], b""));
    session.compare_with_golden("refusal-draining");
}
