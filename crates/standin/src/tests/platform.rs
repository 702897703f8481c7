//! Tests of the store and the host list.

use serde_json::Value;
use yuccanotch_core::store::http::HEADER_EXPECT;
use yuccanotch_core::store::http::HEADER_LEASE;
use yuccanotch_core::store::http::HEADER_VERSION;

use crate::tests::start;
use crate::Fault;
use crate::FaultRequest;
use crate::Standin;

fn url(standin: &Standin, path: &str) -> String {
    format!("http://{}{path}", standin.store_address())
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder().http_status_as_error(false).build().into()
}

/// Writes a key and returns the status and the version in the answer, or 0 if it has no version.
fn put(standin: &Standin, key: &str, expect: u64, value: &[u8], lease: u64) -> (u16, u64) {
    let mut req = agent()
        .put(url(standin, &format!("/v1/kv/{key}")))
        .header(HEADER_EXPECT, expect.to_string());
    if lease > 0 {
        req = req.header(HEADER_LEASE, lease.to_string());
    }
    let answer = req.send(value).unwrap();
    let version = answer.headers().get(HEADER_VERSION);
    let version = version.and_then(|text| text.to_str().ok()?.parse().ok()).unwrap_or(0);
    (answer.status().as_u16(), version)
}

fn get(standin: &Standin, path: &str) -> (u16, String) {
    let mut answer = agent().get(url(standin, path)).call().unwrap();
    (answer.status().as_u16(), answer.body_mut().read_to_string().unwrap())
}

fn inject(standin: &Standin, fault: Fault, for_ms: u64) {
    standin.inject(FaultRequest { fault, for_ms }).unwrap();
}

#[test]
fn a_write_requires_the_current_version() {
    let standin = start();
    assert_eq!(put(&standin, "a", 0, b"one", 0), (200, 1));
    assert_eq!(put(&standin, "a", 0, b"two", 0), (409, 1));
    assert_eq!(put(&standin, "a", 1, b"two", 0), (200, 2));
    assert_eq!(get(&standin, "/v1/kv/a"), (200, "two".to_owned()));
}

#[test]
fn a_value_over_one_mebibyte_is_refused() {
    let standin = start();
    assert_eq!(put(&standin, "a", 0, &vec![0; (1 << 20) + 1], 0).0, 413);
    assert_eq!(get(&standin, "/v1/kv/a").0, 404);
}

#[test]
fn a_lost_answer_leaves_the_write_in_effect() {
    let standin = start();
    inject(&standin, Fault::StoreLosesAnswers { percent: 100 }, 60_000);
    let lost = agent().put(url(&standin, "/v1/kv/a")).header(HEADER_EXPECT, "0").send(b"x");
    assert!(lost.is_err());
    inject(&standin, Fault::Heal, 0);
    assert_eq!(get(&standin, "/v1/kv/a"), (200, "x".to_owned()));
}

#[test]
fn a_lost_call_writes_nothing() {
    let standin = start();
    inject(&standin, Fault::StoreLosesCalls { percent: 100 }, 60_000);
    let lost = agent().put(url(&standin, "/v1/kv/a")).header(HEADER_EXPECT, "0").send(b"x");
    assert!(lost.is_err());
    inject(&standin, Fault::Heal, 0);
    assert_eq!(get(&standin, "/v1/kv/a").0, 404);
}

#[test]
fn an_outage_executes_nothing_and_counts_the_call() {
    let standin = start();
    inject(&standin, Fault::StoreOutage, 60_000);
    assert_eq!(put(&standin, "a", 0, b"x", 0).0, 503);
    let record = standin.stop();
    assert_eq!((record.store.writes, record.store.faulted), (1, 1));
}

#[test]
fn a_restore_brings_back_the_values_of_the_copy() {
    let standin = start();
    put(&standin, "a", 0, b"old", 0);
    inject(&standin, Fault::StoreCopy, 0);
    put(&standin, "a", 1, b"new", 0);
    inject(&standin, Fault::StoreRestore, 0);
    assert_eq!(get(&standin, "/v1/kv/a"), (200, "old".to_owned()));
}

#[test]
fn a_watch_reports_changes_below_its_prefix() {
    let standin = start();
    put(&standin, "p/a", 0, b"1", 0);
    put(&standin, "q/b", 0, b"1", 0);
    let (_, body) = get(&standin, "/v1/watch?prefix=p/&after=0&wait_ms=1000");
    let body: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(body["changes"], serde_json::json!([["p/a", 1]]));
}

#[test]
fn an_expired_lease_removes_its_keys_and_refuses_writes() {
    let standin = start();
    let mut answer = agent().post(url(&standin, "/v1/lease?ttl_ms=1")).send_empty().unwrap();
    let lease: Value = answer.body_mut().read_json().unwrap();
    let id = lease["lease"].as_u64().unwrap();
    let written = put(&standin, "a", 0, b"x", id).0;
    // The lease may expire before the write, which is refused then.
    assert!(written == 200 || written == 410, "{written}");
    while get(&standin, "/v1/kv/a").0 != 404 {
        std::thread::yield_now();
    }
    assert_eq!(put(&standin, "b", 0, b"x", id).0, 410);
}

#[test]
fn the_host_list_contains_all_backend_servers() {
    let standin = start();
    let (_, body) = get(&standin, "/v1/hosts");
    let body: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(body["hosts"].as_array().unwrap().len(), 7);
}

#[test]
fn the_admin_call_refuses_unknown_targets_and_unknown_faults() {
    let standin = start();
    let url = format!("http://{}/faults", standin.admin_address());
    let fault = r#"{"fault": "engine_crash", "target": "none", "for_ms": 1}"#;
    assert_eq!(agent().post(&url).send(fault).unwrap().status().as_u16(), 404);
    let unknown = r#"{"fault": "meteor"}"#;
    assert_eq!(agent().post(&url).send(unknown).unwrap().status().as_u16(), 400);
}
