//! Parsing of the command lines of commands without options of their own.

use lexopt::Arg;
use lexopt::Parser;

use crate::error::CliResult;

/// Returns whether a command without options has to run; `false` when help is requested.
///
/// # Errors
///
/// Returns an error for any other argument.
pub fn should_run(mut parser: Parser) -> CliResult<bool> {
    match parser.next()? {
        None => Ok(true),
        Some(Arg::Long("help") | Arg::Short('h')) => Ok(false),
        Some(arg) => Err(arg.unexpected().into()),
    }
}
