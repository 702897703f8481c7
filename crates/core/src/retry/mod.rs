//! The decision whether a failed attempt is retried.
//!
//! Three limits apply together: the number of attempts per request, the host's retry budget (a
//! percentage of its recent requests), and the request's deadline. A call that is not repeatable is
//! never retried once a byte of it may have reached a backend server.

mod budget;
mod policy;
#[cfg(test)]
mod tests;

pub use budget::RetryBudget;
pub use policy::FailedAttempt;
pub use policy::RetryDecision;
pub use policy::RetryPolicy;
pub use policy::RetrySettings;
