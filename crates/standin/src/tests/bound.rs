//! Tests of the throughput bounds.

use yuccanotch_core::engine::LayerRange;

use crate::max_flow_bound;
use crate::slot_bound_for;
use crate::EngineSettings;
use crate::ModelSettings;
use crate::StandinSettings;
use crate::WorkMix;

/// Returns an engine with 1000 slots that produces `tokens_per_s` with a batch of one.
fn engine(name: &str, first: u16, end: u16, tokens_per_s: u32) -> EngineSettings {
    let mut engine = EngineSettings::new(name, "sahab", "m", "v1", LayerRange::new(first, end));
    engine.behavior.slots = 1000;
    engine.behavior.step_base_us = 0;
    engine.behavior.step_sequence_us = 1_000_000 / tokens_per_s;
    engine
}

fn flow_bound_of(engines: Vec<EngineSettings>) -> f64 {
    max_flow_bound(&settings_of(engines))
}

fn settings_of(engines: Vec<EngineSettings>) -> StandinSettings {
    let mut settings = StandinSettings { engines, ..StandinSettings::default() };
    settings.models.insert("m".into(), ModelSettings { layers: 10, weights_mb: 0 });
    settings
}

fn with_slots(mut engine: EngineSettings, slots: u32) -> EngineSettings {
    engine.behavior.slots = slots;
    engine
}

/// Returns the maximum flow bound and the slot bound.
fn bounds_of(engines: Vec<EngineSettings>, mix: WorkMix) -> (f64, f64) {
    let settings = settings_of(engines);
    (max_flow_bound(&settings), slot_bound_for(&settings, mix).values().sum())
}

#[test]
fn flow_bound_is_the_capacity_of_the_narrowest_stage() {
    let bound = flow_bound_of(vec![
        engine("a", 0, 5, 100),
        engine("b", 0, 5, 200),
        engine("c", 5, 10, 250),
    ]);
    assert!((bound - 250.0).abs() < 1.0, "{bound}");
}

#[test]
fn flow_bound_combines_overlapping_layer_ranges() {
    let bound = flow_bound_of(vec![
        engine("whole", 0, 10, 50),
        engine("front", 0, 4, 100),
        engine("middle", 3, 8, 100),
        engine("back", 8, 10, 40),
    ]);
    assert!((bound - 90.0).abs() < 1.0, "{bound}");
}

#[test]
fn flow_bound_is_zero_without_a_complete_chain() {
    assert_eq!(flow_bound_of(vec![engine("a", 0, 5, 100), engine("b", 6, 10, 100)]), 0.0);
}

#[test]
fn flow_bound_counts_the_slots_held_during_other_stages_and_links() {
    let mut engines = vec![engine("a", 0, 5, 1000), engine("b", 5, 10, 1000)];
    engines[0].behavior.slots = 1;
    let bound = flow_bound_of(engines);
    assert!((bound - 1_000_000.0 / 2100.0).abs() < 1.0, "{bound}");
}

#[test]
fn flow_bound_uses_the_mean_batch_left_by_slots_held_during_other_stages() {
    let mut engines = vec![engine("a", 0, 5, 1000), engine("b", 5, 10, 1000)];
    engines[0].behavior.step_base_us = 10_000;
    engines[0].behavior.slots = 10;
    // A step with b sequences takes 10 + b ms, and a run spends 1.1 ms elsewhere before its next
    // step, so b + 1.1 b / (10 + b) = 10.
    let bound = flow_bound_of(engines);
    assert!((bound - 486.3).abs() < 1.0, "{bound}");
}

#[test]
fn slot_bound_is_reached_by_chains_of_servers_with_equal_times() {
    let engines = ["a", "b"].into_iter().zip([(0, 5), (5, 10)]).flat_map(|(name, (first, end))| {
        let slow = engine(&format!("slow-{name}"), first, end, 200);
        let fast = engine(&format!("fast-{name}"), first, end, 1000);
        [with_slots(slow, 1), with_slots(fast, 1)]
    });
    let (flow, slots) = bounds_of(engines.collect(), WorkMix::default());
    // With its links, a token takes 2.1 ms on the fast chain and 10.1 ms on the slow one.
    let reached = 1_000_000.0 / 2100.0 + 1_000_000.0 / 10_100.0;
    assert!((slots - reached).abs() < 1.0, "{slots} for {reached}");
    assert!(flow > reached + 10.0, "{flow}");
}

#[test]
fn slot_bound_is_not_exceeded_by_any_pairing_of_servers() {
    let (a, b) = ([900, 300], [700, 100]);
    let mut engines = Vec::new();
    for place in 0..2 {
        engines.push(with_slots(engine(&format!("a{place}"), 0, 5, a[place]), 1));
        engines.push(with_slots(engine(&format!("b{place}"), 5, 10, b[place]), 1));
    }
    let (_, slots) = bounds_of(engines, WorkMix::default());
    let rate = |a: u32, b: u32| 1e6 / (f64::from(1_000_000 / a + 1_000_000 / b) + 100.0);
    for reached in [rate(a[0], b[0]) + rate(a[1], b[1]), rate(a[0], b[1]) + rate(a[1], b[0])] {
        assert!(slots > reached, "{slots} for {reached}");
    }
}

#[test]
fn slot_bound_counts_at_most_the_slots_of_the_narrowest_stage() {
    let engines = vec![
        with_slots(engine("a", 0, 5, 1000), 1),
        with_slots(engine("b", 5, 10, 1000), 1),
        with_slots(engine("c", 5, 10, 1000), 1),
    ];
    let (_, slots) = bounds_of(engines, WorkMix::default());
    assert!((slots - 1_000_000.0 / 2100.0).abs() < 1.0, "{slots}");
}

#[test]
fn slot_bound_counts_the_prefill_time_of_held_slots() {
    let mut engines = Vec::new();
    for (name, tokens_per_s) in [("slow", 200), ("fast", 1000)] {
        for (stage, (first, end)) in [(0, 5), (5, 10)].into_iter().enumerate() {
            let mut engine = engine(&format!("{name}-{stage}"), first, end, tokens_per_s);
            engine.behavior.prefill_word_us = 500;
            engines.push(with_slots(engine, 1));
        }
    }
    let (_, slots) = bounds_of(engines, WorkMix { prefill_words_per_token: 4.0 });
    // Each token needs 2 ms of prefill at each of the two stages.
    let reached = 1_000_000.0 / 6100.0 + 1_000_000.0 / 14_100.0;
    assert!((slots - reached).abs() < 1.0, "{slots} for {reached}");
}

#[test]
fn slot_bound_is_zero_without_a_complete_chain() {
    let engines = vec![engine("a", 0, 5, 100), engine("b", 6, 10, 100)];
    assert_eq!(bounds_of(engines, WorkMix::default()).1, 0.0);
}
