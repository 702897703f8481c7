//! `yuccanotch-ctl status`: prints the configuration number of each entry host.

use crate::error::CliError;
use crate::error::CliResult;
use crate::shared_options::SharedOptions;
use crate::util;

const USAGE: &str = "
Prints the configuration number of each entry host.

Usage: yuccanotch-ctl status --hosts IP:PORT,... --key FILE [--store IP:PORT]

Exits with 0 when all hosts answer and hold the same configuration (with
--store, the one in the store), otherwise with 1.

Options:
    -h, --help    Prints this text.
";

#[derive(Debug, Default)]
struct Args {
    shared: SharedOptions,
}

impl Args {
    fn parse(parser: lexopt::Parser) -> CliResult<Option<Self>> {
        let mut args = Self::default();
        let should_run = util::parse_options(parser, &mut args.shared, |_| false)?;
        Ok(should_run.then_some(args))
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
    let mut configurations = Vec::new();
    let mut unanswered = 0;
    for client in args.shared.required_hosts()? {
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
                configurations.push((status.config, status.patch));
            }
            Err(e) => {
                outln!("{e}");
                unanswered += 1;
            }
        }
    }
    if let Ok(stored) = args.shared.read_config() {
        let manifest = stored.manifest;
        outln!("store configuration {} patch {}", manifest.number, manifest.patch);
        configurations.push((manifest.number, manifest.patch.to_string()));
    }
    configurations.sort();
    configurations.dedup();
    match (unanswered, configurations.len()) {
        (0, 1) => Ok(()),
        (0, count) => Err(CliError::Failed(format!("{count} different configurations"))),
        (unanswered, _) => Err(CliError::Failed(format!("{unanswered} hosts did not answer"))),
    }
}
