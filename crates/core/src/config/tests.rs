//! Tests of declarations.

use crate::config::parse;

#[test]
fn reports_all_findings_together() {
    let text = br#"{
        "domains": {"sahab": {"region": "amman"}},
        "models": {"m": {"layers": 0, "version": "v1", "max_tokens": 0, "deadline_ms": 5}},
        "servers": {"s": {"domain": "none", "address": "x", "use": {"service": "gone"}}}
    }"#;
    let findings = parse(text).unwrap_err();
    let places: Vec<&str> = findings.iter().map(|finding| finding.pointer.as_str()).collect();
    assert_eq!(
        places,
        [
            "/models/m/layers",
            "/models/m/max_tokens",
            "/servers/s/address",
            "/servers/s/domain",
            "/servers/s/use/service",
        ]
    );
}
