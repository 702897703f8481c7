//! Tests that `yuccanotch-ctl recover` restores a store from an old copy.

mod util;

use serde_json::json;
use util::wait_until;
use util::TestEnvironment;
use yuccanotch_standin::Fault;

#[test]
fn a_store_restored_from_an_old_copy_rejects_patches_until_it_is_recovered() {
    let mut env = TestEnvironment::with_sample();
    env.add_host("entry-1");
    env.write("a.json", &json!({"domains": {"marka": {"region": "amman"}}}));
    env.write("b.json", &json!({"domains": {"abdali": {"region": "amman"}}}));
    env.inject(Fault::StoreCopy, 0);
    assert_eq!(env.run("patch", &["--base", "1", "a.json"]).code, 0);
    let wait = ["--number", "2", "--timeout", "20000"];
    assert_eq!(env.run_with_hosts("wait", &wait).code, 0);
    env.inject(Fault::StoreRestore, 0);

    let refused = env.run_with_hosts("patch", &["--base", "1", "b.json"]);
    assert_eq!(refused.code, 1, "{refused:?}");
    assert!(refused.err.starts_with("the store is at 1, but entry hosts hold 2"), "{refused:?}");

    let recovered = env.run_with_hosts("recover", &[]);
    assert_eq!(recovered.code, 0, "{recovered:?}");
    assert!(recovered.out.contains("accepted: configuration 1000000, patch "), "{recovered:?}");
    assert_eq!(env.run_with_hosts("patch", &["--base", "1000000", "b.json"]).code, 0);
    let number = || env.hosts()[0].host.configuration.number().0;
    assert!(wait_until(|| number() == 1_000_001), "{}", number());
    let active = env.hosts()[0].host.configuration.current().unwrap();
    assert_eq!(active.declaration.domains.len(), 3);
}
