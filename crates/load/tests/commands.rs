//! Runs the commands of the binary and checks their output and exit codes.

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

const SCENARIO: &str = r#"{
    "title": "smoke", "seconds": 2,
    "deployment": {
        "region": "amman", "domains": ["sahab", "marka"], "entries_per_domain": 1,
        "teams": [{"name": "retail"}, {"name": "print-shop"}],
        "models": [{"name": "assistant", "layers": 6, "stages": 2, "step_base_us": [1000, 2000]}],
        "services": [{"name": "ordering",
            "routes": [{"method": "POST", "path": "/confirmations", "repeatable": false}]}]
    },
    "chat": [{"model": "assistant", "team": "retail", "per_s": 6},
        {"model": "assistant", "team": "print-shop", "per_s": 8, "from_ms": 1400}],
    "flood": {"team": "print-shop"},
    "calls": [{"service": "ordering", "method": "POST", "path": "/confirmations",
        "team": "retail", "per_s": 6, "keyed": true, "double_percent": 30, "resends": 2}],
    "faults": [{"at_ms": 500, "fault": "engine_crash", "target": "assistant-1-0", "for_ms": 300}]
}"#;

fn load(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_yuccanotch-load")).args(args).output().unwrap()
}

fn work_dir(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&dir).unwrap();
    dir
}

#[test]
fn run_writes_its_reports_and_compare_reads_them() {
    let dir = work_dir("run");
    let at = |name: &str| dir.join(name).to_str().unwrap().to_owned();
    fs::write(at("smoke.json"), SCENARIO).unwrap();
    let args = ["run", &at("smoke.json"), "--json", &at("out.json"), "--html", &at("out.html")];
    let output = load(&args);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    assert!(text.contains("all promises held"), "{text}");
    let page = fs::read_to_string(at("out.html")).unwrap();
    assert_eq!(page.matches("<svg").count(), page.matches("</svg>").count());
    assert!(page.contains("Throughput against the bound"));
    assert!(text.contains("ratio     retail") && page.contains("retail, flood"), "{text}");
    assert!(!page.contains("src="), "the page refers to another file");
    let output = load(&["compare", &at("out.json"), &at("out.json")]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success());
    let line = text.lines().find(|line| line.starts_with("/chat/tokens_per_s")).unwrap();
    assert!(line.ends_with("1.000"), "{line}");
    assert!(text.contains("/teams/retail/first_token_ms/p95"), "{text}");
    assert!(text.contains("/flood/teams/retail/quiet/sent"), "{text}");
}

#[test]
fn a_faulty_scenario_exits_with_2_and_all_findings() {
    let dir = work_dir("faulty");
    let path = dir.join("faulty.json");
    let text = SCENARIO.replace(r#""team": "retail", "per_s": 6}"#, r#""team": "x", "per_s": 0}"#);
    fs::write(&path, text).unwrap();
    let output = load(&["run", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("/chat/0/team") && text.contains("/chat/0/per_s"), "{text}");
}

#[test]
fn an_unknown_command_exits_with_2() {
    assert_eq!(load(&["fly"]).status.code(), Some(2));
}
