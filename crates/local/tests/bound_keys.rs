//! Tests that calls with bound keys, which are fetched in advance, run once during a store outage.

mod support;

use serde_json::Value;
use yuccanotch_local::Plan;
use yuccanotch_standin::Fault;
use yuccanotch_standin::FaultRequest;

use crate::support::exchange;
use crate::support::request;
use crate::support::RawAnswer;
use crate::support::TestEnvironment;

const AUTH: (&str, &str) = ("authorization", "Bearer retail-key");
const OUTAGE_MS: u64 = 60_000;

fn fetch_key(env: &TestEnvironment) -> String {
    let answer = env.exchange(&request("POST", "/v1/keys", &[AUTH], b""));
    assert_eq!(answer.status, 200, "{answer:?}");
    let value: Value = serde_json::from_str(&answer.body).expect("the answer is JSON");
    value["keys"][0].as_str().expect("there is a key").to_owned()
}

fn confirm(env: &TestEnvironment, host: usize, key: &str) -> RawAnswer {
    let headers = [AUTH, ("idempotency-key", key)];
    exchange(env.host(host), &request("POST", "/ordering/confirmations", &headers, b"{}"))
}

fn start_store_outage(env: &TestEnvironment) {
    let req = FaultRequest { fault: Fault::StoreOutage, for_ms: OUTAGE_MS };
    env.deployment.standin.inject(req).expect("the stand-in accepts the store outage");
}

#[test]
fn a_bound_key_runs_once_at_two_hosts_during_a_store_outage() {
    let env = TestEnvironment::start(Plan::haddad(31));
    let key = fetch_key(&env);
    start_store_outage(&env);
    let first = confirm(&env, 0, &key);
    let second = confirm(&env, 1, &key);
    assert_eq!((first.status, second.status), (200, 200), "{first:?} {second:?}");
    assert_eq!(first.body, second.body);
    assert_eq!(env.deployment.standin.record().calls.len(), 1);
}

#[test]
fn a_bound_key_of_a_killed_host_is_unknown_and_does_not_run() {
    let mut env = TestEnvironment::start(Plan::haddad(32));
    let key = fetch_key(&env);
    start_store_outage(&env);
    env.deployment.kill_entry(0);
    let answer = confirm(&env, 1, &key);
    assert!(answer.body.contains(r#""outcome":"unknown""#), "{answer:?}");
    assert_eq!(env.deployment.standin.record().calls.len(), 0);
}

#[test]
fn an_ordinary_key_is_not_run_during_a_store_outage() {
    let env = TestEnvironment::start(Plan::haddad(33));
    start_store_outage(&env);
    let answer = confirm(&env, 0, "order-1");
    assert_eq!(answer.reason(), "store_unavailable");
    assert!(answer.body.contains(r#""outcome":"unknown""#), "{answer:?}");
    assert_eq!(env.deployment.standin.record().calls.len(), 0);
}
