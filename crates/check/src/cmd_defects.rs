//! `yuccanotch-check defects`: checks that the randomised cases find the planted defects.

use lexopt::Arg;
use lexopt::ValueExt;

use crate::error::CliResult;

const USAGE: &str = "
Enables one planted defect after the other and runs seeds until an invariant
is violated. Needs a build with `--features planted-defects`.

Usage: yuccanotch-check defects [options]

Options:
    --seeds N      Maximum number of seeds per defect [default: 5000]
    -h, --help     Prints this text.

Prints the first seed that found each defect, and exits 0 only if all were found.
";

const DEFAULT_SEEDS: u64 = 5_000;

#[derive(Debug)]
struct Args {
    seeds: u64,
}

impl Args {
    fn parse(mut parser: lexopt::Parser) -> CliResult<Option<Self>> {
        let mut args = Self { seeds: DEFAULT_SEEDS };
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("seeds") => args.seeds = parser.value()?.parse()?,
                Arg::Long("help") | Arg::Short('h') => return Ok(None),
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
/// Returns an error when the command line is invalid, a defect was not found or the build has no
/// planted defects.
pub fn run(parser: lexopt::Parser) -> CliResult<()> {
    let Some(args) = Args::parse(parser)? else {
        outln!("{}", USAGE.trim());
        return Ok(());
    };
    std::panic::set_hook(Box::new(|_| ()));
    find_all_defects(args.seeds)
}

#[cfg(feature = "planted-defects")]
fn find_all_defects(seeds: u64) -> CliResult<()> {
    use yuccanotch_core::defect::Defect;

    let missed = Defect::ALL.iter().filter(|defect| !is_found(**defect, seeds)).count();
    if missed == 0 {
        outln!("all {} planted defects were found", Defect::ALL.len());
        return Ok(());
    }
    let text = format!("{missed} of {} planted defects were not found", Defect::ALL.len());
    Err(crate::error::CliError::Failed(text))
}

#[cfg(feature = "planted-defects")]
fn is_found(defect: yuccanotch_core::defect::Defect, seeds: u64) -> bool {
    use crate::case::Case;
    use yuccanotch_core::defect::plant;

    plant(Some(defect));
    let found = (0..seeds).find_map(|seed| {
        let failed = |case: &&Case| {
            let failure = case.check(seed).err()?;
            // A seed that fails without the defect too does not show that the defect is found.
            plant(None);
            let holds = case.check(seed).is_ok();
            plant(Some(defect));
            holds.then_some(failure)
        };
        Case::ALL.iter().find_map(|case| failed(&case).map(|failure| (seed, *case, failure)))
    });
    plant(None);
    match &found {
        Some((seed, case, failure)) => {
            outln!("{}: found by {} seed {seed}: {}", defect.as_str(), case.name(), failure.text);
        }
        None => outln!("{}: NOT found in {seeds} seeds", defect.as_str()),
    }
    found.is_some()
}

#[cfg(not(feature = "planted-defects"))]
fn find_all_defects(_seeds: u64) -> CliResult<()> {
    let text = "this build has no planted defects; build with `--features planted-defects`";
    Err(crate::error::CliError::Usage(text.to_owned()))
}
