//! Tests that invalid requests of callers are refused with the right reason, counted and not
//! dispatched.

mod support;

use yuccanotch_core::clock::Millis;
use yuccanotch_local::Plan;

use crate::support::request;
use crate::support::TestEnvironment;

const AUTH: (&str, &str) = ("authorization", "Bearer retail-key");
const CHAT: &str = "/v1/chat/completions";
const CHAT_BODY: &[u8] =
    br#"{"model": "assistant", "messages": [{"role": "user", "content": "x"}]}"#;

fn start() -> TestEnvironment {
    let mut plan = Plan::haddad(11);
    plan.entries_per_domain = 1;
    plan.limits.body_bytes = 4096;
    plan.limits.read_timeout = Millis(300);
    TestEnvironment::start(plan)
}

fn cases() -> Vec<(&'static str, u16, &'static str, Vec<u8>)> {
    let long_key = "k".repeat(129);
    let confirm = "/ordering/confirmations";
    vec![
        ("no key", 401, "unknown_team", request("POST", CHAT, &[], CHAT_BODY)),
        (
            "wrong key",
            401,
            "unknown_team",
            request("POST", CHAT, &[("authorization", "Bearer nobody")], CHAT_BODY),
        ),
        ("not JSON", 400, "malformed", request("POST", CHAT, &[AUTH], b"{\"model\": ")),
        ("not UTF-8", 400, "invalid_utf8", request("POST", CHAT, &[AUTH], b"{\"model\": \"\xff\"}")),
        (
            "no messages",
            400,
            "malformed",
            request("POST", CHAT, &[AUTH], br#"{"model": "assistant", "messages": []}"#),
        ),
        (
            "no tokens",
            400,
            "malformed",
            request(
                "POST",
                CHAT,
                &[AUTH],
                br#"{"model": "assistant", "max_tokens": 0, "messages": [{"role": "u", "content": ""}]}"#,
            ),
        ),
        (
            "unknown model",
            404,
            "unknown_model",
            request(
                "POST",
                CHAT,
                &[AUTH],
                br#"{"model": "none", "messages": [{"role": "user", "content": "x"}]}"#,
            ),
        ),
        ("body too large", 413, "body_too_large", request("POST", CHAT, &[AUTH], &[b' '; 5000])),
        (
            "deadline that is no number",
            400,
            "bad_deadline",
            request("POST", CHAT, &[AUTH, ("yuccanotch-deadline-ms", "soon")], CHAT_BODY),
        ),
        (
            "deadline of zero",
            400,
            "bad_deadline",
            request("POST", CHAT, &[AUTH, ("yuccanotch-deadline-ms", "0")], CHAT_BODY),
        ),
        ("wrong method", 405, "method_not_allowed", request("GET", CHAT, &[AUTH], b"")),
        ("unknown service", 404, "unknown_service", request("GET", "/none/x", &[AUTH], b"")),
        ("unknown path", 404, "not_found", request("GET", "/ordering/none", &[AUTH], b"")),
        (
            "wrong method of a service",
            405,
            "method_not_allowed",
            request("PUT", "/ordering/stock", &[AUTH], b""),
        ),
        ("no idempotency key", 400, "missing_key", request("POST", confirm, &[AUTH], b"{}")),
        (
            "idempotency key too long",
            400,
            "bad_key",
            request("POST", confirm, &[AUTH, ("idempotency-key", &long_key)], b"{}"),
        ),
        (
            "half a body",
            408,
            "read_timeout",
            format!("POST {CHAT} HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{{").into_bytes(),
        ),
        ("half a head", 408, "read_timeout", b"POST /v1/chat HTTP/1.1\r\nhost:".to_vec()),
    ]
}

#[test]
fn bad_requests_are_refused_counted_and_not_dispatched() {
    let env = start();
    let mut wrong = Vec::new();
    for (name, status, reason, raw) in cases() {
        let before = env.counter("yuccanotch_refusals_total", reason);
        let answer = env.exchange(&raw);
        let counted = env.counter("yuccanotch_refusals_total", reason) - before;
        if (answer.status, answer.reason().as_str(), counted) != (status, reason, 1) {
            wrong.push(format!("{name}: counted {counted}, {answer:?}"));
        }
        if !answer.body.contains(r#""outcome":"not_run""#) {
            wrong.push(format!("{name}: no outcome in {answer:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    let record = env.deployment.standin.record();
    assert_eq!((record.runs.len(), record.calls.len()), (0, 0));
}

#[test]
fn malformed_and_oversized_heads_get_a_4xx() {
    let env = start();
    let garbage = env.exchange(b"\x16\x03\x01 hello\r\n\r\n");
    assert_eq!(garbage.status, 400);
    let mut head = b"GET / HTTP/1.1\r\nhost: x\r\n".to_vec();
    head.extend_from_slice(format!("x-long: {}\r\n\r\n", "y".repeat(64 << 10)).as_bytes());
    assert_eq!(env.exchange(&head).status, 431);
}

#[test]
fn a_host_at_its_in_flight_limit_refuses_immediately() {
    let mut plan = Plan::haddad(12);
    plan.limits.in_flight = 1;
    for engine in &mut plan.standin.engines {
        engine.behavior.step_base_us = 50_000;
    }
    let env = TestEnvironment::start(plan);
    let host = env.host(0);
    let slow = std::thread::spawn(move || {
        let body = br#"{"model": "assistant", "max_tokens": 4,
            "messages": [{"role": "user", "content": "x"}]}"#;
        support::exchange(host, &request("POST", CHAT, &[AUTH], body)).status
    });
    env.wait_until(|env| !env.deployment.standin.record().runs.is_empty());
    let refused = env.exchange(&request("POST", CHAT, &[AUTH], CHAT_BODY));
    assert_eq!((refused.status, refused.reason().as_str()), (503, "overloaded"));
    assert!(refused.head.to_lowercase().contains("retry-after: 1"), "{}", refused.head);
    assert_eq!(slow.join().expect("the slow caller ends"), 200);
}
