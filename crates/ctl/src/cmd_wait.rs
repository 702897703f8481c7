//! `yuccanotch-ctl wait`: waits until all entry hosts have adopted a configuration.

use std::thread;
use std::time::Duration;

use lexopt::ValueExt;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::ids::ConfigNumber;

use crate::admin_client::AdminClient;
use crate::command_line::parse_options;
use crate::error::CliError;
use crate::error::CliResult;
use crate::shared_options::SharedOptions;

const USAGE: &str = "
Waits until all entry hosts have adopted a configuration number or a later one.

Usage: yuccanotch-ctl wait --hosts IP:PORT,... --key FILE --number N [--timeout MS]

Options:
    --number N      Configuration number to wait for.
    --timeout MS    Longest time to wait, in milliseconds [default: 9000]
    -h, --help      Prints this text.
";

const DEFAULT_TIMEOUT: Millis = Millis(9_000);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct Args {
    shared: SharedOptions,
    number: ConfigNumber,
    timeout: Millis,
}

impl Args {
    fn parse(parser: lexopt::Parser) -> CliResult<Option<Self>> {
        let mut number = None;
        let mut timeout = DEFAULT_TIMEOUT;
        let shared = parse_options(parser, |name, parser| {
            match name {
                "number" => number = Some(ConfigNumber(parser.value()?.parse()?)),
                "timeout" => timeout = Millis(parser.value()?.parse()?),
                _ => return Ok(false),
            }
            Ok(true)
        })?;
        let Some(shared) = shared else {
            return Ok(None);
        };
        let number = number.ok_or_else(|| CliError::Usage("--number N is required".to_owned()))?;
        Ok(Some(Self { shared, number, timeout }))
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when a host has not adopted the number before the timeout.
pub fn run(parser: lexopt::Parser) -> CliResult<()> {
    let Some(args) = Args::parse(parser)? else {
        outln!("{}", USAGE.trim());
        return Ok(());
    };
    let hosts = args.shared.required_hosts()?;
    let clock = Clock::monotonic();
    let mut waiting: Vec<&AdminClient> = hosts.iter().collect();
    loop {
        waiting.retain(|host| !has_reached(host, args.number));
        if waiting.is_empty() {
            outln!("configuration {} is in force on {} hosts", args.number, hosts.len());
            return Ok(());
        }
        if clock.now() >= args.timeout {
            let addresses: Vec<String> =
                waiting.iter().map(|host| host.address.to_string()).collect();
            return Err(CliError::Failed(format!(
                "after {} not in force on {}",
                args.timeout,
                addresses.join(", ")
            )));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn has_reached(host: &AdminClient, number: ConfigNumber) -> bool {
    host.status().is_ok_and(|status| status.config >= number)
}
