//! Tests of the pauses that servers ask for.

use yare::parameterized;

use super::pauses::time_without_holder;
use super::pauses::PausedHolder;
use super::pauses::Pauses;
use super::pauses::RequestedPause;
use super::reason::PauseKind;
use crate::clock::Millis;
use crate::name::ServerName;
use crate::placement::engine::LayerRange;

const NOW: Millis = Millis(5_000);
const LONGEST: Millis = Millis(120_000);

#[parameterized(
    whole = { 3.0, PauseKind::AsAsked, Millis(3_000) },
    decimals_are_rounded_up = { 0.2501, PauseKind::AsAsked, Millis(251) },
    zero = { 0.0, PauseKind::AsAsked, Millis::ZERO },
    longest = { 120.0, PauseKind::AsAsked, LONGEST },
    a_year = { 31_536_000.0, PauseKind::Shortened, LONGEST },
    infinite = { f64::INFINITY, PauseKind::Shortened, LONGEST },
    negative = { -5.0, PauseKind::Unusable, Millis::ZERO },
    not_a_number = { f64::NAN, PauseKind::Unusable, Millis::ZERO },
)]
fn a_requested_pause_is_bounded(seconds: f64, kind: PauseKind, span: Millis) {
    assert_eq!(RequestedPause::from_seconds(seconds), RequestedPause { kind, span });
}

#[test]
fn a_pause_lasts_until_the_latest_end_that_was_asked_for() {
    let mut pauses = Pauses::default();
    let server = ServerName::new("s-0");
    assert!(pauses.begin(NOW, &server, Millis(2_000)));
    assert!(!pauses.begin(NOW + Millis(500), &server, Millis(500)));
    assert_eq!(pauses.left(NOW + Millis(500), &server), Millis(1_500));
    assert!(!pauses.begin(NOW + Millis(1_000), &server, Millis(3_000)));
    assert!(pauses.includes(NOW + Millis(3_999), &server));
    assert!(!pauses.includes(NOW + Millis(4_000), &server));
    assert!(pauses.begin(NOW + Millis(4_000), &server, Millis(1)));
}

#[test]
fn a_pause_of_no_time_does_not_begin() {
    let mut pauses = Pauses::default();
    assert!(!pauses.begin(NOW, &ServerName::new("s-0"), Millis::ZERO));
    assert_eq!(pauses.count(NOW), 0);
}

#[parameterized(
    none_in_a_pause = { &[(0, 2, 0), (2, 4, 0)], None },
    another_holder_is_in_none = { &[(0, 2, 0), (2, 4, 900), (2, 4, 0)], None },
    first_of_two_ends = { &[(0, 2, 0), (2, 4, 900), (2, 4, 700)], Some(Millis(700)) },
    last_of_two_layers = { &[(0, 2, 300), (2, 4, 700)], Some(Millis(700)) },
    one_layer_between_ranges = { &[(0, 3, 0), (2, 3, 0), (3, 4, 200)], Some(Millis(200)) },
    a_layer_without_holder = { &[(0, 2, 0)], None },
    no_holder = { &[], None },
)]
fn no_request_is_served_until_each_layer_has_a_holder_in_no_pause(
    holders: &[(u16, u16, u64)],
    expected: Option<Millis>,
) {
    let holders: Vec<PausedHolder> = holders
        .iter()
        .map(|&(from, to, left)| PausedHolder {
            layers: LayerRange::new(from, to),
            left: Millis(left),
        })
        .collect();
    assert_eq!(time_without_holder(4, &holders), expected);
}
