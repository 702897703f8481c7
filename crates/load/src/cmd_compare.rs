//! `yuccanotch-load compare`: prints the figures of two reports side by side.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use lexopt::prelude::*;
use yuccanotch_core::finding::Finding;
use yuccanotch_load::compare;
use yuccanotch_load::CliResult;
use yuccanotch_load::LoadError;

pub const USAGE: &str = "\
Prints the figures of two JSON reports side by side, with the ratio of the second to the first.

Usage: yuccanotch-load compare A.json B.json
";

pub fn run(parser: &mut lexopt::Parser) -> CliResult<bool> {
    let mut paths: Vec<PathBuf> = Vec::new();
    while let Some(arg) = parser.next()? {
        match arg {
            Value(path) => paths.push(path.into()),
            Short('h') | Long("help") => {
                out!("{USAGE}");
                return Ok(true);
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    let [a, b] = &paths[..] else {
        return Err(lexopt::Error::from("two report files are required").into());
    };
    let rows = compare::compare_figures(&read(a)?, &read(b)?);
    out!("{}", compare::format_table(&rows));
    Ok(true)
}

fn read(path: &Path) -> CliResult<serde_json::Value> {
    let text = fs::read(path).map_err(|e| LoadError::File(path.to_owned(), e))?;
    serde_json::from_slice(&text).map_err(|e| {
        let text = format!("{}: {e}", path.display());
        LoadError::Findings(vec![Finding { pointer: String::new(), text }])
    })
}
