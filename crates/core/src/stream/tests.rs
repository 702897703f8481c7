//! Tests of the answer state machine.

use smallvec::smallvec;
use yare::parameterized;

use super::Action;
use super::Actions;
use super::AnswerStream;
use super::AttemptPlan;
use super::Event;
use super::StreamSpec;
use crate::clock::Millis;
use crate::digest::Digest;
use crate::digest::TokenDigest;
use crate::engine::EndFrame;
use crate::engine::EngineFault;
use crate::engine::ErrorFrame;
use crate::engine::Finish;
use crate::engine::Frame;
use crate::engine::Hop;
use crate::engine::LayerRange;
use crate::engine::LayerReceipt;
use crate::engine::TokenFrame;
use crate::ids::Attempt;
use crate::ids::RequestId;
use crate::name::ModelVersion;
use crate::name::ServerName;
use crate::reason::FrameFault;
use crate::reason::RefusalReason;
use crate::reason::RetryReason;

const REQUEST: RequestId = RequestId(7);
const DEADLINE: Millis = Millis(60_000);
const TOKEN_INTERVAL: Millis = Millis(10);

fn hop(server: &str, first: u16, end: u16) -> Hop {
    let layers = LayerRange::new(first, end);
    Hop { server: ServerName::new(server), address: "127.0.0.1:1".to_owned(), layers }
}

fn plan(servers: [&str; 2]) -> AttemptPlan {
    AttemptPlan {
        chain: smallvec![hop(servers[0], 0, 4), hop(servers[1], 4, 8)],
        first_token: Millis(100),
        step_us: 10_000,
    }
}

fn started() -> AnswerStream {
    let mut stream = AnswerStream::new(StreamSpec {
        request: REQUEST,
        version: ModelVersion::new("v1"),
        layers: 8,
        max_tokens: 64,
        deadline: DEADLINE,
    });
    stream.begin_attempt(Millis::ZERO, plan(["a", "b"]));
    stream
}

fn receipt(server: &str, first: u16, end: u16, version: &str) -> LayerReceipt {
    LayerReceipt {
        server: ServerName::new(server),
        layers: LayerRange::new(first, end),
        version: ModelVersion::new(version),
    }
}

fn token(attempt: u32, index: u32) -> TokenFrame {
    TokenFrame {
        request: REQUEST,
        attempt: Attempt(attempt),
        index,
        token: format!(" t{index}"),
        receipt: smallvec![receipt("a", 0, 4, "v1"), receipt("b", 4, 8, "v1")],
    }
}

fn end(attempt: u32, count: u32) -> EndFrame {
    let mut digest = TokenDigest::default();
    (0..count).for_each(|index| digest.push(&format!(" t{index}")));
    EndFrame {
        request: REQUEST,
        attempt: Attempt(attempt),
        count,
        digest: digest.finish(),
        finish: Finish::Stop,
        prompt_tokens: 3,
        cached_tokens: 0,
    }
}

fn feed(stream: &mut AnswerStream, now: Millis, frame: Frame) -> Actions {
    let (_, attempt) = super::answer::frame_ids(&frame);
    stream.on_event(now, Event::Frame(attempt, frame))
}

fn feed_tokens(stream: &mut AnswerStream, attempt: u32, indices: std::ops::Range<u32>) -> Millis {
    let mut now = Millis::ZERO;
    for index in indices {
        now = now + TOKEN_INTERVAL;
        let actions = feed(stream, now, Frame::Token(token(attempt, index)));
        assert_eq!(actions[0], Action::Release(format!(" t{index}")));
    }
    now
}

fn retry_reason(actions: &Actions) -> Option<RetryReason> {
    actions.iter().find_map(|action| match action {
        Action::Retry { reason, .. } => Some(*reason),
        _ => None,
    })
}

#[test]
fn complete_answer_is_released_once_and_closed() {
    let mut stream = started();
    let now = feed_tokens(&mut stream, 1, 0..5);
    let actions = feed(&mut stream, now, Frame::End(end(1, 5)));
    let [Action::Close(closing)] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!((closing.count, closing.attempts), (5, 1));
    assert!(stream.is_ended());
    assert_eq!(stream.wake_at(), None);
}

#[test]
fn misdirected_late_and_repeated_frames_are_dropped_without_a_retry() {
    let mut stream = started();
    let now = feed_tokens(&mut stream, 1, 0..3);
    let mut misdirected = token(1, 3);
    misdirected.request = RequestId(8);
    let dropped = [
        (Frame::Token(misdirected), FrameFault::WrongRequest),
        (Frame::Token(token(0, 3)), FrameFault::OldAttempt),
        (Frame::Token(token(1, 1)), FrameFault::Repeated),
    ];
    for (frame, fault) in dropped {
        let actions = feed(&mut stream, now, frame);
        assert_eq!(actions.as_slice(), [Action::Count(fault)]);
    }
    assert_eq!(stream.released().len(), 3);
}

#[test]
fn frame_after_the_end_frame_is_dropped() {
    let mut stream = started();
    let now = feed_tokens(&mut stream, 1, 0..2);
    feed(&mut stream, now, Frame::End(end(1, 2)));
    let actions = feed(&mut stream, now, Frame::Token(token(1, 2)));
    assert_eq!(actions.as_slice(), [Action::Count(FrameFault::AfterEnd)]);
}

