//! The error type of the commands.

use std::process::ExitCode;

use quick_error::quick_error;

/// Result of a command.
pub type CliResult<T> = Result<T, CliError>;

quick_error! {
    /// Why a command did not succeed.
    #[derive(Debug)]
    pub enum CliError {
        /// The command line is wrong.
        Usage(text: String) {
            display("{}", text)
        }
        /// The command line is wrong.
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
    /// Returns 2 for a wrong command line, else 1.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_) | Self::Args(_) => ExitCode::from(2),
            Self::Failed(_) => ExitCode::FAILURE,
        }
    }
}
