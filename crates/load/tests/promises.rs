//! Tests that each promise check detects results that break the promise.

use std::fs;
use std::path::PathBuf;

use yuccanotch_core::digest::TokenDigest;
use yuccanotch_core::reason::Outcome;
use yuccanotch_core::reason::RefusalReason;
use yuccanotch_load::arrivals::RequestSpec;
use yuccanotch_load::experiment::Observations;
use yuccanotch_load::outcome::CompleteAnswer;
use yuccanotch_load::outcome::SendRecord;
use yuccanotch_load::outcome::SendResult;
use yuccanotch_load::promises::check_promises;
use yuccanotch_load::promises::prompt_text;
use yuccanotch_load::Scenario;
use yuccanotch_standin::expected_answer;
use yuccanotch_standin::prompt_hash;
use yuccanotch_standin::CallRecord;
use yuccanotch_standin::Record;
use yuccanotch_standin::RunEnd;
use yuccanotch_standin::RunRecord;

/// Index of the load of order confirmations in the scenario's calls.
const CONFIRMATION_LOAD: usize = 1;

fn scenario() -> Scenario {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/stage-dies.json");
    Scenario::parse(&fs::read(path).unwrap()).unwrap()
}

fn sent(number: usize, spec: RequestSpec, result: SendResult) -> SendRecord {
    SendRecord { number, spec, due_us: 0, started_us: 0, ended_us: 1000, result }
}

fn chat(content: &str) -> RequestSpec {
    RequestSpec::Chat { load_index: 0, content: content.to_owned() }
}

fn confirmation(key: &str) -> RequestSpec {
    RequestSpec::Call { load_index: CONFIRMATION_LOAD, key: Some(key.to_owned()) }
}

fn complete(tokens: Vec<String>) -> SendResult {
    let mut digest = TokenDigest::default();
    tokens.iter().for_each(|token| digest.push(token));
    SendResult::Complete(CompleteAnswer {
        token_arrivals_us: vec![0; tokens.len()],
        reported_tokens: u32::try_from(tokens.len()).unwrap(),
        reported_digest: digest.finish().to_string(),
        version: "v1".to_owned(),
        attempts: 1,
        tokens,
    })
}

fn refused(outcome: Outcome) -> SendResult {
    SendResult::Refused { reason: RefusalReason::NoServer, outcome }
}

fn expected_tokens(content: &str) -> Vec<String> {
    expected_answer("assistant", "v1", 24, &prompt_text(content), 64)
}

fn call_record(run: u64, key: &str, number: usize) -> CallRecord {
    CallRecord {
        run,
        service: "ordering".into(),
        server: "ordering-sahab".into(),
        method: "POST".to_owned(),
        path: format!("/confirmations?call={number}"),
        key: Some(key.to_owned()),
        body: 0,
        started_us: 0,
    }
}

fn broken_kinds(sent: Vec<SendRecord>, record: &Record) -> Vec<String> {
    let observed = Observations { sent, ..Observations::default() };
    check_promises(&scenario(), &observed, Some(record)).counts.into_keys().collect()
}

#[test]
fn a_correct_answer_and_accurate_refusals_break_no_promise() {
    let results = vec![
        sent(0, chat("bags"), complete(expected_tokens("bags"))),
        sent(1, confirmation("k"), refused(Outcome::NotRun)),
        sent(2, confirmation("l"), refused(Outcome::Unknown)),
    ];
    let record = Record { calls: vec![call_record(1, "l", 2)], ..Record::default() };
    assert!(broken_kinds(results, &record).is_empty());
}

#[test]
fn a_truncated_answer_reported_as_complete_is_detected() {
    let mut tokens = expected_tokens("bags");
    tokens.pop();
    let results = vec![sent(0, chat("bags"), complete(tokens))];
    assert_eq!(broken_kinds(results, &Record::default()), ["wrong or cut answer told whole"]);
}

#[test]
fn an_answer_to_another_request_is_detected() {
    let results = vec![sent(0, chat("bags"), complete(expected_tokens("lanes")))];
    assert_eq!(broken_kinds(results, &Record::default()), ["wrong or cut answer told whole"]);
}

#[test]
fn a_non_repeatable_call_that_ran_twice_is_detected() {
    let calls = vec![call_record(1, "k", 0), call_record(2, "k", 0)];
    let record = Record { calls, ..Record::default() };
    assert_eq!(broken_kinds(Vec::new(), &record), ["run more than once"]);
}

#[test]
fn a_call_reported_not_run_that_ran_is_detected() {
    let record = Record { calls: vec![call_record(1, "k", 0)], ..Record::default() };
    let results = vec![sent(0, confirmation("k"), refused(Outcome::NotRun))];
    assert_eq!(broken_kinds(results, &record), ["told not run, but ran"]);
}

#[test]
fn an_answer_to_another_call_is_detected() {
    let record = Record { calls: vec![call_record(1, "l", 5)], ..Record::default() };
    let answer = SendResult::Answered { status: 200, body: r#"{"run": 1}"#.to_owned() };
    let results = vec![sent(0, confirmation("k"), answer)];
    assert_eq!(broken_kinds(results, &record), ["answer of another call"]);
}

#[test]
fn a_model_request_reported_not_run_that_made_tokens_is_detected() {
    let run = RunRecord {
        request: yuccanotch_core::ids::RequestId(1),
        attempt: yuccanotch_core::ids::Attempt(1),
        model: "assistant".into(),
        version: "v1".into(),
        prompt: prompt_hash(&prompt_text("bags")),
        chain: Vec::new(),
        released: 0,
        tokens: 3,
        end: RunEnd::Crashed,
        started_us: 0,
    };
    let record = Record { runs: vec![run], ..Record::default() };
    let results = vec![sent(0, chat("bags"), refused(Outcome::NotRun))];
    assert_eq!(broken_kinds(results, &record), ["told not run, but made tokens"]);
}

#[test]
fn a_broken_connection_without_a_killed_host_is_detected() {
    let results = vec![sent(0, chat("bags"), SendResult::Broken("cut".to_owned()))];
    assert_eq!(broken_kinds(results, &Record::default()), ["connection lost"]);
}
