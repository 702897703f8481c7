//! Runs the cases of the review: hosts in processes of their own, with stand-ins of the platform's
//! store, of workers and of clients in this process.

mod base64;
mod client;
mod deadly;
mod hosts;
mod http;
mod json;
mod memory;
mod readers;
mod record;
mod server;
mod stop;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// How a case ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

/// What a case gets.
pub struct Setting {
    /// The folder for the settings and logs of the hosts.
    pub folder: PathBuf,
    /// The file for the record.
    pub record: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = args.as_slice() else {
        eprintln!("usage: standin CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let setting = Setting {
        folder: folder.into(),
        record: record.into(),
        has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let verdict = match case.as_str() {
        "deadly" => deadly::run(&setting),
        "memory" => memory::run(&setting),
        "readers" => readers::run(&setting),
        "stop" => stop::run(&setting),
        _ => Verdict::NotRun,
    };
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}
