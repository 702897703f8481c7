//! Errors of the load tool.

use std::io;
use std::path::PathBuf;

use quick_error::quick_error;
use yuccanotch_core::finding::Finding;
use yuccanotch_local::LocalError;

quick_error! {
    /// Error that ends a command of the load tool.
    #[derive(Debug)]
    pub enum LoadError {
        /// The command line is not valid.
        Usage(e: lexopt::Error) {
            from()
            display("{}", e)
        }
        /// A file could not be read or written.
        File(path: PathBuf, e: io::Error) {
            source(e)
            display("{}: {}", path.display(), e)
        }
        /// A scenario or report file is invalid.
        Findings(findings: Vec<Finding>) {
            display("{}", findings.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
        }
        /// The embedded deployment could not start.
        Local(e: LocalError) {
            from()
            display("{}", e)
        }
        /// A call of the operating system failed.
        Io(e: io::Error) {
            from()
            source(e)
            display("{}", e)
        }
        /// A plot could not be drawn.
        Plot(text: String) {
            display("plot: {}", text)
        }
        /// The stand-ins or the host under test did not do what was asked of them.
        Standin(text: String) {
            display("stand-ins: {}", text)
        }
    }
}

/// Result of an operation of the load tool. A command returns `true` when all promises held.
pub type CliResult<T> = Result<T, LoadError>;
