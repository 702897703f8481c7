//! `yuccanotch-load`: command line of the load test tool.

#[macro_use]
mod output;

mod cmd_compare;
mod cmd_engines;
mod cmd_entry;
mod cmd_policies;
mod cmd_run;

use std::process::ExitCode;

use lexopt::prelude::*;
use yuccanotch_load::CliResult;
use yuccanotch_load::LoadError;

const USAGE: &str = "\
Sends load to a deployment, injects faults, and checks that the promises to callers hold.

Usage: yuccanotch-load COMMAND [ARGUMENTS]

Commands:
    run         run one scenario
    compare     print the figures of two reports side by side
    policies    run one scenario under each routing policy
    engines     measure the throughput of the stand-in engines without a router
    entry       measure processor time and memory of one entry host process

Each command takes --help.
";

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("yuccanotch-load: {e}");
            match e {
                LoadError::Usage(_) | LoadError::Findings(_) => ExitCode::from(2),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

fn run() -> CliResult<bool> {
    let mut parser = lexopt::Parser::from_env();
    match parser.next()? {
        Some(Value(command)) => match command.string()?.as_str() {
            "run" => cmd_run::run(&mut parser),
            "policies" => cmd_policies::run(&mut parser),
            "engines" => cmd_engines::run(&mut parser),
            "entry" => cmd_entry::run(&mut parser),
            "compare" => cmd_compare::run(&mut parser),
            other => {
                Err(lexopt::Error::from(format!("unknown command {other:?}\n\n{USAGE}")).into())
            }
        },
        Some(Short('h') | Long("help")) => {
            out!("{USAGE}");
            Ok(true)
        }
        Some(arg) => Err(arg.unexpected().into()),
        None => Err(lexopt::Error::from(format!("a command is required\n\n{USAGE}")).into()),
    }
}