#[parameterized(
    missing_layer = { &[("a", 0, 4, "v1")], FrameFault::Layers },
    repeated_layer = { &[("a", 0, 4, "v1"), ("a", 0, 4, "v1"), ("b", 4, 8, "v1")], FrameFault::Layers },
    out_of_order = { &[("b", 4, 8, "v1"), ("a", 0, 4, "v1")], FrameFault::Layers },
    other_range = { &[("a", 0, 5, "v1"), ("b", 5, 8, "v1")], FrameFault::Layers },
    no_layer = { &[], FrameFault::Layers },
    server_outside_chain = { &[("a", 0, 4, "v1"), ("c", 4, 8, "v1")], FrameFault::WrongServer },
    other_version = { &[("a", 0, 4, "v1"), ("b", 4, 8, "v2")], FrameFault::WrongVersion },
)]
fn bad_receipt_is_never_released(parts: &[(&str, u16, u16, &str)], fault: FrameFault) {
    let mut stream = started();
    let now = feed_tokens(&mut stream, 1, 0..2);
    let mut frame = token(1, 2);
    frame.receipt = parts.iter().map(|(s, first, end, v)| receipt(s, *first, *end, v)).collect();
    let actions = feed(&mut stream, now, Frame::Token(frame));
    assert_eq!(actions[0], Action::Count(fault));
    assert_eq!(retry_reason(&actions), Some(RetryReason::BadFrame));
    assert_eq!(stream.released().len(), 2);
}

#[test]
fn lost_stage_resumes_after_the_last_released_token() {
    let mut stream = started();
    let now = feed_tokens(&mut stream, 1, 0..4);
    let lost = ErrorFrame {
        request: REQUEST,
        attempt: Attempt(1),
        fault: EngineFault::StageLost,
        server: ServerName::new("b"),
    };
    let actions = feed(&mut stream, now, Frame::Error(lost));
    assert_eq!(actions[0], Action::Cancel(Attempt(1)));
    assert_eq!(retry_reason(&actions), Some(RetryReason::StageLost));
    assert_eq!(stream.kv_sources(), [ServerName::new("a")]);
    let (attempt, _) = stream.begin_attempt(now, plan(["a", "b"]));
    assert_eq!(attempt, Attempt(2));
    let late = feed(&mut stream, now, Frame::Token(token(1, 4)));
    assert_eq!(late.as_slice(), [Action::Count(FrameFault::OldAttempt)]);
    let now = feed_tokens(&mut stream, 2, 4..6);
    let actions = feed(&mut stream, now, Frame::End(end(2, 6)));
    assert!(matches!(actions.as_slice(), [Action::Close(_)]));
}

#[test]
fn stall_timeout_follows_the_measured_token_interval() {
    let mut stream = started();
    let now = feed_tokens(&mut stream, 1, 0..20);
    let limit = stream.wake_at().expect("an attempt runs").since(now);
    assert!(limit <= Millis(150), "{limit}");
    assert!(stream.on_event(now + Millis(limit.0 - 1), Event::Tick).is_empty());
    let actions = stream.on_event(now + limit, Event::Tick);
    assert_eq!(retry_reason(&actions), Some(RetryReason::Stalled));
}

#[test]
fn degraded_chain_offers_one_move_and_can_be_kept() {
    let mut stream = started();
    let mut now = feed_tokens(&mut stream, 1, 0..10);
    let mut offers = 0;
    for index in 10..40 {
        now = now + Millis(60);
        let actions = feed(&mut stream, now, Frame::Token(token(1, index)));
        if retry_reason(&actions) == Some(RetryReason::LinkDegraded) {
            offers += 1;
            stream.keep_chain();
        }
    }
    assert_eq!(offers, 1);
    assert_eq!(stream.released().len(), 40);
}

#[parameterized(
    too_few = { 3 },
    too_many = { 5 },
)]
fn end_frame_with_wrong_count_does_not_close_the_answer(count: u32) {
    let mut stream = started();
    let now = feed_tokens(&mut stream, 1, 0..4);
    let actions = feed(&mut stream, now, Frame::End(end(1, count)));
    assert_eq!(actions[0], Action::Count(FrameFault::Count));
    assert!(!stream.is_ended());
}

#[test]
fn end_frame_with_wrong_digest_fails_the_answer() {
    let mut stream = started();
    let now = feed_tokens(&mut stream, 1, 0..4);
    let mut frame = end(1, 4);
    frame.digest = Digest::of(b"other");
    let actions = feed(&mut stream, now, Frame::End(frame));
    assert_eq!(actions.last(), Some(&Action::Fail(RefusalReason::ServerFailed)));
}

#[test]
fn connection_closed_without_end_frame_is_retried() {
    let mut stream = started();
    let now = feed_tokens(&mut stream, 1, 0..4);
    let actions = stream.on_event(now, Event::Closed(Attempt(1)));
    assert_eq!(retry_reason(&actions), Some(RetryReason::Truncated));
}

#[test]
fn deadline_and_lost_caller_fail_the_answer_and_cancel_the_attempt() {
    for (event, reason) in [
        (Event::Tick, RefusalReason::DeadlineExceeded),
        (Event::CallerGone, RefusalReason::CallerGone),
    ] {
        let mut stream = started();
        let actions = stream.on_event(DEADLINE, event);
        assert_eq!(actions.as_slice(), [Action::Cancel(Attempt(1)), Action::Fail(reason)]);
        assert!(stream.on_event(DEADLINE, Event::Tick).is_empty());
    }
}

#[test]
fn version_cannot_change_after_a_token_was_released() {
    let mut stream = started();
    let now = feed_tokens(&mut stream, 1, 0..1);
    stream.on_event(now, Event::Closed(Attempt(1)));
    assert!(!stream.change_version(&ModelVersion::new("v2")));
    let mut unreleased = started();
    unreleased.on_event(now, Event::Closed(Attempt(1)));
    assert!(unreleased.change_version(&ModelVersion::new("v2")));
}
