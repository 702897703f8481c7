//! Errors of the load tool.

use std::io;
use std::path::PathBuf;

use quick_error::quick_error;
use yuccanotch_core::finding::Finding;
use yuccanotch_local::LocalError;

quick_error! {
    /// Why an experiment could not be carried out.
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
        /// A file has faults.
        Findings(findings: Vec<Finding>) {
            display("{}", findings.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
        }
        /// The embedded deployment could not start.
        Local(e: LocalError) {
            from()
            display("{}", e)
        }
        /// The operating system refused something.
        Io(e: io::Error) {
            from()
            source(e)
            display("{}", e)
        }
        /// A plot could not be drawn.
        Plot(text: String) {
            display("plot: {}", text)
        }
        /// The stand-ins could not be asked.
        Standin(text: String) {
            display("stand-ins: {}", text)
        }
    }
}

/// Result of a command; whether all promises held.
pub type CliResult<T> = Result<T, LoadError>;
