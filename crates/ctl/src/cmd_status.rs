//! `yuccanotch-ctl status`: prints the configuration number of each entry host.

use crate::command_line::parse_options;
use crate::error::CliError;
use crate::error::CliResult;

const USAGE: &str = "
Prints the configuration number of each entry host.

Usage: yuccanotch-ctl status --hosts IP:PORT,... --key FILE [--store IP:PORT]

Exits with 0 when all hosts answer and hold the same configuration (with
--store, the one in the store), otherwise with 1.

Options:
    -h, --help    Prints this text.
";

/// Runs the command.
///
/// # Errors
///
/// Returns an error when hosts do not answer or hold different configurations.
pub fn run(parser: lexopt::Parser) -> CliResult<()> {
    let Some(shared) = parse_options(parser, |_, _| Ok(false))? else {
        outln!("{}", USAGE.trim());
        return Ok(());
    };
    let mut configurations = Vec::new();
    let mut unanswered = 0;
    for client in shared.required_hosts()? {
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
    if let Ok(stored) = shared.read_config() {
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
