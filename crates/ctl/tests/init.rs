//! `yuccanotch-ctl init`.

mod util;

use serde_json::json;
use util::sample;
use util::Work;

#[test]
fn writes_the_first_configuration_once() {
    let work = Work::new();
    work.write("first.json", &sample());
    let ran = work.run("init", &["first.json"]);
    assert_eq!(ran.code, 0, "{ran:?}");
    assert!(ran.out.starts_with("accepted: configuration 1, patch "), "{ran:?}");
    let again = work.run("init", &["first.json"]);
    assert_eq!(again.code, 1);
    assert_eq!(again.err, "the store holds configuration 1 already\n");
}

#[test]
fn writes_nothing_when_there_are_findings() {
    let work = Work::new();
    work.write("bad.json", &json!({"teams": {"a": {"keys": []}}}));
    assert_eq!(work.run("init", &["bad.json"]).code, 2);
    assert_eq!(work.run("show", &["--number"]).code, 1);
}
