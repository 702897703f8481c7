//! `yuccanotch-load policies`: runs one scenario under each routing policy.

use std::path::PathBuf;
use std::sync::Mutex;

use lexopt::prelude::*;
use yuccanotch_core::route::Policy;
use yuccanotch_load::plan::deployment_plan;
use yuccanotch_load::target::Target;
use yuccanotch_load::CliResult;
use yuccanotch_load::Report;
use yuccanotch_load::Scenario;
use yuccanotch_local::Deployment;

use crate::cmd_run::run_scenario;

pub const USAGE: &str = "\
Runs a scenario once under each routing policy, one after another with the same arrivals and
faults, and prints the figures side by side.

Usage: yuccanotch-load policies SCENARIO.json [--seed N]

Exit codes: 0 every promise kept, 1 a promise broken or a run failed, 2 usage or scenario.
";

pub fn run(parser: &mut lexopt::Parser) -> CliResult<bool> {
    let mut seed = 7;
    let mut path: Option<PathBuf> = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Value(value) if path.is_none() => path = Some(value.into()),
            Long("seed") => seed = parser.value()?.parse()?,
            Short('h') | Long("help") => {
                out!("{USAGE}");
                return Ok(true);
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    let path = path.ok_or_else(|| lexopt::Error::from("a scenario file is required"))?;
    let scenario = Scenario::read(&path)?;
    let mut reports = Vec::new();
    for policy in Policy::ALL {
        let mut plan = deployment_plan(&scenario.deployment, seed);
        plan.routing = policy;
        let target = Target::Embedded(Box::new(Mutex::new(Deployment::start(plan)?)));
        reports.push(run_scenario(target, &scenario, seed, policy.as_str())?);
    }
    print_table(&reports);
    Ok(reports.iter().all(Report::promises_held))
}

fn print_table(reports: &[Report]) {
    let row = |name: &str, figure: &dyn Fn(&Report) -> String| {
        out!("{name:<28}");
        reports.iter().for_each(|report| out!("{:>18}", figure(report)));
        outln!();
    };
    row("", &|report| report.policy.clone());
    row("whole answers", &|report| report.chat.whole.to_string());
    row("refused", &|report| report.chat.refused.to_string());
    row("late", &|report| report.chat.late.to_string());
    row("tokens/s offered", &|report| format!("{:.0}", report.chat.offered_tokens_per_s));
    row("tokens/s received", &|report| format!("{:.0}", report.chat.tokens_per_s));
    row("bound tokens/s", &|report| format!("{:.0}", report.chat.bound_tokens_per_s));
    row("bound with chain slots", &|report| format!("{:.0}", report.chat.slot_bound_tokens_per_s));
    row("received of bound", &|report| format!("{:.3}", report.chat.share_of_bound));
    row("first token p50 ms", &|report| format!("{:.0}", report.chat.first_token_ms.p50));
    row("first token p95 ms", &|report| format!("{:.0}", report.chat.first_token_ms.p95));
    row("inter-token p95 ms", &|report| format!("{:.0}", report.chat.inter_token_ms.p95));
    row("resumed", &|report| report.chat.resumed.to_string());
    row("broken promises", &|report| report.broken.values().sum::<u64>().to_string());
}
