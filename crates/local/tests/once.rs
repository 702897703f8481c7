//! Tests that the sample requests of `yuccanotch-local --once` keep all promises.

use std::process::Command;

#[test]
fn all_promises_hold_on_the_samples() {
    let output = Command::new(env!("CARGO_BIN_EXE_yuccanotch-local"))
        .arg("--once")
        .output()
        .expect("the binary starts");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
    assert_eq!(text.matches("all promises held").count(), 2, "{text}");
    assert!(!text.contains("BROKEN"), "{text}");
}

#[test]
fn all_promises_hold_on_the_samples_of_the_platform() {
    let output = Command::new(env!("CARGO_BIN_EXE_yuccanotch-local"))
        .args(["--platform", "--once"])
        .output()
        .expect("the binary starts");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
    assert!(text.contains("platform: all promises held"), "{text}");
    assert_eq!(text.matches("runs in the servers' record: 1").count(), 9, "{text}");
}

#[test]
fn an_unknown_option_exits_with_2() {
    let output = Command::new(env!("CARGO_BIN_EXE_yuccanotch-local"))
        .arg("--nothing")
        .output()
        .expect("the binary starts");
    assert_eq!(output.status.code(), Some(2));
}
