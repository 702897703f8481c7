//! `yuccanotch-load run`: runs one scenario and reports on it.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;

use lexopt::prelude::*;
use yuccanotch_load::experiment;
use yuccanotch_load::html;
use yuccanotch_load::plan::deployment_plan;
use yuccanotch_load::promises;
use yuccanotch_load::report::build_report;
use yuccanotch_load::target::Target;
use yuccanotch_load::CliResult;
use yuccanotch_load::LoadError;
use yuccanotch_load::Report;
use yuccanotch_load::Scenario;
use yuccanotch_local::Deployment;

pub const USAGE: &str = "\
Runs a scenario and checks that every promise to callers was kept.

Usage: yuccanotch-load run SCENARIO.json [--seed N] [--json OUT] [--html OUT]
           [--addresses IP:PORT,... [--standin IP:PORT]]

Options:
    --seed N             seed for arrivals and fault times [default: 7]
    --json OUT           write the report as JSON
    --html OUT           write the report as a self-contained HTML page
    --addresses LIST     caller addresses of running entry hosts; without this option an
                         embedded deployment is started
    --standin IP:PORT    admin address of their stand-ins, to inject faults and read records
    -h, --help           show this text

Exit codes: 0 every promise kept, 1 a promise broken or the run failed, 2 usage or scenario.
";

#[derive(Debug, Default)]
struct Args {
    scenario: PathBuf,
    seed: u64,
    json: Option<PathBuf>,
    html: Option<PathBuf>,
    addresses: Vec<SocketAddr>,
    standin: Option<SocketAddr>,
}

pub fn run(parser: &mut lexopt::Parser) -> CliResult<bool> {
    let Some(args) = parse_args(parser)? else { return Ok(true) };
    let scenario = Scenario::read(&args.scenario)?;
    let mut policy = "given";
    let target = if args.addresses.is_empty() {
        let plan = deployment_plan(&scenario.deployment, args.seed);
        policy = plan.routing.as_str();
        Target::Embedded(Box::new(Mutex::new(Deployment::start(plan)?)))
    } else {
        Target::External { entries: args.addresses.clone(), standin: args.standin }
    };
    let report = run_scenario(target, &scenario, args.seed, policy)?;
    out!("{}", report.to_text());
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&report).unwrap_or_default();
        write_file(path, &text)?;
    }
    if let Some(path) = &args.html {
        write_file(path, &html::render_page(&report)?)?;
    }
    Ok(report.promises_held())
}

/// Runs a scenario against a target, stops the target, checks the promises and returns the report.
pub fn run_scenario(
    target: Target,
    scenario: &Scenario,
    seed: u64,
    policy: &str,
) -> CliResult<Report> {
    let observed = experiment::run(&target, scenario, seed)?;
    let record = target.record()?;
    target.stop();
    let broken = promises::check_promises(scenario, &observed, record.as_ref());
    let settings = deployment_plan(&scenario.deployment, seed).standin;
    Ok(build_report(scenario, seed, policy, &observed, record.as_ref(), broken, &settings))
}

fn write_file(path: &Path, text: &str) -> CliResult<()> {
    fs::write(path, text).map_err(|e| LoadError::File(path.to_owned(), e))
}

fn parse_args(parser: &mut lexopt::Parser) -> CliResult<Option<Args>> {
    let mut args = Args { seed: 7, ..Args::default() };
    let mut scenario = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Value(path) if scenario.is_none() => scenario = Some(path.into()),
            Long("seed") => args.seed = parser.value()?.parse()?,
            Long("json") => args.json = Some(parser.value()?.into()),
            Long("html") => args.html = Some(parser.value()?.into()),
            Long("addresses") => {
                for text in parser.value()?.string()?.split(',') {
                    let address = text.parse::<SocketAddr>();
                    let invalid = |e| lexopt::Error::from(format!("{text}: {e}"));
                    args.addresses.push(address.map_err(invalid)?);
                }
            }
            Long("standin") => args.standin = Some(parser.value()?.parse()?),
            Short('h') | Long("help") => {
                out!("{USAGE}");
                return Ok(None);
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    args.scenario = scenario.ok_or_else(|| lexopt::Error::from("a scenario file is required"))?;
    Ok(Some(args))
}
