//! `yuccanotch-ctl recover`.

mod util;

use serde_json::json;
use util::eventually;
use util::Work;
use yuccanotch_standin::Fault;

#[test]
fn a_store_restored_from_an_old_copy_takes_no_patch_before_it_is_recovered() {
    let mut work = Work::with_sample();
    work.add_host("entry-1");
    work.write("a.json", &json!({"domains": {"marka": {"region": "amman"}}}));
    work.write("b.json", &json!({"domains": {"abdali": {"region": "amman"}}}));
    work.inject(Fault::StoreCopy, 0);
    assert_eq!(work.run("patch", &["--base", "1", "a.json"]).code, 0);
    let wait = ["--number", "2", "--timeout", "20000"];
    assert_eq!(work.run_with_hosts("wait", &wait).code, 0);
    work.inject(Fault::StoreRestore, 0);

    let refused = work.run_with_hosts("patch", &["--base", "1", "b.json"]);
    assert_eq!(refused.code, 1, "{refused:?}");
    assert!(refused.err.starts_with("the store is at 1, but entry hosts hold 2"), "{refused:?}");

    let recovered = work.run_with_hosts("recover", &[]);
    assert_eq!(recovered.code, 0, "{recovered:?}");
    assert!(recovered.out.contains("accepted: configuration 1000000, patch "), "{recovered:?}");
    assert_eq!(work.run_with_hosts("patch", &["--base", "1000000", "b.json"]).code, 0);
    let number = || work.hosts()[0].host.configuration.number().0;
    assert!(eventually(|| number() == 1_000_001), "{}", number());
    let active = work.hosts()[0].host.configuration.current().unwrap();
    assert_eq!(active.declaration.domains.len(), 3);
}
