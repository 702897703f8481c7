//! Embedded deployment: stand-ins of the platform and the backend servers, and real entry hosts,
//! in one process on loopback.

pub mod client;
pub mod deployment;
pub mod error;
pub mod plan;
pub mod platform;
pub mod samples;

pub use deployment::Deployment;
pub use error::LocalError;
pub use plan::Plan;
