//! `yuccanotch-ctl init`: writes the first configuration.

use std::path::PathBuf;

use lexopt::Arg;
use lexopt::ValueExt;
use yuccanotch_core::config::manifest::PatchId;
use yuccanotch_core::config::parse_document;
use yuccanotch_core::config::publisher::ConfigChange;
use yuccanotch_core::ids::ConfigNumber;

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
    fn parse(mut parser: lexopt::Parser) -> CliResult<Option<Self>> {
        let mut shared = SharedOptions::default();
        let mut id = None;
        let mut file = None;
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Value(path) if file.is_none() => file = Some(path.into()),
                Arg::Long("id") => id = Some(parser.value()?.parse()?),
                Arg::Long("help") | Arg::Short('h') => return Ok(None),
                Arg::Long(name) => {
                    let name = name.to_owned();
                    shared.parse_option(&name, &mut parser)?;
                }
                _ => return Err(arg.unexpected().into()),
            }
        }
        let file = file.ok_or_else(|| CliError::Usage(USAGE.trim().to_owned()))?;
        Ok(Some(Self { shared, id, file }))
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
