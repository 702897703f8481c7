//! Runs `yuccanotch-check` as a child process.

use std::io::Write as _;
use std::process::Command;
use std::process::Output;

/// Runs `yuccanotch-check` with `args` and returns its output.
pub fn run_check(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_yuccanotch-check")).args(args).output().expect("it starts")
}

/// Runs `yuccanotch-check` with `args` and asserts that it succeeds.
pub fn assert_check_passes(args: &[&str]) {
    let output = run_check(args);
    let stdout = String::from_utf8_lossy(&output.stdout);
    let known = stdout.lines().filter(|line| line.starts_with("known red"));
    // Written directly, because the test harness hides what a passing test prints.
    known.for_each(|line| drop(writeln!(std::io::stderr(), "{line}")));
    assert!(output.status.success(), "{args:?} failed:\n{stdout}");
}
