//! `yuccanotch-ctl status`.

use crate::config::Config;
use crate::error::CliError;
use crate::error::CliResult;
use crate::util;

const USAGE: &str = "
Prints which entry host is at which number.

Usage: yuccanotch-ctl status --hosts IP:PORT,... --key FILE [--store IP:PORT]

Exits 0 when all hosts answer and hold the same configuration, with --store
that of the store; else 1.

Options:
    -h, --help    Prints this text.
";

#[derive(Debug, Default)]
struct Args {
    config: Config,
}

impl Args {
    fn parse(parser: lexopt::Parser) -> CliResult<Option<Self>> {
        let mut args = Self::default();
        let runs = util::read_options(parser, &mut args.config, |_| false)?;
        Ok(runs.then_some(args))
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when hosts do not answer or hold different configurations.
pub fn run(parser: lexopt::Parser) -> CliResult<()> {
    let Some(args) = Args::parse(parser)? else {
        outln!("{}", USAGE.trim());
        return Ok(());
    };
    let mut held = Vec::new();
    let mut silent = 0;
    for client in args.config.some_hosts()? {
        match client.status() {
            Ok(status) => {
                outln!(
                    "{} {} configuration {} patch {} in flight {}{}",
                    status.host,
                    status.domain,
                    status.config,
                    status.patch,
                    status.in_flight,
                    if status.draining { " draining" } else { "" },
                );
                held.push((status.config, status.patch));
            }
            Err(e) => {
                outln!("{e}");
                silent += 1;
            }
        }
    }
    if let Ok(stored) = args.config.read() {
        let manifest = stored.manifest;
        outln!("store configuration {} patch {}", manifest.number, manifest.patch);
        held.push((manifest.number, manifest.patch.to_string()));
    }
    held.sort();
    held.dedup();
    match (silent, held.len()) {
        (0, 1) => Ok(()),
        (0, count) => Err(CliError::Failed(format!("{count} different configurations"))),
        (silent, _) => Err(CliError::Failed(format!("{silent} hosts did not answer"))),
    }
}
