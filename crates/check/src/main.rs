//! Runs randomised checks, planted defects and measurements of the decision modules.

use std::process::ExitCode;

use lexopt::Arg;

use crate::error::CliError;
use crate::error::CliResult;

#[macro_use]
mod output;

mod admit_case;
mod case;
mod catch_up_case;
mod catch_up_sim;
mod claim_case;
mod cmd_claim_figures;
mod cmd_defects;
mod cmd_detection;
mod cmd_peering;
mod cmd_random;
mod cmd_route_bench;
mod cmd_route_figures;
mod cmd_slopes;
mod command_line;
mod config_case;
mod config_store;
mod crashing_request_case;
mod crashing_request_plan;
mod error;
mod fleet_case;
mod fleet_sim;
mod forward_case;
mod item_log_case;
mod orders_case;
mod peering_case;
mod prompt_part_case;
mod quarantine_case;
mod reachability_case;
mod readers_case;
mod rendezvous_case;
mod retry_case;
mod route_case;
mod server_limit_case;
mod share_case;
mod stream_case;
mod trace;

const USAGE: &str = "
Runs randomised checks, planted defects and measurements of the decision modules.

Usage: yuccanotch-check COMMAND [options]

Commands:
    claim-figures  Measures store writes, bytes and processor time per claim.
    defects    Checks that the randomised runs find every planted defect.
    detection  Measures detection times and false deaths of membership.
    peering    Measures the messages between hosts at several sizes.
    random     Runs the decision modules under seeded faults.
    route-bench    Compares throughput and latency of the routing policies.
    route-figures  Measures processor time and memory of routing and admission.
    slopes     Measures the cost of membership and load reports for each entry host.

Run `yuccanotch-check COMMAND --help` for the options of a command.
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        }
    }
}

fn run() -> CliResult<()> {
    let mut args = lexopt::Parser::from_env();
    let command = match args.next()? {
        Some(Arg::Value(command)) => command,
        Some(Arg::Long("help") | Arg::Short('h')) => {
            outln!("{}", USAGE.trim());
            return Ok(());
        }
        Some(arg) => return Err(arg.unexpected().into()),
        None => return Err(CliError::Usage(USAGE.trim().to_owned())),
    };
    match command.to_str() {
        Some("claim-figures") => cmd_claim_figures::run(args),
        Some("defects") => cmd_defects::run(args),
        Some("detection") => cmd_detection::run(args),
        Some("peering") => cmd_peering::run(args),
        Some("random") => cmd_random::run(args),
        Some("route-bench") => cmd_route_bench::run(args),
        Some("route-figures") => cmd_route_figures::run(args),
        Some("slopes") => cmd_slopes::run(args),
        _ => Err(CliError::Usage(format!("unknown command {command:?}\n\n{}", USAGE.trim()))),
    }
}
