//! Property tests of the parsers of external input: none panics, and each rejection has a reason.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::strategy::Just;
use proptest::strategy::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use serde_json::json;
use serde_json::Value;
use yuccanotch_core::claim::decode_segment;
use yuccanotch_core::claim::SlotHead;
use yuccanotch_core::config::chunk;
use yuccanotch_core::config::manifest::Manifest;
use yuccanotch_core::config::parse;
use yuccanotch_core::config::parse_document;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::engine::Frame;
use yuccanotch_core::finding::Finding;
use yuccanotch_entry::Settings;
use yuccanotch_load::Scenario;
use yuccanotch_local::Deployment;
use yuccanotch_local::Plan;
use yuccanotch_standin::StandinSettings;

const CASES: u32 = 256;
const HTTP_CASES: u32 = 64;
const MAX_BYTES: usize = 400;

/// Checks a property for `cases` values of `strategy`, generated with a fixed seed.
fn check_property<S: Strategy>(
    cases: u32,
    strategy: &S,
    property: impl Fn(S::Value) -> Result<(), TestCaseError>,
) {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng).run(strategy, property).unwrap();
}

/// Generates random bytes, or a valid text with some bytes replaced and its end cut off.
fn corrupted(valid: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let len = valid.len();
    let edits = vec((0..len, any::<u8>()), 0..4);
    let edited = (Just(valid), edits, 0..=len).prop_map(|(mut text, edits, end)| {
        edits.into_iter().for_each(|(at, byte)| text[at] = byte);
        text.truncate(end.max(1));
        text
    });
    proptest::prop_oneof![vec(any::<u8>(), 0..MAX_BYTES), edited]
}

fn expect_findings<T>(result: Result<T, Vec<Finding>>) -> Result<(), TestCaseError> {
    let Err(findings) = result else { return Ok(()) };
    let clear = !findings.is_empty() && findings.iter().all(|finding| !finding.text.is_empty());
    if clear {
        Ok(())
    } else {
        Err(TestCaseError::fail(format!("finding without a text: {findings:?}")))
    }
}

/// Generates JSON values of a few levels whose members have names that occur in declarations.
fn json_value() -> impl Strategy<Value = Value> {
    let leaf = proptest::prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        "[a-z~/ -]{0,12}".prop_map(Value::from),
    ];
    let name = proptest::prop_oneof![
        Just("teams".to_owned()),
        Just("models".to_owned()),
        Just("servers".to_owned()),
        Just("layers".to_owned()),
        "[a-z~/ -]{0,8}",
    ];
    leaf.prop_recursive(4, 32, 4, move |inner| {
        proptest::prop_oneof![
            vec(inner.clone(), 0..4).prop_map(Value::from),
            vec((name.clone(), inner), 0..4)
                .prop_map(|pairs| Value::Object(pairs.into_iter().collect())),
        ]
    })
}

fn declaration() -> Value {
    let plan = Plan::haddad(7);
    let port = |name: &str| 1024 + yuccanotch_core::digest::fast_hash(name.as_bytes()) % 60_000;
    let declaration = plan.declaration(|name| format!("127.0.0.1:{}", port(name)));
    serde_json::to_value(declaration).unwrap()
}

#[test]
fn corrupted_settings_and_scenarios_are_rejected_with_findings() {
    let entry = json!({
        "host": "entry-1", "domain": "sahab", "callers": "127.0.0.1:1", "admin": "127.0.0.1:2",
        "peer": "127.0.0.1:3", "store": "127.0.0.1:4",
        "peer_keys": ["00112233445566778899aabbccddeeff"], "limits": {"body_bytes": 4096},
    });
    assert!(Settings::parse(entry.to_string().as_bytes()).is_ok());
    check_property(CASES, &corrupted(entry.to_string().into_bytes()), |text| {
        expect_findings(Settings::parse(&text))
    });
    let standin = serde_json::to_vec(&Plan::haddad(7).standin).unwrap();
    assert!(StandinSettings::parse(&standin).is_ok());
    check_property(CASES, &corrupted(standin), |text| {
        expect_findings(StandinSettings::parse(&text))
    });
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/stage-dies.json");
    check_property(CASES, &corrupted(fs::read(path).unwrap()), |text| {
        expect_findings(Scenario::parse(&text))
    });
}

