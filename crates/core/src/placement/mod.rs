//! Placement of model layers on backend servers, and the path of each request through them.

pub mod balance;
pub mod chain;
pub mod engine;
pub mod load;
pub mod membership;
pub mod path;
pub mod plan;
#[cfg(test)]
mod tests;
