//! `yuccanotch-ctl validate`: checks a declaration file.

use std::path::PathBuf;

use lexopt::Arg;
use yuccanotch_core::config::parse;

use crate::error::CliError;
use crate::error::CliResult;
use crate::util;

const USAGE: &str = "
Checks a declaration without access to the store or the hosts.

Usage: yuccanotch-ctl validate FILE

Prints every finding with its JSON pointer. With `-` as FILE, reads
standard input.

Options:
    -h, --help    Prints this text.
";

#[derive(Debug)]
struct Args {
    file: PathBuf,
}

impl Args {
    fn parse(mut parser: lexopt::Parser) -> CliResult<Option<Self>> {
        let mut file = None;
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Value(path) if file.is_none() => file = Some(path.into()),
                Arg::Long("help") | Arg::Short('h') => return Ok(None),
                _ => return Err(arg.unexpected().into()),
            }
        }
        let file = file.ok_or_else(|| CliError::Usage(USAGE.trim().to_owned()))?;
        Ok(Some(Self { file }))
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the command line is invalid or the declaration has findings.
pub fn run(parser: lexopt::Parser) -> CliResult<()> {
    let Some(args) = Args::parse(parser)? else {
        outln!("{}", USAGE.trim());
        return Ok(());
    };
    let declaration = parse(&util::read_file(&args.file)?).map_err(CliError::Findings)?;
    outln!(
        "valid: {} domains, {} teams, {} models, {} services, {} servers",
        declaration.domains.len(),
        declaration.teams.len(),
        declaration.models.len(),
        declaration.services.len(),
        declaration.servers.len(),
    );
    Ok(())
}
