//! Tests what `yuccanotch-ctl status` prints and how long `wait` waits.

mod util;

use serde_json::json;
use util::TestEnvironment;

#[test]
fn shows_each_host_with_its_number_and_waits_for_a_patch() {
    let mut env = TestEnvironment::with_sample();
    env.add_host("entry-1");
    env.add_host("entry-2");
    env.write("a.json", &json!({"domains": {"marka": {"region": "amman"}}}));
    assert_eq!(env.run_with_hosts("patch", &["--base", "1", "a.json"]).code, 0);
    let waited = env.run_with_hosts("wait", &["--number", "2", "--timeout", "20000"]);
    assert_eq!(waited.out, "configuration 2 is in force on 2 hosts\n", "{waited:?}");
    let status = env.run_with_hosts("status", &[]);
    assert_eq!(status.code, 0, "{status:?}");
    let lines: Vec<&str> = status.out.lines().collect();
    assert!(lines[0].starts_with("entry-1 sahab configuration 2 patch "), "{status:?}");
    assert!(lines[1].starts_with("entry-2 sahab configuration 2 patch "), "{status:?}");
    assert!(lines[2].starts_with("store configuration 2 patch "), "{status:?}");
}

#[test]
fn waiting_for_a_number_that_is_never_published_fails_at_the_timeout() {
    let mut env = TestEnvironment::with_sample();
    env.add_host("entry-1");
    let waited = env.run_with_hosts("wait", &["--number", "2", "--timeout", "100"]);
    assert_eq!(waited.code, 1);
    assert!(waited.err.starts_with("after 100 ms not in force on 127.0.0.1:"), "{waited:?}");
}

#[test]
fn a_wrong_key_is_refused() {
    let mut env = TestEnvironment::with_sample();
    env.add_host("entry-1");
    env.write_text("key", "a stranger's key");
    let status = env.run_with_hosts("status", &[]);
    assert_eq!(status.code, 1);
    assert!(status.out.contains("the key is not an admin key of this host"), "{status:?}");
}
