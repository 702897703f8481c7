//! Tests the findings and exit codes of `yuccanotch-ctl validate`.

mod util;

use serde_json::json;
use util::sample_declaration;
use util::TestEnvironment;

#[test]
fn accepts_a_declaration_and_counts_its_entries() {
    let env = TestEnvironment::new();
    env.write("good.json", &sample_declaration());
    let output = env.run_without_store("validate", &["good.json"]);
    assert_eq!(output.code, 0, "{output:?}");
    assert_eq!(output.out, "valid: 1 domains, 1 teams, 0 models, 1 services, 1 servers\n");
}

#[test]
fn reports_all_findings_with_their_pointers_and_exits_2() {
    let env = TestEnvironment::new();
    let bad = json!({
        "teams": {"a": {"keys": [], "weight": "x"}, "B": {"keys": ["00"]}},
        "servers": {"s": {"domain": "none", "address": "here", "use": {"service": "gone"}}},
    });
    env.write("bad.json", &bad);
    let output = env.run_without_store("validate", &["bad.json"]);
    assert_eq!(output.code, 2);
    let places: Vec<&str> =
        output.err.lines().filter_map(|line| Some(line.split_once(": ")?.0)).collect();
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
fn a_missing_file_exits_with_1_and_a_missing_argument_with_2() {
    let env = TestEnvironment::new();
    assert_eq!(env.run_without_store("validate", &["absent.json"]).code, 1);
    assert_eq!(env.run_without_store("validate", &[]).code, 2);
}
