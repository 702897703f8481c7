//! When an attempt may be followed by another one.
//!
//! Three bounds hold at once: a cap of attempts per request, a budget of retries as a share of
//! the live requests of the host, and the deadline. A call that may not be repeated is never
//! repeated once a byte has left.

mod budget;
mod policy;
#[cfg(test)]
mod tests;

pub use budget::RetryBudget;
pub use policy::FailedAttempt;
pub use policy::RetryDecision;
pub use policy::RetryPolicy;
pub use policy::RetrySettings;
