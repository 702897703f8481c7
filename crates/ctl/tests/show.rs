//! Tests the output of `yuccanotch-ctl show`.

mod util;

use serde_json::Value;
use util::sample_declaration;
use util::TestEnvironment;

#[test]
fn prints_the_declaration_as_it_was_written() {
    let env = TestEnvironment::with_sample();
    let output = env.run("show", &[]);
    assert_eq!(output.code, 0, "{output:?}");
    assert_eq!(serde_json::from_str::<Value>(&output.out).unwrap(), sample_declaration());
    assert_eq!(env.run("show", &["--number"]).out, "1\n");
}

#[test]
fn an_empty_store_exits_with_1_and_a_missing_store_option_with_2() {
    let env = TestEnvironment::new();
    assert_eq!(env.run("show", &[]).code, 1);
    assert_eq!(env.run_without_store("show", &[]).code, 2);
}

#[test]
fn succeeds_without_an_error_when_standard_output_is_closed() {
    let env = TestEnvironment::with_sample();
    let output = env.run_with_closed_stdout("show", &[]);
    assert_eq!((output.code, output.err.as_str()), (0, ""));
    let output = TestEnvironment::new().run_with_closed_stdout("show", &[]);
    assert_eq!(output.code, 1, "{output:?}");
}
