//! Tests accepted, stale, invalid and interrupted patches of `yuccanotch-ctl patch`.

mod util;

use serde_json::json;
use util::TestEnvironment;
use yuccanotch_standin::Fault;

fn add_domain(name: &str) -> serde_json::Value {
    json!({"domains": {name: {"region": "amman"}}})
}

#[test]
fn a_stale_base_is_refused_with_the_current_number_and_exit_code_3() {
    let env = TestEnvironment::with_sample();
    env.write("a.json", &add_domain("marka"));
    env.write("b.json", &add_domain("abdali"));
    let first = env.run("patch", &["--base", "1", "a.json"]);
    assert!(first.out.starts_with("accepted: configuration 2, patch "), "{first:?}");
    let second = env.run("patch", &["--base", "1", "b.json"]);
    assert_eq!(second.code, 3);
    assert_eq!(
        second.err,
        "stale base: the patch was made against 1, the current number is 2; nothing was changed\n"
    );
    assert_eq!(env.run("patch", &["--base", "2", "b.json"]).code, 0);
}

#[test]
fn findings_are_printed_and_nothing_is_changed() {
    let env = TestEnvironment::with_sample();
    env.write("bad.json", &json!({"servers": {"ordering-1": {"address": "x"}}}));
    let output = env.run("patch", &["--base", "1", "bad.json"]);
    assert_eq!(output.code, 2);
    assert!(output.err.starts_with("/servers/ordering-1/address: "), "{output:?}");
    assert_eq!(env.run("show", &["--number"]).out, "1\n");
}

#[test]
fn a_patch_with_lost_store_answers_is_settled_by_its_id() {
    let env = TestEnvironment::with_sample();
    env.write("a.json", &add_domain("marka"));
    env.write("b.json", &add_domain("abdali"));
    env.inject(Fault::StoreLosesAnswers { percent: 60 }, 60_000);
    let mut output = env.run("patch", &["--base", "1", "a.json"]);
    env.inject(Fault::StoreLosesAnswers { percent: 0 }, 60_000);
    if output.code == 4 {
        let id = output.err.split("--id ").nth(1).unwrap().split(' ').next().unwrap().to_owned();
        output = env.run("patch", &["--base", "1", "--id", &id, "a.json"]);
    }
    // A read may fail before the patch is written; the command then fails and changes nothing.
    let number = env.run("show", &["--number"]).out;
    match output.code {
        0 => assert_eq!(number, "2\n"),
        1 => assert_eq!(number, "1\n", "{output:?}"),
        _ => panic!("{output:?}"),
    }
}

#[test]
fn an_id_settles_an_accepted_patch_after_another_one_followed() {
    let env = TestEnvironment::with_sample();
    env.write("a.json", &add_domain("marka"));
    env.write("b.json", &add_domain("abdali"));
    let id = "00000000000000aa";
    assert_eq!(env.run("patch", &["--base", "1", "--id", id, "a.json"]).code, 0);
    assert_eq!(env.run("patch", &["--base", "2", "b.json"]).code, 0);
    let settled = env.run("patch", &["--base", "1", "--id", id, "a.json"]);
    assert_eq!(settled.out, format!("accepted: configuration 2, patch {id}\n"));
    let never = env.run("patch", &["--base", "1", "--id", "00000000000000bb", "a.json"]);
    assert_eq!(never.code, 3);
}

#[test]
fn a_store_that_does_not_answer_is_a_failure_that_changed_nothing() {
    let env = TestEnvironment::with_sample();
    env.write("a.json", &add_domain("marka"));
    env.inject(Fault::StoreOutage, 60_000);
    let output = env.run("patch", &["--base", "1", "a.json"]);
    assert_eq!(output.code, 1);
    assert!(output.err.ends_with("nothing was changed\n"), "{output:?}");
}
