//! `yuccanotch-ctl init`: writes the first configuration.

use std::path::PathBuf;

use lexopt::ValueExt;
use yuccanotch_core::config::manifest::PatchId;
use yuccanotch_core::config::parse_document;
use yuccanotch_core::config::publisher::ConfigChange;
use yuccanotch_core::ids::ConfigNumber;

use crate::command_line::parse_with_operand;
use crate::command_line::CommandLine;
use crate::error::CliError;
use crate::error::CliResult;
use crate::shared_options::SharedOptions;
use crate::util;

const USAGE: &str = "
Writes the first configuration into an empty store.

Usage: yuccanotch-ctl init --store IP:PORT [--id ID] FILE

Options:
    --id ID       Resumes an earlier run whose outcome is unknown, by its patch id.
    -h, --help    Prints this text.
";

#[derive(Debug)]
struct Args {
    shared: SharedOptions,
    id: Option<PatchId>,
    file: PathBuf,
}

impl Args {
    fn parse(parser: lexopt::Parser) -> CliResult<Option<Self>> {
        let mut id = None;
        let line = parse_with_operand(parser, USAGE, |name, parser| {
            match name {
                "id" => id = Some(parser.value()?.parse()?),
                _ => return Ok(false),
            }
            Ok(true)
        })?;
        let args = |line: CommandLine| Self { shared: line.shared, id, file: line.operand.into() };
        Ok(line.map(args))
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the declaration is invalid or the store already holds a configuration.
pub fn run(parser: lexopt::Parser) -> CliResult<()> {
    let Some(args) = Args::parse(parser)? else {
        outln!("{}", USAGE.trim());
        return Ok(());
    };
    let document = parse_document(&util::read_file(&args.file)?).map_err(CliError::Findings)?;
    let store = args.shared.store()?;
    util::publish(args.id, ConfigNumber(0), ConfigChange::First(document), &store)?;
    Ok(())
}
