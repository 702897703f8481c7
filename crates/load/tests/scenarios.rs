//! Tests that the shipped scenarios are valid and that arrivals and faults follow the seed.

use std::fs;
use std::path::PathBuf;

use yuccanotch_load::arrivals::generate_arrivals;
use yuccanotch_load::arrivals::schedule_faults;
use yuccanotch_load::plan::deployment_plan;
use yuccanotch_load::Scenario;

fn shipped_scenarios() -> Vec<PathBuf> {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let entries = fs::read_dir(dir).unwrap().map(|entry| entry.unwrap().path());
    entries.filter(|path| path.extension().is_some_and(|e| e == "json")).collect()
}

#[test]
fn every_shipped_scenario_is_valid() {
    let paths = shipped_scenarios();
    assert!(paths.len() >= 13, "{paths:?}");
    for path in paths {
        let scenario = Scenario::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        assert!(
            deployment_plan(&scenario.deployment, 7).standin.check().is_ok(),
            "{}",
            path.display()
        );
        assert!(!generate_arrivals(&scenario, 7).is_empty(), "{}", path.display());
    }
}

#[test]
fn the_same_seed_draws_the_same_arrivals_and_faults() {
    for path in shipped_scenarios() {
        let scenario = Scenario::read(&path).unwrap();
        assert_eq!(generate_arrivals(&scenario, 11), generate_arrivals(&scenario, 11));
        assert_eq!(schedule_faults(&scenario, 11), schedule_faults(&scenario, 11));
        assert_ne!(generate_arrivals(&scenario, 11), generate_arrivals(&scenario, 12));
    }
}

#[test]
fn all_findings_of_a_scenario_are_reported_together() {
    let text = br#"{
        "title": "t", "seconds": 0,
        "deployment": {"region": "r", "domains": [], "entries_per_domain": 1,
            "teams": [{"name": "a"}],
            "models": [{"name": "m", "layers": 4, "stages": 5, "step_base_us": [1]}]},
        "chat": [{"model": "none", "team": "b", "per_s": 0}],
        "faults": [{"at_ms": 0, "entry": "kill", "index": 9, "for_ms": 1}]
    }"#;
    let findings = Scenario::parse(text).unwrap_err();
    let places: Vec<&str> = findings.iter().map(|finding| finding.pointer.as_str()).collect();
    assert_eq!(
        places,
        [
            "/chat/0/model",
            "/chat/0/per_s",
            "/chat/0/team",
            "/deployment/domains",
            "/deployment/models/0/stages",
            "/faults/0",
            "/faults/0/index",
            "/seconds",
        ]
    );
}
