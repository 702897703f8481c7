//! Tests of engines.

use yuccanotch_core::engine::EngineFault;
use yuccanotch_core::engine::Frame;

use crate::tests::chain;
use crate::tests::expected;
use crate::tests::frames;
use crate::tests::run_request;
use crate::tests::start;
use crate::tests::tokens;
use crate::Fault;
use crate::FaultRequest;
use crate::RunEnd;

#[test]
fn a_run_streams_the_expected_answer_with_complete_receipts() {
    let standin = start();
    let req = run_request(&standin, "200 kraft bags");
    let frames = frames(&req);
    assert_eq!(tokens(&frames), expected("200 kraft bags"));
    assert!(matches!(frames.last(), Some(Frame::End(_))));
    let Frame::Token(first) = &frames[0] else { panic!("no token") };
    let servers: Vec<&str> = first.receipt.iter().map(|r| r.server.as_str()).collect();
    assert_eq!(servers, ["e0-0", "e1-0", "e2-0"]);
    let record = standin.stop();
    assert_eq!(record.runs.len(), 1);
    assert_eq!(record.runs[0].end, RunEnd::Whole);
}

#[test]
fn a_run_resumed_on_another_chain_gives_the_same_tokens() {
    let standin = start();
    let mut req = run_request(&standin, "resume me");
    let all = expected("resume me");
    req.released = all[..5].to_vec();
    req.chain = chain(&standin, 1);
    assert_eq!(tokens(&frames(&req)), all[5..]);
}

#[test]
fn a_run_resumed_after_its_last_token_sends_only_the_end_frame() {
    let standin = start();
    let mut req = run_request(&standin, "resume me");
    req.released = expected("resume me");
    let frames = frames(&req);
    let [Frame::End(end)] = &frames[..] else { panic!("not one end: {frames:?}") };
    assert_eq!(end.count as usize, req.released.len());
}

#[test]
fn a_skipped_layer_changes_the_answer_and_the_receipt() {
    let standin = start();
    let fault = Fault::EngineSkipsLayer { target: "e1-0".into() };
    standin.inject(FaultRequest { fault, for_ms: 10_000 }).unwrap();
    let frames = frames(&run_request(&standin, "skip"));
    assert_ne!(tokens(&frames), expected("skip"));
    let Frame::Token(first) = &frames[0] else { panic!("no token") };
    assert_eq!(first.receipt[1].layers.len(), 3);
}

#[test]
fn a_marked_request_crashes_the_stage_that_it_names() {
    let standin = start();
    let frames = frames(&run_request(&standin, "bad [crash:1] one"));
    let [Frame::Error(error)] = &frames[..] else { panic!("not one error: {frames:?}") };
    assert_eq!(error.fault, EngineFault::StageLost);
    assert_eq!(error.server.as_str(), "e1-0");
    let record = standin.stop();
    assert_eq!(record.crashes, 1);
    assert_eq!(record.runs[0].end, RunEnd::Crashed);
}

#[test]
fn a_crash_of_the_first_stage_cuts_its_streams_and_refuses_connections() {
    let standin = start();
    let req = run_request(&standin, "bad [crash] one");
    assert!(frames(&req).is_empty());
    let url = format!("http://{}/v1/load", req.chain[0].address);
    let refused = ureq::get(&url).call().unwrap_err();
    assert!(matches!(refused, ureq::Error::Io(_) | ureq::Error::ConnectionFailed), "{refused}");
}
