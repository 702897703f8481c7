//! Tests of answers from pipelines whose stand-in engines fail during the run.

mod deployment;

use std::cell::RefCell;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use deployment::prompt_with;
use deployment::Collector;
use deployment::TestDeployment;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::quarantine::CrashId;
use yuccanotch_core::quarantine::CrashNotice;
use yuccanotch_core::quarantine::CrashReport;
use yuccanotch_core::quarantine::Fingerprint;
use yuccanotch_core::quarantine::QuarantineMessage;
use yuccanotch_core::reason::Outcome;
use yuccanotch_core::reason::RefusalReason;
use yuccanotch_entry::pipelines::AnswerSummary;
use yuccanotch_standin::Fault;
use yuccanotch_standin::FaultRequest;

/// Least number of tokens of the answer.
const LONG_ANSWER_TOKENS: usize = 40;
const FAULT_AFTER_TOKENS: usize = 10;
/// Most requests that are sent until one runs on a server that has restarted.
const MAX_REQUESTS: usize = 100;

/// Runs a request with a long answer, and injects a fault into one server of its chain after
/// [`FAULT_AFTER_TOKENS`] tokens. Checks that the answer is complete and correct.
fn run_with_fault(fault: impl Fn(&str) -> Fault + 'static, for_ms: u64) -> (AnswerSummary, String) {
    let deployment = Rc::new(TestDeployment::start());
    let prompt = prompt_with(LONG_ANSWER_TOKENS);
    let job = deployment.job(&prompt);
    let injected = Rc::new(RefCell::new(false));
    let on_token = {
        let (deployment, injected, request) = (deployment.clone(), injected.clone(), job.request);
        move |count: usize| {
            if count == FAULT_AFTER_TOKENS && !injected.replace(true) {
                let runs = deployment.standin.record().runs;
                let run = runs.iter().rev().find(|run| run.request == request);
                let server = run.expect("the run is on record").chain[1].clone();
                let fault = fault(server.as_str());
                deployment.standin.inject(FaultRequest { fault, for_ms }).expect("a known server");
            }
        }
    };
    let mut sink = Collector { on_token: Some(Box::new(on_token)), ..Collector::default() };
    let summary = deployment.run(&job, &mut sink).expect("a whole answer");
    assert_eq!(sink.tokens, deployment.expected(&prompt));
    assert_eq!(summary.count as usize, sink.tokens.len());
    let metrics = deployment.metrics();
    drop(sink);
    let deployment =
        Rc::try_unwrap(deployment).ok().expect("no other reference to the deployment exists");
    deployment.stop();
    (summary, metrics)
}

fn counter(metrics: &str, name: &str) -> u64 {
    let line = metrics.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next()).expect("the counter is exported");
    value.parse().expect("a number")
}

#[test]
fn answer_is_complete_and_correct_without_faults() {
    let deployment = TestDeployment::start();
    let prompt = prompt_with(LONG_ANSWER_TOKENS);
    let mut sink = Collector::default();
    let summary = deployment.run(&deployment.job(&prompt), &mut sink).expect("a whole answer");
    assert_eq!(sink.tokens, deployment.expected(&prompt));
    assert_eq!((summary.attempts, summary.chain.len()), (1, 3));
    deployment.stop();
}

#[test]
fn crash_of_a_stage_loses_no_token() {
    let (summary, metrics) =
        run_with_fault(|server| Fault::EngineCrash { target: server.into() }, 60_000);
    assert!(summary.attempts >= 2);
    assert_eq!(counter(&metrics, "yuccanotch_recoveries_total"), 1);
}

