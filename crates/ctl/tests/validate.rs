//! `yuccanotch-ctl validate`.

mod util;

use serde_json::json;
use util::sample;
use util::Work;

#[test]
fn accepts_a_declaration_and_counts_its_entries() {
    let work = Work::new();
    work.write("good.json", &sample());
    let ran = work.run_offline("validate", &["good.json"]);
    assert_eq!(ran.code, 0, "{ran:?}");
    assert_eq!(ran.out, "valid: 1 domains, 1 teams, 0 models, 1 services, 1 servers\n");
}

#[test]
fn reports_all_findings_with_their_pointers_and_exits_2() {
    let work = Work::new();
    let bad = json!({
        "teams": {"a": {"keys": [], "weight": "x"}, "B": {"keys": ["00"]}},
        "servers": {"s": {"domain": "none", "address": "here", "use": {"service": "gone"}}},
    });
    work.write("bad.json", &bad);
    let ran = work.run_offline("validate", &["bad.json"]);
    assert_eq!(ran.code, 2);
    let places: Vec<&str> =
        ran.err.lines().filter_map(|line| Some(line.split_once(": ")?.0)).collect();
    assert_eq!(
        places,
        [
            "/servers/s/address",
            "/servers/s/domain",
            "/servers/s/use/service",
            "/teams/B/keys/0",
            "/teams/a/weight",
        ]
    );
}

#[test]
fn refuses_a_missing_file_with_1_and_a_missing_argument_with_2() {
    let work = Work::new();
    assert_eq!(work.run_offline("validate", &["absent.json"]).code, 1);
    assert_eq!(work.run_offline("validate", &[]).code, 2);
}
