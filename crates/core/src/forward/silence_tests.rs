//! Tests of the checks that the silence of streams calls for.

use yare::parameterized;

use crate::clock::Millis;
use crate::forward::silence::event_timeout;
use crate::forward::silence::ListeningServers;
use crate::forward::silence::MAX_EVENT_TIMEOUT;
use crate::forward::silence::MIN_EVENT_TIMEOUT;
use crate::name::ServerName;

const TARGET_GAP: Millis = Millis(250);

/// Guards against a crash within a steady stream that is noticed so late that the move exceeds the
/// target, and against checks of streams that are slow but sound.
#[parameterized(
    no_gap_yet = { 0, MAX_EVENT_TIMEOUT },
    fast_stream = { 20, MIN_EVENT_TIMEOUT },
    usual_stream = { 60, Millis(90) },
    slow_stream = { 400, MAX_EVENT_TIMEOUT },
)]
fn the_timeout_follows_the_pace_of_the_stream(longest_gap: u64, expected: Millis) {
    assert_eq!(event_timeout(Millis(longest_gap), Some(TARGET_GAP)), expected);
}

/// Guards against a change for routes without a target for pauses.
#[test]
fn a_stream_without_a_target_for_pauses_is_checked_late() {
    assert_eq!(event_timeout(Millis(20), None), MAX_EVENT_TIMEOUT);
}

/// Guards against a host that opens connections to each server for each of its streams when a slow
/// stage makes all of them fall silent at once, again and again.
#[test]
fn streams_that_fall_silent_together_share_one_check_of_each_server() {
    const STREAMS: usize = 200;
    const SERVERS: usize = 14;
    let mut listening = ListeningServers::default();
    let names: Vec<ServerName> = (0..SERVERS).map(|i| ServerName::new(&format!("s-{i}"))).collect();
    let mut checks = 0;
    for ms in (1_000..2_000).step_by(100) {
        let now = Millis(ms);
        for _ in 0..STREAMS {
            for name in &names {
                if listening.is_check_due(now, name) {
                    checks += 1;
                    listening.on_listening(now, name);
                }
            }
        }
    }
    assert_eq!(checks, 5 * SERVERS);
    listening.on_tick(Millis(10_000));
    assert!(listening.is_empty());
}
