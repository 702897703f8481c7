//! Error type of the commands.

use std::process::ExitCode;

use quick_error::quick_error;

/// Result of a command.
pub type CliResult<T> = Result<T, CliError>;

quick_error! {
    /// Error of a command.
    #[derive(Debug)]
    pub enum CliError {
        /// The arguments are invalid.
        Usage(text: String) {
            display("{}", text)
        }
        /// The command line can't be parsed.
        Args(error: lexopt::Error) {
            from()
            display("{}", error)
        }
        /// A check failed; the report has been printed.
        Failed(text: String) {
            display("{}", text)
        }
    }
}

impl CliError {
    /// Returns 2 for an invalid command line and 1 for a failed check.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_) | Self::Args(_) => ExitCode::from(2),
            Self::Failed(_) => ExitCode::FAILURE,
        }
    }
}
