//! Placement of model layers on backend servers, and the path of each request through them.

pub mod balance;
pub mod chain;
pub mod engine;
pub mod load;
pub mod path;
pub mod plan;
pub mod roster;
#[cfg(test)]
mod tests;
