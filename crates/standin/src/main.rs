//! `yuccanotch-standin`: runs the stand-ins of a settings file until SIGINT or SIGTERM.

use std::fs;
use std::io::Write;
use std::process::ExitCode;

use lexopt::Arg;
use lexopt::ValueExt;
use quick_error::quick_error;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use yuccanotch_standin::Standin;
use yuccanotch_standin::StandinError;
use yuccanotch_standin::StandinSettings;

const USAGE: &str = "\
Runs stand-ins for the platform and the backend servers on loopback, for tests.

Usage:
    yuccanotch-standin --settings FILE [--check]
    yuccanotch-standin --help

Options:
    --settings FILE  Read JSON settings from FILE; see docs/operate/standin.md.
    --check          Check the settings and exit.
    -h, --help       Show this help.
";

quick_error! {
    #[derive(Debug)]
    enum CliError {
        Usage(e: lexopt::Error) {
            from()
            display("{}\n\n{}", e, USAGE)
        }
        Settings(text: String) {
            display("{}", text)
        }
        Io(e: std::io::Error) {
            from()
            display("{}", e)
        }
        Standin(e: StandinError) {
            from()
            display("{}", e)
        }
    }
}

struct Args {
    settings: String,
    check: bool,
}

fn main() -> ExitCode {
    let result = parse_args().and_then(|args| args.map_or(Ok(()), run));
    let Err(e) = result else { return ExitCode::SUCCESS };
    eprintln!("{e}");
    match e {
        CliError::Usage(_) | CliError::Settings(_) => ExitCode::from(2),
        CliError::Io(_) | CliError::Standin(_) => ExitCode::FAILURE,
    }
}

fn parse_args() -> Result<Option<Args>, CliError> {
    let mut settings = None;
    let mut check = false;
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("settings") => settings = Some(parser.value()?.string()?),
            Arg::Long("check") => check = true,
            Arg::Short('h') | Arg::Long("help") => {
                print!("{USAGE}");
                return Ok(None);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let settings = settings.ok_or_else(|| lexopt::Error::from("--settings is missing"))?;
    Ok(Some(Args { settings, check }))
}

fn run(args: Args) -> Result<(), CliError> {
    let text = fs::read(&args.settings)?;
    let settings = StandinSettings::parse(&text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        CliError::Settings(lines.join("\n"))
    })?;
    if args.check {
        return Ok(());
    }
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let standin = Standin::start(settings)?;
    let mut out = std::io::stdout().lock();
    writeln!(out, "admin {}", standin.admin_address())?;
    writeln!(out, "store {}", standin.store_address())?;
    out.flush()?;
    signals.forever().next();
    let record = standin.stop();
    writeln!(
        out,
        "{} runs, {} calls, {} tokens",
        record.runs.len(),
        record.calls.len(),
        record.tokens
    )?;
    Ok(())
}
