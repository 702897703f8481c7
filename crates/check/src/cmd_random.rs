//! `yuccanotch-check random`.

use std::time::Instant;

use lexopt::Arg;
use lexopt::ValueExt;

use crate::case::Case;
use crate::case::Failure;
use crate::error::CliError;
use crate::error::CliResult;

const USAGE: &str = "
Runs the decision modules under seeded faults and checks their invariants.

Usage: yuccanotch-check random [options]

Options:
    --case NAME    Case to run, or `all` [default: all]
    --seeds N      Number of seeds per case [default: 1000]
    --first S      First seed [default: 0]
    -h, --help     Prints this text.

Prints the seeds per second of each case. At the first seed that breaks an
invariant it prints the steps and the command that replays it, and exits 1.
";

const DEFAULT_SEEDS: u64 = 1_000;

#[derive(Debug)]
struct Args {
    cases: Vec<Case>,
    seeds: u64,
    first: u64,
}

impl Args {
    fn parse(mut parser: lexopt::Parser) -> CliResult<Option<Self>> {
        let mut args = Self { cases: Case::ALL.to_vec(), seeds: DEFAULT_SEEDS, first: 0 };
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("case") => args.cases = cases_named(&parser.value()?.string()?)?,
                Arg::Long("seeds") => args.seeds = parser.value()?.parse()?,
                Arg::Long("first") => args.first = parser.value()?.parse()?,
                Arg::Long("help") | Arg::Short('h') => return Ok(None),
                _ => return Err(arg.unexpected().into()),
            }
        }
        Ok(Some(args))
    }
}

fn cases_named(name: &str) -> CliResult<Vec<Case>> {
    if name == "all" {
        return Ok(Case::ALL.to_vec());
    }
    Case::by_name(name).map(|case| vec![case]).ok_or_else(|| {
        let names: Vec<&str> = Case::ALL.iter().map(|case| case.name()).collect();
        CliError::Usage(format!("unknown case {name:?}; cases: {}", names.join(", ")))
    })
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the command line is wrong or an invariant was broken.
pub fn run(parser: lexopt::Parser) -> CliResult<()> {
    let Some(args) = Args::parse(parser)? else {
        outln!("{}", USAGE.trim());
        return Ok(());
    };
    std::panic::set_hook(Box::new(|_| ()));
    for case in &args.cases {
        run_case(*case, args.first, args.seeds)?;
    }
    Ok(())
}

fn run_case(case: Case, first: u64, seeds: u64) -> CliResult<()> {
    let start = Instant::now();
    for seed in first..first.saturating_add(seeds) {
        case.check(seed).map_err(|failure| report(case, seed, &failure))?;
    }
    let rate = seeds as f64 / start.elapsed().as_secs_f64();
    outln!("{}: {seeds} seeds from {first}, no invariant broken, {rate:.0} seeds/s", case.name());
    Ok(())
}

fn report(case: Case, seed: u64, failure: &Failure) -> CliError {
    for line in failure.trace.lines() {
        outln!("{line}");
    }
    outln!("broken: {}", failure.text);
    outln!("replay: yuccanotch-check random --case {} --first {seed} --seeds 1", case.name());
    CliError::Failed(format!("{}: seed {seed} broke an invariant", case.name()))
}
