//! `yuccanotch-ctl patch`: changes the configuration by a JSON merge patch.

use std::path::PathBuf;

use lexopt::ValueExt;
use yuccanotch_core::config::manifest::PatchId;
use yuccanotch_core::config::publisher::ConfigChange;
use yuccanotch_core::ids::ConfigNumber;

use crate::command_line::parse_with_operand;
use crate::command_line::CommandLine;
use crate::error::CliError;
use crate::error::CliResult;
use crate::shared_options::SharedOptions;
use crate::util;

const USAGE: &str = "
Changes the configuration by a JSON merge patch (RFC 7396).

Usage: yuccanotch-ctl patch --store IP:PORT --base N [--hosts ... --key FILE] FILE

The patch is accepted only while N is the current configuration number;
otherwise the current number is printed and the exit code is 3. With --hosts,
the patch is rejected when an entry host holds a higher number than the store.

Options:
    --base N      Configuration number that the patch was made against.
    --id ID       Resumes an earlier run whose outcome is unknown, by its patch id.
    -h, --help    Prints this text.
";

#[derive(Debug)]
struct Args {
    shared: SharedOptions,
    base: ConfigNumber,
    id: Option<PatchId>,
    file: PathBuf,
}

impl Args {
    fn parse(parser: lexopt::Parser) -> CliResult<Option<Self>> {
        let mut base = None;
        let mut id = None;
        let line = parse_with_operand(parser, USAGE, |name, parser| {
            match name {
                "base" => base = Some(ConfigNumber(parser.value()?.parse()?)),
                "id" => id = Some(parser.value()?.parse()?),
                _ => return Ok(false),
            }
            Ok(true)
        })?;
        let Some(CommandLine { shared, operand }) = line else {
            return Ok(None);
        };
        let base = base.ok_or_else(|| CliError::Usage("--base N is required".to_owned()))?;
        Ok(Some(Self { shared, base, id, file: operand.into() }))
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error unless the patch is accepted or changes nothing.
pub fn run(parser: lexopt::Parser) -> CliResult<()> {
    let Some(args) = Args::parse(parser)? else {
        outln!("{}", USAGE.trim());
        return Ok(());
    };
    let patch = util::read_json(&args.file)?;
    let store = args.shared.store()?;
    check_store_is_current(&args.shared)?;
    util::publish(args.id, args.base, ConfigChange::Patch { base: args.base, patch }, &store)?;
    Ok(())
}

/// Checks that the store is not behind the entry hosts of `--hosts`; without hosts, checks nothing.
///
/// # Errors
///
/// Returns an error when a host holds a higher configuration number than the store, or the store
/// cannot be read.
pub fn check_store_is_current(shared: &SharedOptions) -> CliResult<()> {
    let hosts = shared.hosts()?;
    if hosts.is_empty() {
        return Ok(());
    }
    let mut highest_held = ConfigNumber(0);
    for host in &hosts {
        match host.status() {
            Ok(status) => highest_held = highest_held.max(status.config),
            Err(e) => eprintln!("not asked: {e}"),
        }
    }
    // The store is read after the hosts: a configuration that is published in between cannot make
    // a host appear to be ahead of the store.
    let number = shared.read_config()?.manifest.number;
    if highest_held > number {
        return Err(util::store_behind_error(number, highest_held));
    }
    Ok(())
}
