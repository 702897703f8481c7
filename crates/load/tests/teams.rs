//! Tests the figures by team and the limit on how far one team's flood may slow the others.

use std::fs;
use std::path::PathBuf;

use yare::parameterized;
use yuccanotch_core::reason::Outcome;
use yuccanotch_core::reason::RefusalReason;
use yuccanotch_load::arrivals::RequestSpec;
use yuccanotch_load::experiment::Observations;
use yuccanotch_load::outcome::CompleteAnswer;
use yuccanotch_load::outcome::SendRecord;
use yuccanotch_load::outcome::SendResult;
use yuccanotch_load::teams::flood_figures;
use yuccanotch_load::teams::team_figures;
use yuccanotch_load::Scenario;

const BAKERIES_LOAD: usize = 0;
const GROCERS_LOAD: usize = 1;
const FLOODER_LOAD: usize = 2;
const BEFORE_FLOOD_MS: u64 = 8_000;
const DURING_FLOOD_MS: u64 = 20_000;

fn scenario() -> Scenario {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/team-flood.json");
    Scenario::parse(&fs::read(path).unwrap()).unwrap()
}

fn sent(load_index: usize, due_ms: u64, result: SendResult) -> SendRecord {
    let spec = RequestSpec::Chat { load_index, content: String::new() };
    let due_us = due_ms * 1000;
    SendRecord { number: 0, spec, due_us, started_us: due_us, ended_us: due_us, result }
}

fn complete(load_index: usize, due_ms: u64, first_ms: u64) -> SendRecord {
    let answer = CompleteAnswer {
        tokens: vec!["bags".to_owned()],
        token_arrivals_us: vec![(due_ms + first_ms) * 1000],
        version: "v1".to_owned(),
        reported_tokens: 1,
        reported_digest: String::new(),
        attempts: 1,
    };
    sent(load_index, due_ms, SendResult::Complete(answer))
}

#[parameterized(
    same = { Some(20), false },
    within_the_limit = { Some(29), false },
    beyond_the_limit = { Some(31), true },
    never_answered = { None, true },
)]
fn a_flood_that_slows_other_teams_beyond_the_limit_breaks_the_promise(
    during_ms: Option<u64>,
    is_broken: bool,
) {
    let mut observed = Observations::default();
    observed.sent.push(complete(BAKERIES_LOAD, BEFORE_FLOOD_MS, 20));
    observed.sent.push(complete(FLOODER_LOAD, DURING_FLOOD_MS, 3_000));
    observed.sent.extend(during_ms.map(|ms| complete(BAKERIES_LOAD, DURING_FLOOD_MS, ms)));
    let scenario = scenario();
    let spec = scenario.flood.as_ref().unwrap();
    let figures = flood_figures(&scenario, spec, &observed).unwrap();
    assert_eq!(figures.broken_promise().is_some(), is_broken, "{figures:?}");
    assert_eq!(figures.others.p95_ratio.is_some(), during_ms.is_some());
}

#[test]
fn results_are_counted_under_the_sending_team() {
    let refused =
        SendResult::Refused { reason: RefusalReason::TeamLimit, outcome: Outcome::NotRun };
    let mut observed = Observations::default();
    observed.sent.push(complete(GROCERS_LOAD, BEFORE_FLOOD_MS, 40));
    observed.sent.push(sent(FLOODER_LOAD, DURING_FLOOD_MS, refused));
    observed.sent.push(sent(FLOODER_LOAD, DURING_FLOOD_MS, SendResult::Broken("reset".to_owned())));
    let teams = team_figures(&scenario(), &observed);
    assert_eq!((teams["grocers"].sent, teams["grocers"].whole), (1, 1));
    assert!((teams["grocers"].first_token_ms.p95 - 40.0).abs() < 0.1);
    let flooder = &teams["flooder"];
    assert_eq!((flooder.sent, flooder.refused, flooder.broken), (2, 1, 1));
    assert_eq!(teams["bakeries"].sent, 0);
}
