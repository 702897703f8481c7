//! Tests that `yuccanotch-ctl init` writes a valid first configuration once.

mod util;

use serde_json::json;
use util::sample_declaration;
use util::TestEnvironment;

#[test]
fn writes_the_first_configuration_once() {
    let env = TestEnvironment::new();
    env.write("first.json", &sample_declaration());
    let output = env.run("init", &["first.json"]);
    assert_eq!(output.code, 0, "{output:?}");
    assert!(output.out.starts_with("accepted: configuration 1, patch "), "{output:?}");
    let again = env.run("init", &["first.json"]);
    assert_eq!(again.code, 1);
    assert_eq!(again.err, "the store holds configuration 1 already\n");
}

#[test]
fn writes_nothing_when_there_are_findings() {
    let env = TestEnvironment::new();
    env.write("bad.json", &json!({"teams": {"a": {"keys": []}}}));
    assert_eq!(env.run("init", &["bad.json"]).code, 2);
    assert_eq!(env.run("show", &["--number"]).code, 1);
}
