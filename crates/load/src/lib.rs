//! Load test tool: sends open-loop traffic to a deployment, injects faults, checks the promises
//! that the router makes to callers, and writes reports.

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
