//! `yuccanotch-ctl drain`.

mod util;

use serde_json::Value;
use util::Work;

#[test]
fn drains_a_backend_server_by_a_patch_and_takes_it_back() {
    let work = Work::with_sample();
    assert_eq!(work.run("drain", &["ordering-1"]).code, 0);
    let shown = || serde_json::from_str::<Value>(&work.run("show", &[]).out).unwrap();
    assert_eq!(shown()["servers"]["ordering-1"]["drain"], true);
    assert_eq!(work.run("drain", &["--undo", "ordering-1"]).code, 0);
    assert_eq!(shown()["servers"]["ordering-1"].get("drain"), None);
}

#[test]
fn drains_an_entry_host_by_its_admin_port() {
    let mut work = Work::with_sample();
    work.add_host("entry-1");
    work.add_host("entry-2");
    let ran = work.run_with_hosts("drain", &["entry-2"]);
    assert_eq!((ran.code, ran.out.as_str()), (0, "draining: entry host entry-2\n"), "{ran:?}");
    assert!(!work.hosts()[0].host.is_draining());
    assert!(work.hosts()[1].host.is_draining());
}

#[test]
fn an_unknown_name_is_a_failure() {
    let work = Work::with_sample();
    let ran = work.run("drain", &["nobody"]);
    assert_eq!(ran.code, 1);
    assert_eq!(ran.err, "no backend server and no entry host is named \"nobody\"\n");
}
