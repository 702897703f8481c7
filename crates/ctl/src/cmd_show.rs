//! `yuccanotch-ctl show`: prints the current configuration.

use crate::command_line::parse_options;
use crate::error::CliResult;
use crate::shared_options::SharedOptions;

const USAGE: &str = "
Prints the current configuration as JSON.

Usage: yuccanotch-ctl show --store IP:PORT [--number]

Options:
    --number      Prints only the current configuration number.
    -h, --help    Prints this text.
";

#[derive(Debug)]
struct Args {
    shared: SharedOptions,
    number: bool,
}

impl Args {
    fn parse(parser: lexopt::Parser) -> CliResult<Option<Self>> {
        let mut number = false;
        let shared = parse_options(parser, |name, _| {
            number |= name == "number";
            Ok(name == "number")
        })?;
        Ok(shared.map(|shared| Self { shared, number }))
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
    let stored = args.shared.read_config()?;
    if args.number {
        outln!("{}", stored.manifest.number);
        return Ok(());
    }
    let value = stored.document()?.to_value();
    outln!("{value:#}");
    Ok(())
}
