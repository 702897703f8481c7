//! Tests draining and its undo by `yuccanotch-ctl drain`.

mod util;

use serde_json::Value;
use util::TestEnvironment;

#[test]
fn drains_a_backend_server_by_a_patch_and_undoes_it() {
    let env = TestEnvironment::with_sample();
    assert_eq!(env.run("drain", &["ordering-1"]).code, 0);
    let shown = || serde_json::from_str::<Value>(&env.run("show", &[]).out).unwrap();
    assert_eq!(shown()["servers"]["ordering-1"]["drain"], true);
    assert_eq!(env.run("drain", &["--undo", "ordering-1"]).code, 0);
    assert_eq!(shown()["servers"]["ordering-1"].get("drain"), None);
}

#[test]
fn drains_an_entry_host_by_its_admin_port() {
    let mut env = TestEnvironment::with_sample();
    env.add_host("entry-1");
    env.add_host("entry-2");
    let output = env.run_with_hosts("drain", &["entry-2"]);
    assert_eq!(
        (output.code, output.out.as_str()),
        (0, "draining: entry host entry-2\n"),
        "{output:?}"
    );
    assert!(!env.hosts()[0].host.is_draining());
    assert!(env.hosts()[1].host.is_draining());
}

#[test]
fn an_unknown_name_is_a_failure() {
    let env = TestEnvironment::with_sample();
    let output = env.run("drain", &["nobody"]);
    assert_eq!(output.code, 1);
    assert_eq!(output.err, "no backend server and no entry host is named \"nobody\"\n");
}
