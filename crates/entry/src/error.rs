//! Errors that keep an entry host from starting.

use std::io;
use std::path::PathBuf;

use quick_error::quick_error;
use yuccanotch_core::finding::Finding;

quick_error! {
    /// Why an entry host could not start.
    #[derive(Debug)]
    pub enum EntryError {
        /// A file could not be read.
        File(path: PathBuf, e: io::Error) {
            display("{}: {}", path.display(), e)
            source(e)
        }
        /// The settings have these errors.
        Settings(findings: Vec<Finding>) {
            display("{}", join_findings(findings))
        }
        /// A port could not be opened.
        Listen(address: String, e: io::Error) {
            display("cannot listen on {}: {}", address, e)
            source(e)
        }
        /// Another call to the operating system failed, such as the start of a thread.
        Io(e: io::Error) {
            display("{}", e)
            source(e)
            from()
        }
        /// The logger could not be set up.
        Logger(text: String) {
            display("cannot set up the logger: {}", text)
        }
    }
}

fn join_findings(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(Finding::to_string).collect();
    lines.join("\n")
}
