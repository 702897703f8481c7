//! `yuccanotch-ctl drain`: drains a backend server or an entry host.

use lexopt::ValueExt;
use serde_json::json;
use serde_json::Value;
use yuccanotch_core::config::publisher::ConfigChange;

use crate::cmd_patch::check_store_is_current;
use crate::command_line::parse_with_operand;
use crate::command_line::CommandLine;
use crate::error::CliError;
use crate::error::CliResult;
use crate::shared_options::SharedOptions;
use crate::util;

const USAGE: &str = "
Drains a backend server or an entry host, which then accepts no new requests.

Usage: yuccanotch-ctl drain --store IP:PORT [--hosts ... --key FILE] [--undo] NAME

A backend server is drained by a patch of the configuration, which is retried
when another change is accepted first. An entry host finishes its requests in
flight and exits; it must be one of --hosts.

Options:
    --undo        Lets a backend server accept requests again.
    -h, --help    Prints this text.
";

/// Highest number of retries after another change was accepted between read and patch.
const MAX_CONFLICT_RETRIES: usize = 10;

#[derive(Debug)]
struct Args {
    shared: SharedOptions,
    undo: bool,
    name: String,
}

impl Args {
    fn parse(parser: lexopt::Parser) -> CliResult<Option<Self>> {
        let mut undo = false;
        let line = parse_with_operand(parser, USAGE, |name, _| {
            undo |= name == "undo";
            Ok(name == "undo")
        })?;
        let Some(CommandLine { shared, operand }) = line else {
            return Ok(None);
        };
        Ok(Some(Self { shared, undo, name: operand.string()? }))
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when no backend server or entry host has the name, or the patch is not
/// accepted.
pub fn run(parser: lexopt::Parser) -> CliResult<()> {
    let Some(args) = Args::parse(parser)? else {
        outln!("{}", USAGE.trim());
        return Ok(());
    };
    check_store_is_current(&args.shared)?;
    let mut conflicts = 0;
    loop {
        match drain_backend_server(&args) {
            Err(CliError::StaleBase(..)) if conflicts < MAX_CONFLICT_RETRIES => conflicts += 1,
            Ok(false) => return drain_entry_host(&args),
            Ok(true) => return Ok(()),
            Err(e) => return Err(e),
        }
    }
}

/// Publishes a patch that drains the named backend server, or undoes that. Returns `false` when no
/// backend server has the name.
fn drain_backend_server(args: &Args) -> CliResult<bool> {
    let stored = args.shared.read_config()?;
    let document = stored.document()?;
    let servers = document.sections().get("servers");
    if !servers.is_some_and(|servers| servers.contains_key(&args.name)) {
        return Ok(false);
    }
    let drain = if args.undo { Value::Null } else { Value::Bool(true) };
    let base = stored.manifest.number;
    let patch = json!({"servers": {&args.name: {"drain": drain}}});
    util::publish(None, base, ConfigChange::Patch { base, patch }, &args.shared.store()?)?;
    Ok(true)
}

fn drain_entry_host(args: &Args) -> CliResult<()> {
    for client in args.shared.hosts()? {
        if client.status().is_ok_and(|status| status.host.as_str() == args.name) {
            if args.undo {
                return Err(CliError::Usage("an entry host that drains exits".to_owned()));
            }
            client.drain()?;
            outln!("draining: entry host {}", args.name);
            return Ok(());
        }
    }
    Err(CliError::Failed(format!("no backend server and no entry host is named {:?}", args.name)))
}
