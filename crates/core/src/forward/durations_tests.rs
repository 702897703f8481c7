use std::sync::Arc;

use crate::clock::Millis;
use crate::forward::durations::Durations;

fn after(samples: &[(u32, u64)]) -> Durations {
    let mut durations = Durations::default();
    let route = Arc::from("a");
    samples.iter().for_each(|(work, ms)| durations.record(&route, *work, Millis(*ms)));
    durations
}

#[test]
fn a_route_without_an_ended_request_has_no_expected_duration() {
    assert_eq!(after(&[]).expected("a", 1), None);
    assert_eq!(after(&[(1, 100)]).expected("b", 1), None);
}

#[test]
fn steady_durations_are_expected_again_and_grow_with_the_work() {
    let durations = after(&[(10, 1_000); 60]);
    assert_eq!(durations.expected("a", 10), Some(Millis(1_001)));
    assert_eq!(durations.expected("a", 20), Some(Millis(2_001)));
}

#[test]
fn almost_all_uneven_durations_end_within_the_expected_one() {
    let samples: Vec<_> = (0..400).map(|i| (1, 100 + (i * 37) % 200)).collect();
    let expected = after(&samples).expected("a", 1).expect("a duration");
    let within = samples.iter().filter(|(_, ms)| Millis(*ms) <= expected).count();
    assert!(within * 100 >= samples.len() * 95, "{within} within {expected:?}");
}
