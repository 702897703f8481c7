//! `yuccanotch-ctl show`.

use crate::config::Config;
use crate::error::CliResult;
use crate::util;

const USAGE: &str = "
Prints the current configuration as JSON.

Usage: yuccanotch-ctl show --store IP:PORT [--number]

Options:
    --number      Prints only the current number.
    -h, --help    Prints this text.
";

#[derive(Debug, Default)]
struct Args {
    config: Config,
    number: bool,
}

impl Args {
    fn parse(parser: lexopt::Parser) -> CliResult<Option<Self>> {
        let mut args = Self::default();
        let Self { config, number } = &mut args;
        let own = |name: &str| {
            *number |= name == "number";
            name == "number"
        };
        let runs = util::read_options(parser, config, own)?;
        Ok(runs.then_some(args))
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the store cannot be read.
pub fn run(parser: lexopt::Parser) -> CliResult<()> {
    let Some(args) = Args::parse(parser)? else {
        outln!("{}", USAGE.trim());
        return Ok(());
    };
    let stored = args.config.read()?;
    if args.number {
        outln!("{}", stored.manifest.number);
        return Ok(());
    }
    let value = stored.document()?.to_value();
    outln!("{value:#}");
    Ok(())
}
