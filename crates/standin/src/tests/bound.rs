//! Tests of the throughput bound.

use yuccanotch_core::engine::LayerRange;

use crate::max_flow_bound;
use crate::EngineSettings;
use crate::ModelSettings;
use crate::StandinSettings;

/// Returns an engine that gives `tokens_per_s` in a batch of one.
fn engine(name: &str, first: u16, end: u16, tokens_per_s: u32) -> EngineSettings {
    let mut engine = EngineSettings::new(name, "sahab", "m", "v1", LayerRange::new(first, end));
    engine.behavior.slots = 1000;
    engine.behavior.step_base_us = 0;
    engine.behavior.step_sequence_us = 1_000_000 / tokens_per_s;
    engine
}

fn bound_of(engines: Vec<EngineSettings>) -> f64 {
    let mut settings = StandinSettings { engines, ..StandinSettings::default() };
    settings.models.insert("m".into(), ModelSettings { layers: 10, weights_mb: 0 });
    max_flow_bound(&settings)
}

#[test]
fn is_the_narrowest_stage_of_a_chain() {
    let bound =
        bound_of(vec![engine("a", 0, 5, 100), engine("b", 0, 5, 200), engine("c", 5, 10, 250)]);
    assert!((bound - 250.0).abs() < 1.0, "{bound}");
}

#[test]
fn joins_ranges_that_do_not_line_up() {
    let bound = bound_of(vec![
        engine("whole", 0, 10, 50),
        engine("front", 0, 4, 100),
        engine("middle", 3, 8, 100),
        engine("back", 8, 10, 40),
    ]);
    assert!((bound - 90.0).abs() < 1.0, "{bound}");
}

#[test]
fn is_zero_without_a_whole_chain() {
    assert_eq!(bound_of(vec![engine("a", 0, 5, 100), engine("b", 6, 10, 100)]), 0.0);
}

#[test]
fn counts_the_slots_that_a_token_holds_on_its_way() {
    let mut engines = vec![engine("a", 0, 5, 1000), engine("b", 5, 10, 1000)];
    engines[0].behavior.slots = 1;
    let bound = bound_of(engines);
    assert!((bound - 1_000_000.0 / 2100.0).abs() < 1.0, "{bound}");
}

#[test]
fn counts_the_smaller_batch_of_slots_that_are_held_for_other_stages() {
    let mut engines = vec![engine("a", 0, 5, 1000), engine("b", 5, 10, 1000)];
    engines[0].behavior.step_base_us = 10_000;
    engines[0].behavior.slots = 10;
    // A batch of b takes 10 + b ms and comes back after 1.1 ms, so b + 1.1 b / (10 + b) = 10.
    let bound = bound_of(engines);
    assert!((bound - 486.3).abs() < 1.0, "{bound}");
}
