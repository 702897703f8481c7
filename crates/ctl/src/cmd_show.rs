//! `yuccanotch-ctl show`.

use lexopt::Arg;

use crate::config::Config;
use crate::error::CliResult;

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
    fn parse(mut parser: lexopt::Parser) -> CliResult<Option<Self>> {
        let mut args = Self::default();
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("number") => args.number = true,
                Arg::Long("help") | Arg::Short('h') => return Ok(None),
                Arg::Long(name) => {
                    let name = name.to_owned();
                    args.config.take(&name, &mut parser)?;
                }
                _ => return Err(arg.unexpected().into()),
            }
        }
        Ok(Some(args))
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
