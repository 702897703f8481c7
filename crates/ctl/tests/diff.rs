//! Tests the differences and patches that `yuccanotch-ctl diff` prints.

mod util;

use serde_json::json;
use serde_json::Value;
use util::sample_declaration;
use util::TestEnvironment;

#[test]
fn prints_the_differences_and_a_patch_that_produces_the_file() {
    let env = TestEnvironment::with_sample();
    let mut wanted = sample_declaration();
    wanted["teams"]["bakery"]["weight"] = json!(3);
    wanted["domains"]["marka"] = json!({"region": "amman"});
    wanted["services"]["ordering"]["routes"][0]["repeatable"] = json!(true);
    env.write("wanted.json", &wanted);
    let output = env.run("diff", &["wanted.json"]);
    assert_eq!(output.code, 0, "{output:?}");
    assert!(output.out.contains("+ /domains/marka: {\"region\":\"amman\"}\n"), "{}", output.out);
    assert!(output.out.contains("+ /teams/bakery/weight: 3\n"), "{}", output.out);
    assert!(output.out.contains("~ /services/ordering/routes: "), "{}", output.out);
    assert!(output.out.ends_with("3 differences from configuration 1\n"), "{}", output.out);

    let patch = env.run("diff", &["--patch", "wanted.json"]);
    env.write_text("patch.json", &patch.out);
    assert_eq!(env.run("patch", &["--base", "1", "patch.json"]).code, 0);
    let shown: Value = serde_json::from_str(&env.run("show", &[]).out).unwrap();
    assert_eq!(shown, wanted);
}
