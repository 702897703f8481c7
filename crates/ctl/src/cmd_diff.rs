//! `yuccanotch-ctl diff`: compares a declaration with the current configuration.

use std::path::PathBuf;

use serde_json::Map;
use serde_json::Value;
use yuccanotch_core::config::check_document;
use yuccanotch_core::config::parse_document;
use yuccanotch_core::finding::pointer_token;

use crate::command_line::parse_with_operand;
use crate::command_line::CommandLine;
use crate::error::CliError;
use crate::error::CliResult;
use crate::shared_options::SharedOptions;
use crate::util;

const USAGE: &str = "
Compares a declaration with the current configuration.

Usage: yuccanotch-ctl diff --store IP:PORT [--patch] FILE

Prints a line for each added (+), removed (-) and changed (~) value, and the
current number, which a patch must name as its base.

Options:
    --patch       Prints a JSON merge patch that turns the current configuration into FILE.
    -h, --help    Prints this text.
";

#[derive(Debug)]
struct Args {
    shared: SharedOptions,
    patch: bool,
    file: PathBuf,
}

impl Args {
    fn parse(parser: lexopt::Parser) -> CliResult<Option<Self>> {
        let mut patch = false;
        let line = parse_with_operand(parser, USAGE, |name, _| {
            patch |= name == "patch";
            Ok(name == "patch")
        })?;
        let args = |line: CommandLine| {
            let file = line.operand.into();
            Self { shared: line.shared, patch, file }
        };
        Ok(line.map(args))
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the declaration is invalid or the store cannot be read.
pub fn run(parser: lexopt::Parser) -> CliResult<()> {
    let Some(args) = Args::parse(parser)? else {
        outln!("{}", USAGE.trim());
        return Ok(());
    };
    let wanted = parse_document(&util::read_file(&args.file)?).map_err(CliError::Findings)?;
    check_document(&wanted).map_err(CliError::Findings)?;
    let stored = args.shared.read_config()?;
    let old = stored.document()?.to_value();
    let new = wanted.to_value();
    if args.patch {
        outln!("{:#}", merge_patch(&old, &new));
        return Ok(());
    }
    let mut lines = Vec::new();
    collect_differences("", &old, &new, &mut lines);
    lines.iter().for_each(|line| outln!("{line}"));
    outln!("{} differences from configuration {}", lines.len(), stored.manifest.number);
    Ok(())
}

fn collect_differences(pointer: &str, old: &Value, new: &Value, lines: &mut Vec<String>) {
    let (Value::Object(old_members), Value::Object(new_members)) = (old, new) else {
        if old != new {
            lines.push(format!("~ {pointer}: {old} -> {new}"));
        }
        return;
    };
    for (name, old) in old_members {
        let pointer = format!("{pointer}/{}", pointer_token(name));
        match new_members.get(name) {
            Some(new) => collect_differences(&pointer, old, new, lines),
            None => lines.push(format!("- {pointer}: {old}")),
        }
    }
    for (name, new) in new_members {
        if !old_members.contains_key(name) {
            lines.push(format!("+ {pointer}/{}: {new}", pointer_token(name)));
        }
    }
}

/// Returns the merge patch (RFC 7396) that turns `old` into `new`.
fn merge_patch(old: &Value, new: &Value) -> Value {
    let (Value::Object(old), Value::Object(new)) = (old, new) else {
        return new.clone();
    };
    let mut patch = Map::new();
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        patch.insert(name.clone(), Value::Null);
    }
    for (name, new) in new {
        match old.get(name) {
            Some(old) if old == new => {}
            Some(old) => {
                patch.insert(name.clone(), merge_patch(old, new));
            }
            None => {
                patch.insert(name.clone(), new.clone());
            }
        }
    }
    Value::Object(patch)
}
