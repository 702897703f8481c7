//! Tests of an entry host that runs as a process of its own: streaming, drain, kill, settings.

mod entry_process;

use std::process::Command;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::entry_process::TestDeployment;

const STEP_US: u32 = 20_000;

#[test]
fn tokens_are_streamed_one_by_one() {
    let deployment = TestDeployment::start("stream", STEP_US);
    let entry = deployment.start_entry("entry-1", json!({}));
    let lines = entry.stream("one by one", 8);
    let (first, _) = lines.first().expect("the stream has lines");
    let (last, end) = lines.last().expect("the stream has lines");
    assert_eq!(end, "data: [DONE]");
    // Between the first and the last token are seven more, each of one step on each of two stages.
    assert!(last.as_micros() - first.as_micros() >= u128::from(STEP_US) * 7, "{lines:?}");
    entry.kill();
}

#[test]
fn sigterm_finishes_open_streams_and_exits_with_success() {
    let deployment = TestDeployment::start("drain", STEP_US);
    let entry = deployment.start_entry("entry-1", json!({"drain_grace_ms": 0}));
    let lines = thread::scope(|scope| {
        let stream = scope.spawn(|| entry.stream("drain", 30));
        let readiness_runs = 1;
        let start = Instant::now();
        while deployment.standin.record().runs.len() <= readiness_runs {
            assert!(start.elapsed() < Duration::from_secs(20), "the run has not started");
            thread::sleep(Duration::from_millis(2));
        }
        entry.terminate();
        stream.join().expect("the stream is received")
    });
    let (_, end) = lines.last().expect("the stream has lines");
    assert_eq!(end, "data: [DONE]");
    assert!(entry.wait().success());
}

/// Guards against requests whose connections are closed without an answer at the end of the drain
/// timeout.
#[test]
fn requests_that_outlast_the_drain_timeout_are_answered_as_unknown() {
    let deployment = TestDeployment::start("cut", STEP_US * 10);
    let limits = json!({"drain_grace_ms": 0, "drain_timeout_ms": 500});
    let entry = deployment.start_entry("entry-1", limits);
    let answers = thread::scope(|scope| {
        let requests: Vec<_> = (0..3).map(|_| scope.spawn(|| entry.complete("cut", 200))).collect();
        thread::sleep(Duration::from_millis(500));
        entry.terminate();
        requests.into_iter().map(|r| r.join().expect("the thread ends")).collect::<Vec<_>>()
    });
    for answer in answers {
        let (status, body) = answer.expect("an answer");
        assert_eq!(status, 502, "{body}");
        assert!(body.contains(r#""outcome":"unknown""#), "{body}");
    }
    assert_eq!(entry.wait().code(), Some(1));
}

#[test]
fn a_keyed_call_runs_once_across_a_kill_and_a_restart() {
    let deployment = TestDeployment::start("kill", 1_000);
    let entry = deployment.start_entry("entry-1", json!({}));
    let first = entry.call_service("key-1").expect("the call is answered");
    entry.kill();
    let entry = deployment.start_entry("entry-1", json!({}));
    let second = entry.call_service("key-1").expect("the resend is answered");
    assert_eq!(first, second);
    assert_eq!(deployment.standin.record().calls.len(), 1);
    entry.kill();
}

#[test]
fn wrong_settings_list_all_findings_and_exit_with_2() {
    let deployment = TestDeployment::start("check", 1_000);
    let path =
        deployment.file("bad.json", r#"{"host": "", "domain": "d", "callers": "x", "more": 1}"#);
    let output = Command::new(env!("CARGO_BIN_EXE_yuccanotch-entry"))
        .args(["--check", "--settings"])
        .arg(path)
        .output()
        .expect("the binary starts");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    for pointer in ["/callers", "/admin", "/peer", "/store", "/peer_keys", "/more"] {
        assert!(text.contains(&format!("\n{pointer}: ")), "{pointer} is missing in {text}");
    }
}
