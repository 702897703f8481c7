//! Load and experiment tool: open-loop callers, faults, promise checks, reports.

pub mod arrivals;
pub mod compare;
pub mod error;
pub mod experiment;
pub mod html;
pub mod outcome;
pub mod plan;
pub mod promises;
pub mod report;
pub mod scenario;
pub mod target;
pub mod teams;
pub mod usage;

pub use error::CliResult;
pub use error::LoadError;
pub use report::Report;
pub use scenario::Scenario;
