//! `yuccanotch-check slopes`: measures how the cost of membership grows with hosts and servers.

mod cost;
mod extrapolation;
mod node;
mod synthetic;
mod usage;

use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use lexopt::Arg;
use lexopt::ValueExt;

use self::cost::measure;
use self::cost::HostCost;
use self::extrapolation::print_at_target;
use crate::error::CliError;
use crate::error::CliResult;

const USAGE: &str = "
Measures what membership and the exchange of load reports cost each entry host,
over TCP links on loopback, and extrapolates the cost to the target size.

Usage: yuccanotch-check slopes [options]

Options:
    --seconds N    Seconds of the measurement of each size [default: 8]
    --warm-up N    Seconds before it, for the first spread of reports [default: 80]
    -h, --help     Prints this text.

All sizes are measured at once, each in a process of its own. The first spread
is complete when every host holds a load report with the holdings of every server.

Backend servers are synthetic: each observation returns a changed load. The
bytes of observations and of the host list are computed from the size of one
report and one entry.
";

const DEFAULT_SECONDS: u64 = 8;
const DEFAULT_WARM_UP: u64 = 80;
/// Measured numbers of hosts and backend servers.
const FLEET_SIZES: [(usize, usize); 7] =
    [(8, 100), (16, 100), (32, 100), (64, 100), (32, 40), (32, 200), (32, 400)];

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the command line is invalid or a host does not start.
pub fn run(mut parser: lexopt::Parser) -> CliResult<()> {
    let mut seconds = DEFAULT_SECONDS;
    let mut warm_up = DEFAULT_WARM_UP;
    let mut size = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("seconds") => seconds = parser.value()?.parse()?,
            Arg::Long("warm-up") => warm_up = parser.value()?.parse()?,
            // Passed only to the processes that this command starts.
            Arg::Long("size") => {
                size = Some((parser.value()?.parse()?, parser.value()?.parse()?));
            }
            Arg::Long("help") | Arg::Short('h') => {
                println!("{}", USAGE.trim());
                return Ok(());
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    if let Some((hosts, servers)) = size {
        let (warm_up, span) = (Duration::from_secs(warm_up), Duration::from_secs(seconds));
        let cost = measure(hosts, servers, warm_up, span)?;
        println!("{}", serde_json::to_string(&cost).map_err(failed)?);
        return Ok(());
    }
    let costs = measure_all(warm_up, seconds)?;
    println!("hosts servers  cpu%/host  rss MB/host  bytes/s/host  calls/s/host  mean age ms  first spread s  bytes/s/host  peak");
    for cost in &costs {
        print_row(cost);
    }
    print_at_target(&costs);
    Ok(())
}

fn failed(e: impl std::fmt::Display) -> CliError {
    CliError::Failed(e.to_string())
}

/// Measures all sizes at the same time, each in a process of its own.
fn measure_all(warm_up: u64, seconds: u64) -> CliResult<Vec<HostCost>> {
    let program = std::env::current_exe().map_err(failed)?;
    let mut running = Vec::new();
    for (hosts, servers) in FLEET_SIZES {
        let mut command = Command::new(&program);
        command.arg("slopes").arg("--size").arg(hosts.to_string()).arg(servers.to_string());
        command.arg("--warm-up").arg(warm_up.to_string());
        command.arg("--seconds").arg(seconds.to_string());
        running.push(command.stdout(Stdio::piped()).spawn().map_err(failed)?);
    }
    let mut costs = Vec::new();
    for process in running {
        let output = process.wait_with_output().map_err(failed)?;
        costs.push(serde_json::from_slice(&output.stdout).map_err(failed)?);
    }
    Ok(costs)
}

fn print_row(cost: &HostCost) {
    let complete = cost.first.complete_s.map_or("open".to_owned(), |s| format!("{s:.1}"));
    println!(
        "{:5} {:7}  {:9.3}  {:11.2}  {:12.0}  {:12.1}  {:11.0}  {complete:>14}  {:12.0}  {:.0}",
        cost.hosts,
        cost.servers,
        cost.cpu_percent,
        cost.rss_mb,
        cost.bytes_per_s,
        cost.calls_per_s,
        cost.stale_ms,
        cost.first.bytes_per_s,
        cost.first.peak_bytes_per_s
    );
}
