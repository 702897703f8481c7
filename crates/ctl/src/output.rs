//! Printing to standard output, which its reader may close at any time.

use std::fmt::Arguments;
use std::io;
use std::io::ErrorKind;
use std::io::Write;
use std::process;

/// Prints a line; see [`write`].
macro_rules! outln {
    ($($arg:tt)*) => { $crate::output::write(format_args!($($arg)*), "\n") };
}

/// Writes to standard output. When its reader has closed it, the command goes on to its own exit
/// code without output; any other error ends the process with 1.
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
