//! The program `yuccanotch-entry`, which runs one entry host.

use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use lexopt::prelude::*;
use log::LevelFilter;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use yuccanotch_entry::host::RunningHost;
use yuccanotch_entry::logging;
use yuccanotch_entry::EntryError;
use yuccanotch_entry::Settings;

const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

const USAGE: &str = "\
Runs an entry host until SIGTERM or SIGINT, which start a drain.

Usage: yuccanotch-entry --settings FILE [--check] [--log LEVEL]

Options:
    --settings FILE   read the settings of the host from a JSON file
    --check           check the settings and exit
    --log LEVEL       log level: error, warn, info or debug [default: info]
    -h, --help        show this text
    -V, --version     show the version

Exit codes: 0 success, 1 failure or requests cut at the drain timeout, 2 usage or settings.
";

#[derive(Debug)]
struct Args {
    settings: PathBuf,
    check: bool,
    log: LevelFilter,
}

fn main() -> ExitCode {
    let args = match parse_args() {
        Ok(Some(args)) => args,
        Ok(None) => return ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("yuccanotch-entry: {e}\n\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    match run(&args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e @ EntryError::Settings(_)) => {
            eprintln!("{}: settings are not valid:\n{e}", args.settings.display());
            ExitCode::from(2)
        }
        Err(e) => {
            eprintln!("yuccanotch-entry: {e}");
            ExitCode::FAILURE
        }
    }
}

fn parse_args() -> Result<Option<Args>, lexopt::Error> {
    let mut settings = None;
    let mut check = false;
    let mut log = LevelFilter::Info;
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => settings = Some(parser.value()?.into()),
            Long("check") => check = true,
            Long("log") => log = parser.value()?.parse()?,
            Short('h') | Long("help") => {
                print!("{USAGE}");
                return Ok(None);
            }
            Short('V') | Long("version") => {
                println!("yuccanotch-entry {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            _ => return Err(arg.unexpected()),
        }
    }
    let settings = settings.ok_or("--settings is required")?;
    Ok(Some(Args { settings, check, log }))
}

fn run(args: &Args) -> Result<bool, EntryError> {
    let settings = Settings::read(&args.settings)?;
    if args.check {
        println!("{}: settings are valid", args.settings.display());
        return Ok(true);
    }
    logging::init(args.log)?;
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let running = RunningHost::start(settings)?;
    // A request on the admin port starts a drain as well.
    while signals.pending().next().is_none() && !running.host.is_draining() {
        thread::sleep(SIGNAL_POLL_INTERVAL);
    }
    Ok(running.drain())
}
