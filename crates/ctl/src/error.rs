//! The error type of the commands and their exit codes.

use std::process::ExitCode;

use quick_error::quick_error;
use yuccanotch_core::config::manifest::PatchId;
use yuccanotch_core::config::ConfigError;
use yuccanotch_core::finding::Finding;
use yuccanotch_core::ids::ConfigNumber;

/// Result of a command.
pub type CliResult<T> = Result<T, CliError>;

quick_error! {
    /// Error that ends a command.
    #[derive(Debug)]
    pub enum CliError {
        /// An option or argument is missing or invalid.
        Usage(text: String) {
            display("{}", text)
        }
        /// The command line cannot be parsed.
        Args(e: lexopt::Error) {
            from()
            display("{}", e)
        }
        /// The declaration is invalid.
        Findings(findings: Vec<Finding>) {
            display("{}", format_findings(findings))
        }
        /// The base of the patch is not the current configuration number.
        StaleBase(base: ConfigNumber, current: ConfigNumber) {
            display(
                "stale base: the patch was made against {}, the current number is {}; \
                 nothing was changed",
                base,
                current
            )
        }
        /// The store did not answer whether the change was accepted.
        UnknownOutcome(id: PatchId) {
            display(
                "outcome unknown: the change may have been accepted; run the same command with \
                 --id {} to settle it",
                id
            )
        }
        /// The command failed for the reason in the text.
        Failed(text: String) {
            display("{}", text)
        }
        /// The configuration could not be read or written.
        Config(e: ConfigError) {
            from()
            display("{}", e)
        }
    }
}

fn format_findings(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    format!("{}\n{} findings; nothing was changed", lines.join("\n"), lines.len())
}

impl CliError {
    /// Returns the exit code: 1 for a failure, 2 for findings or an invalid command line, 3 for a
    /// stale base and 4 for an unknown outcome.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Failed(_) | Self::Config(_) => ExitCode::FAILURE,
            Self::Usage(_) | Self::Args(_) | Self::Findings(_) => ExitCode::from(2),
            Self::StaleBase(..) => ExitCode::from(3),
            Self::UnknownOutcome(_) => ExitCode::from(4),
        }
    }
}
