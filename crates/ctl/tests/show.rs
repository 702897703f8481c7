//! `yuccanotch-ctl show`.

mod util;

use serde_json::Value;
use util::sample;
use util::Work;

#[test]
fn prints_the_declaration_as_it_was_written() {
    let work = Work::with_sample();
    let ran = work.run("show", &[]);
    assert_eq!(ran.code, 0, "{ran:?}");
    assert_eq!(serde_json::from_str::<Value>(&ran.out).unwrap(), sample());
    assert_eq!(work.run("show", &["--number"]).out, "1\n");
}

#[test]
fn fails_on_an_empty_store_and_without_one() {
    let work = Work::new();
    assert_eq!(work.run("show", &[]).code, 1);
    assert_eq!(work.run_offline("show", &[]).code, 2);
}

#[test]
fn ends_quietly_when_nobody_reads_its_output() {
    let work = Work::with_sample();
    let ran = work.run_unread("show", &[]);
    assert_eq!((ran.code, ran.err.as_str()), (0, ""));
    let ran = Work::new().run_unread("show", &[]);
    assert_eq!(ran.code, 1, "{ran:?}");
}