#[test]
fn corrupted_declarations_and_patches_are_rejected_with_findings() {
    let valid = declaration().to_string().into_bytes();
    assert_eq!(parse(&valid).err(), None);
    check_property(CASES, &corrupted(valid.clone()), |text| expect_findings(parse(&text)));
    check_property(CASES, &json_value(), |patch| {
        let document = parse_document(&valid).unwrap();
        let Ok(merged) = document.merged(&patch) else {
            return expect_findings(document.merged(&patch));
        };
        expect_findings(parse(merged.to_value().to_string().as_bytes()))
    });
}

#[test]
fn corrupted_store_values_are_rejected_with_a_reason() {
    check_property(CASES, &vec(any::<u8>(), 0..MAX_BYTES), |buf| {
        let texts = [
            SlotHead::decode(&buf).err().map(|e| e.to_string()),
            decode_segment(&buf).err().map(|e| e.to_string()),
            Manifest::decode(&buf).err().map(|e| e.to_string()),
            chunk::decode(Digest::of(&buf), &buf).err().map(|e| e.to_string()),
        ];
        let clear = texts.iter().flatten().all(|text| !text.is_empty());
        clear.then_some(()).ok_or_else(|| TestCaseError::fail(format!("{texts:?}")))
    });
    // A chunk is rejected when its bytes do not have the digest that the manifest names.
    check_property(CASES, &vec(any::<u8>(), 0..MAX_BYTES), |buf| {
        let refused = chunk::decode(Digest::of(b"{}"), &buf).is_err();
        (refused || buf == b"{}")
            .then_some(())
            .ok_or_else(|| TestCaseError::fail("a chunk with a wrong digest was accepted"))
    });
}

#[test]
fn corrupted_engine_frames_are_rejected_with_a_reason() {
    let line = r#"{"type":"error","request":"1","attempt":1,"fault":"full","server":"e"}"#;
    assert!(serde_json::from_str::<Frame>(line).is_ok());
    check_property(CASES, &corrupted(line.as_bytes().to_vec()), |text| {
        let result = serde_json::from_slice::<Frame>(&text);
        let clear = result.err().is_none_or(|e| !e.to_string().is_empty());
        clear.then_some(()).ok_or_else(|| TestCaseError::fail("the parse error has no text"))
    });
}

#[test]
fn corrupted_request_bodies_get_a_4xx_with_a_reason() {
    let deployment = Deployment::start(Plan::haddad(7)).unwrap();
    let entry = deployment.running().next().unwrap().callers;
    let agent = yuccanotch_entry::engine_client::agent(Duration::from_secs(1));
    let body = json!({
        "model": "assistant", "max_tokens": 1, "stream": false,
        "messages": [{"role": "user", "content": "bags"}],
    });
    check_property(HTTP_CASES, &corrupted(body.to_string().into_bytes()), |body| {
        let req = agent.post(format!("http://{entry}/v1/chat/completions"));
        let req = req.header("authorization", "Bearer retail-key");
        let fail = |e: ureq::Error| TestCaseError::fail(e.to_string());
        let mut answer = req.send(&body[..]).map_err(fail)?;
        let status = answer.status().as_u16();
        let text = answer.body_mut().read_to_string().map_err(fail)?;
        let value: Value = serde_json::from_str(&text).unwrap_or_default();
        let told = value["reason"].is_string() && value["outcome"] == "not_run";
        let clear = status == 200 || ((400..500).contains(&status) && told);
        clear.then_some(()).ok_or_else(|| TestCaseError::fail(format!("{status}: {text}")))
    });
    deployment.stop();
}