#[test]
fn stalled_stage_is_replaced_before_the_deadline() {
    let (summary, metrics) =
        run_with_fault(|server| Fault::EngineStall { target: server.into() }, 60_000);
    assert!(summary.attempts >= 2);
    assert!(counter(&metrics, r#"yuccanotch_retries_total{reason="stalled"}"#) >= 1);
}

#[test]
fn tokens_of_a_stage_that_skips_a_layer_never_reach_the_caller() {
    let (summary, metrics) =
        run_with_fault(|server| Fault::EngineSkipsLayer { target: server.into() }, 60_000);
    assert!(summary.attempts >= 2);
    assert!(counter(&metrics, r#"yuccanotch_frame_faults_total{reason="layers"}"#) >= 1);
}

#[test]
fn slow_link_is_replaced() {
    let slow = |server: &str| Fault::LinkSlow { target: server.into(), peer: None, us: 100_000 };
    let (summary, metrics) = run_with_fault(slow, 60_000);
    assert!(summary.attempts >= 2, "{metrics}");
}

#[test]
fn run_ends_when_the_caller_disconnects() {
    let deployment = TestDeployment::start();
    let job = deployment.job(&prompt_with(LONG_ANSWER_TOKENS));
    let mut sink = Collector { gone_after: Some(3), ..Collector::default() };
    let refusal = deployment.run(&job, &mut sink).expect_err("the caller closed its connection");
    assert_eq!(refusal.reason, RefusalReason::CallerGone);
    assert_eq!(refusal.outcome, Outcome::Unknown);
    deployment.stop();
}

#[test]
fn request_without_a_chain_is_refused_as_not_run() {
    let deployment = TestDeployment::start();
    let mut job = deployment.job("a quote");
    job.version = "v9".into();
    job.layers = 99;
    let refusal = deployment.run(&job, &mut Collector::default()).expect_err("no server holds v9");
    assert_eq!((refusal.reason, refusal.outcome), (RefusalReason::NoChain, Outcome::NotRun));
    assert!(deployment.standin.record().runs.is_empty());
    deployment.stop();
}

#[test]
fn a_request_that_begins_while_all_servers_of_a_stage_restart_waits_for_them() {
    const RESTART_MS: u64 = 3_500;
    let deployment = TestDeployment::start();
    let crashed = ["e1-0", "e1-1"].map(ServerName::from);
    for target in crashed.clone() {
        let req = FaultRequest { fault: Fault::EngineCrash { target }, for_ms: RESTART_MS };
        deployment.standin.inject(req).expect("a known server");
    }
    let is_suspected = |name: &ServerName| {
        deployment.running().host.fleet.view().servers.get(name).is_some_and(|s| s.suspected)
    };
    while !crashed.iter().all(is_suspected) {
        thread::sleep(Duration::from_millis(10));
    }
    let prompt = "a quote";
    let mut sink = Collector::default();
    let summary = deployment.run(&deployment.job(prompt), &mut sink).expect("a whole answer");
    assert_eq!(summary.attempts, 1);
    assert_eq!(sink.tokens, deployment.expected(prompt));
    deployment.stop();
}

#[test]
fn a_server_that_another_host_saw_crash_is_not_tried_before_it_reports_a_new_boot() {
    const RESTART_MS: u64 = 2_500;
    let deployment = TestDeployment::start();
    let server = ServerName::from("e1-0");
    let host = &deployment.running().host;
    let reported_boot =
        || host.fleet.view().servers[&server].report.as_ref().expect("a load report").boot;
    let boot = reported_boot();
    let fault = Fault::EngineCrash { target: server.clone() };
    deployment.standin.inject(FaultRequest { fault, for_ms: RESTART_MS }).expect("a known server");
    let fingerprint = Fingerprint::new(&"another".into(), b"a request of another host");
    let crash = CrashId { server: server.clone(), boot };
    let report = CrashReport { crash, age: Millis::ZERO, ran_for: Millis(10) };
    let notices = vec![CrashNotice {
        fingerprint,
        crashes: [report].into_iter().collect(),
        success_age: None,
        stands_out: false,
    }];
    host.quarantine.on_peer(QuarantineMessage::Notices(notices));
    let uses_server = |summary: &AnswerSummary| summary.chain.iter().any(|h| h.server == server);
    let ask = |i: usize| {
        let job = deployment.job(&format!("quote {i}"));
        deployment.run(&job, &mut Collector::default()).expect("a whole answer")
    };
    let mut answered = 0;
    loop {
        let answer = ask(answered);
        if reported_boot() != boot {
            break;
        }
        assert!(answer.attempts == 1 && !uses_server(&answer), "{answer:?}");
        answered += 1;
    }
    assert!(answered > 5, "{answered} answers before the restart");
    let is_used_again = (0..MAX_REQUESTS).any(|i| uses_server(&ask(answered + i)));
    assert!(is_used_again, "the server is used after its restart");
    deployment.stop();
}
