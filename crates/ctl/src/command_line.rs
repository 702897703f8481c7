//! Parsing of a command's own options and operand beside the options that commands share.

use std::ffi::OsString;

use lexopt::Arg;
use lexopt::Parser;

use crate::error::CliError;
use crate::error::CliResult;
use crate::shared_options::SharedOptions;

/// Shared options and operand of a command.
#[derive(Debug)]
pub struct CommandLine {
    /// Options that commands share.
    pub shared: SharedOptions,
    /// The operand, such as a file.
    pub operand: OsString,
}

/// Parses the options of a command without an operand; returns `None` when help is requested.
///
/// `parse_own` handles the options of the command itself and returns whether the option is one of
/// them; all others are shared options.
///
/// # Errors
///
/// Returns an error for an operand, an unknown option or an invalid value.
pub fn parse_options(
    parser: Parser,
    parse_own: impl FnMut(&str, &mut Parser) -> CliResult<bool>,
) -> CliResult<Option<SharedOptions>> {
    Ok(parse(parser, 0, parse_own)?.map(|parsed| parsed.shared))
}

/// Parses the options and the operand of a command; returns `None` when help is requested.
///
/// `parse_own` is as in [`parse_options`].
///
/// # Errors
///
/// Returns `usage` when the operand is missing, and an error for a second operand, an unknown
/// option or an invalid value.
pub fn parse_with_operand(
    parser: Parser,
    usage: &str,
    parse_own: impl FnMut(&str, &mut Parser) -> CliResult<bool>,
) -> CliResult<Option<CommandLine>> {
    let Some(Parsed { shared, mut operands }) = parse(parser, 1, parse_own)? else {
        return Ok(None);
    };
    let operand = operands.pop().ok_or_else(|| CliError::Usage(usage.trim().to_owned()))?;
    Ok(Some(CommandLine { shared, operand }))
}

#[derive(Debug, Default)]
struct Parsed {
    shared: SharedOptions,
    operands: Vec<OsString>,
}

fn parse(
    mut parser: Parser,
    max_operands: usize,
    mut parse_own: impl FnMut(&str, &mut Parser) -> CliResult<bool>,
) -> CliResult<Option<Parsed>> {
    let mut parsed = Parsed::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Value(value) if parsed.operands.len() < max_operands => {
                parsed.operands.push(value);
            }
            Arg::Long("help") | Arg::Short('h') => return Ok(None),
            Arg::Long(name) => {
                let name = name.to_owned();
                if !parse_own(&name, &mut parser)? {
                    parsed.shared.parse_option(&name, &mut parser)?;
                }
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(Some(parsed))
}
