//! Printing to standard output that tolerates a closed pipe.

use std::fmt::Arguments;
use std::io;
use std::io::ErrorKind;
use std::io::Write;
use std::process;

/// Prints a line to standard output; see [`write`].
macro_rules! outln {
    ($($arg:tt)*) => { $crate::output::write(format_args!($($arg)*), "\n") };
}

/// Writes `text` and `end` to standard output.
///
/// A closed pipe is ignored, so that the command still ends with its own exit code. Any other error
/// ends the process with exit code 1.
pub fn write(text: Arguments<'_>, end: &str) {
    let mut stdout = io::stdout().lock();
    let written = stdout.write_fmt(text).and_then(|()| stdout.write_all(end.as_bytes()));
    match written {
        Err(e) if e.kind() != ErrorKind::BrokenPipe => {
            eprintln!("cannot write to standard output: {e}");
            process::exit(1);
        }
        _ => {}
    }
}
