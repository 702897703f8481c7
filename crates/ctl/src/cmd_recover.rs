//! `yuccanotch-ctl recover`: restores the newest configuration that the entry hosts hold.

use yuccanotch_core::config::document::Document;
use yuccanotch_core::config::publisher::ConfigChange;

use crate::command_line::parse_options;
use crate::error::CliError;
use crate::error::CliResult;
use crate::util;

const USAGE: &str = "
Recovers a store that was restored from an old copy, from the entry hosts.

Usage: yuccanotch-ctl recover --store IP:PORT --hosts IP:PORT,... --key FILE

Reads the configuration with the highest number that any of the hosts holds
and publishes it with the first number of the next million, which is above
every number that an unreachable host may hold.

Options:
    -h, --help    Prints this text.
";

/// Runs the command.
///
/// # Errors
///
/// Returns an error when no host answers or the store is not behind the hosts.
pub fn run(parser: lexopt::Parser) -> CliResult<()> {
    let Some(shared) = parse_options(parser, |_, _| Ok(false))? else {
        outln!("{}", USAGE.trim());
        return Ok(());
    };
    let mut highest = None;
    for client in shared.required_hosts()? {
        match client.status() {
            Ok(status) => highest = highest.max(Some((status.config, client.address))),
            Err(e) => eprintln!("not asked: {e}"),
        }
    }
    let (_, address) = highest.ok_or_else(|| CliError::Failed("no host answered".to_owned()))?;
    let hosts = shared.required_hosts()?;
    let client = hosts.iter().find(|client| client.address == address);
    let held = client.ok_or_else(|| CliError::Failed("no host answered".to_owned()))?.config()?;
    let document = Document::try_from(held.declaration).map_err(CliError::Findings)?;
    outln!("highest: configuration {} on {address}", held.number);
    let change = ConfigChange::Recovery { highest: held.number, document };
    util::publish(None, held.number, change, &shared.store()?)?;
    Ok(())
}
