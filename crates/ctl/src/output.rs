//! Prints to standard output and tolerates a reader that closes the pipe early.

use std::fmt::Arguments;
use std::io;
use std::io::ErrorKind;
use std::io::Write;
use std::process;

/// Prints a line with a trailing newline; see [`write`].
macro_rules! outln {
    ($($arg:tt)*) => { $crate::output::write(format_args!($($arg)*), "\n") };
}

/// Writes `text` and `end` to standard output. After the reader has closed the pipe, output is
/// discarded and the command still returns its own exit code; any other write error ends the
/// process with exit code 1.
pub fn write(text: Arguments<'_>, end: &str) {
    let mut stdout = io::stdout().lock();
    let written = stdout.write_fmt(text).and_then(|()| stdout.write_all(end.as_bytes()));
    match written {
        Err(e) if e.kind() != ErrorKind::BrokenPipe => {
            eprintln!("standard output: {e}");
            process::exit(1);
        }
        _ => {}
    }
}
