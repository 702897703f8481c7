//! `yuccanotch-ctl diff`.

mod util;

use serde_json::json;
use serde_json::Value;
use util::sample;
use util::Work;

#[test]
fn prints_what_differs_and_the_patch_that_leads_there() {
    let work = Work::with_sample();
    let mut wanted = sample();
    wanted["teams"]["bakery"]["weight"] = json!(3);
    wanted["domains"]["marka"] = json!({"region": "amman"});
    wanted["services"]["ordering"]["routes"][0]["repeatable"] = json!(true);
    work.write("wanted.json", &wanted);
    let ran = work.run("diff", &["wanted.json"]);
    assert_eq!(ran.code, 0, "{ran:?}");
    assert!(ran.out.contains("+ /domains/marka: {\"region\":\"amman\"}\n"), "{}", ran.out);
    assert!(ran.out.contains("+ /teams/bakery/weight: 3\n"), "{}", ran.out);
    assert!(ran.out.contains("~ /services/ordering/routes: "), "{}", ran.out);
    assert!(ran.out.ends_with("3 differences from configuration 1\n"), "{}", ran.out);

    let patch = work.run("diff", &["--patch", "wanted.json"]);
    work.write_text("patch.json", &patch.out);
    assert_eq!(work.run("patch", &["--base", "1", "patch.json"]).code, 0);
    let shown: Value = serde_json::from_str(&work.run("show", &[]).out).unwrap();
    assert_eq!(shown, wanted);
}
