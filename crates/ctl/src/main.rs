//! `yuccanotch-ctl`: command line with which operators manage a deployment's configuration.

use std::process::ExitCode;

use lexopt::Arg;

use crate::error::CliError;
use crate::error::CliResult;

#[macro_use]
mod output;

mod admin_client;
mod cmd_diff;
mod cmd_drain;
mod cmd_init;
mod cmd_patch;
mod cmd_recover;
mod cmd_show;
mod cmd_status;
mod cmd_validate;
mod cmd_wait;
mod command_line;
mod error;
mod shared_options;
mod util;

const USAGE: &str = "
Checks, changes and monitors the configuration of a deployment.

Usage: yuccanotch-ctl COMMAND [options]

Commands:
    validate   Checks a declaration without access to the store or the hosts.
    init       Writes the first configuration.
    show       Prints the current configuration or its number.
    diff       Compares a declaration with the current configuration.
    patch      Changes the configuration by a JSON merge patch.
    wait       Waits until all entry hosts have adopted a configuration number.
    status     Prints the configuration number of each entry host.
    drain      Drains a backend server or an entry host.
    recover    Recovers a store that was restored from an old copy, from the hosts.

Options of all commands:
    --store IP:PORT        Address of the platform's store.
    --hosts IP:PORT,...    Admin addresses of the entry hosts.
    --key FILE             File that contains the operators' key.
    -h, --help             Prints the help of a command.

Exit codes: 0 done, 1 failure, 2 findings or usage, 3 stale base, 4 outcome unknown.
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            e.exit_code()
        }
    }
}

fn run() -> CliResult<()> {
    let mut parser = lexopt::Parser::from_env();
    let command = match parser.next()? {
        Some(Arg::Value(command)) => command,
        Some(Arg::Long("help") | Arg::Short('h')) => {
            outln!("{}", USAGE.trim());
            return Ok(());
        }
        Some(Arg::Long("version") | Arg::Short('V')) => {
            outln!("yuccanotch-ctl {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        Some(arg) => return Err(arg.unexpected().into()),
        None => return Err(CliError::Usage(USAGE.trim().to_owned())),
    };
    match command.to_str() {
        Some("diff") => cmd_diff::run(parser),
        Some("drain") => cmd_drain::run(parser),
        Some("init") => cmd_init::run(parser),
        Some("patch") => cmd_patch::run(parser),
        Some("recover") => cmd_recover::run(parser),
        Some("show") => cmd_show::run(parser),
        Some("status") => cmd_status::run(parser),
        Some("validate") => cmd_validate::run(parser),
        Some("wait") => cmd_wait::run(parser),
        _ => Err(CliError::Usage(format!("unknown command {command:?}\n\n{}", USAGE.trim()))),
    }
}
