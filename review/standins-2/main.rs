//! Runs the cases of the second review that are scripts. See `REPORT-2.md`.

mod base64;
mod client;
mod deployment;
mod fleet;
mod hosts;
mod http;
mod json;
mod older_routes;
mod order_answers;
mod owner;
mod proxy;
mod record;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use crate::record::Record;

/// How a case ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = args.as_slice() else {
        eprintln!("usage: standins-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Arc::new(Record::create(Path::new(record)));
    record.line(&format!("case {case}, with the disruption: {has_trouble}"));
    let verdict = match case.as_str() {
        "order-answers" => order_answers::run(&record, has_trouble),
        "older-routes" => older_routes::run(&record, has_trouble),
        _ => Verdict::CouldNotRun,
    };
    record.line(&format!("{verdict:?}"));
    println!("{case}: {verdict:?}");
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun => 2,
    })
}
