//! The cases of the third review that are scripts: each starts a small deployment of real processes, with
//! a store, workers and callers of its own, and checks one rule.

mod base64;
mod callers;
mod control;
mod deadly;
mod deployment;
mod http;
mod json;
mod leaving;
mod older_version;
mod outage;
mod passed_on;
mod record;
mod store;
mod worker;

use std::env;
use std::io;
use std::path::Path;
use std::process::ExitCode;

use crate::deadly::Deadly;

/// The exit status of a case whose rule was broken.
const BROKEN: u8 = 1;
/// The exit status of a case that could not run.
const NOT_RUN: u8 = 2;
/// The body of a request that does nothing to workers.
const HARMLESS: &str = "nothing";

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    match run(&args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BROKEN),
        Err(e) => {
            eprintln!("standins-3: {e}");
            ExitCode::from(NOT_RUN)
        }
    }
}

/// Runs a case, or one of its workers; returns whether the rule held.
fn run(args: &[String]) -> io::Result<bool> {
    let trouble = env::var("TROUBLE").unwrap_or_default();
    let has_trouble = trouble != "0";
    let word = |word: &'static str| if has_trouble { word } else { HARMLESS };
    // With `early`, the workers crash with the first event.
    let crash_word = if trouble == "early" { worker::CRASH_WORD } else { worker::LATE_CRASH_WORD };
    match args {
        [role, rest @ ..] if role == "worker" => {
            let options = worker::Options::from_args(rest);
            worker::run(options.ok_or_else(|| io::Error::other("no options of a worker"))?)?;
            Ok(true)
        }
        [case, folder] => match case.as_str() {
            "late-crash" => deadly(folder, "note", word(crash_word)),
            "dark-crash" => deadly(folder, "draft", word(worker::DARK_WORD)),
            "outage" => outage::play(Path::new(folder), has_trouble),
            "older-version" => older_version::play(Path::new(folder), has_trouble),
            "leaving" => leaving::play(Path::new(folder), has_trouble),
            "passed-on" => {
                // With `burst`, many callers come while all hosts reach the workers.
                let has_cut = has_trouble && trouble != "burst";
                let trouble = passed_on::Trouble { has_burst: has_trouble, has_cut };
                passed_on::play(Path::new(folder), trouble)
            }
            _ => Err(io::Error::other("no such case")),
        },
        _ => Err(io::Error::other("usage: standins-3 CASE FOLDER")),
    }
}

/// Plays a case with a request that crashes workers.
fn deadly(folder: &str, route: &'static str, word: &'static str) -> io::Result<bool> {
    deadly::play(Path::new(folder), Deadly { route, word })
}
