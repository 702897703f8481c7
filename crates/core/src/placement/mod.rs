//! Placement of model layers on backend servers, and the choice of the chain of servers that runs
//! each request.

pub mod balance;
pub mod chain;
pub mod crossing;
#[cfg(test)]
mod crossing_tests;
pub mod engine;
pub mod load;
pub mod membership;
#[cfg(test)]
mod membership_tests;
pub mod path;
#[cfg(test)]
mod path_tests;
pub mod plan;
#[cfg(test)]
mod prefill_tests;
pub mod shortage;
#[cfg(test)]
mod tests;
