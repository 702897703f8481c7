//! Tests of settings files: all errors are reported together, each with its JSON pointer.

use yuccanotch_entry::Settings;

const VALID: &str = r#"{
    "host": "entry-1", "domain": "sahab",
    "callers": "127.0.0.1:0", "admin": "127.0.0.1:0", "peer": "127.0.0.1:0",
    "store": "127.0.0.1:7000",
    "peer_keys": ["000102030405060708090a0b0c0d0e0f"]
}"#;

fn error_pointers(text: &str) -> Vec<String> {
    let findings = Settings::parse(text.as_bytes()).expect_err("the settings have errors");
    findings.into_iter().map(|finding| finding.pointer).collect()
}

#[test]
fn accepts_settings_with_only_required_fields() {
    let settings = Settings::parse(VALID.as_bytes()).expect("the settings are valid");
    assert_eq!(settings.host.as_str(), "entry-1");
    assert_eq!(settings.limits.in_flight, 256);
}

#[test]
fn reports_all_errors_at_once() {
    let text = VALID
        .replace("\"127.0.0.1:7000\"", "\"nowhere\"")
        .replace("\"sahab\"", "\"Sahab!\"")
        .replace("\"host\"", "\"hots\"");
    assert_eq!(error_pointers(&text), ["/domain", "/host", "/hots", "/store"]);
}

#[test]
fn reports_limits_out_of_range_with_their_pointers() {
    let text = VALID.replacen('{', r#"{"limits": {"in_flight": 0, "nothing": 1},"#, 1);
    assert_eq!(error_pointers(&text), ["/limits/in_flight", "/limits/nothing"]);
}

#[test]
fn reports_text_that_is_not_json() {
    assert_eq!(error_pointers("{\"host\": "), [""]);
}
