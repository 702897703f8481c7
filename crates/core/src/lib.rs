//! Decision modules and shared types of yuccanotch.
//!
//! Nothing in this crate performs I/O, reads a clock or generates random numbers by itself. Each
//! directory is a decision module with its own state, messages and tests. Its caller passes it
//! events that carry the time, and performs the actions that it returns.

pub mod admit;
pub mod bytes;
pub mod catch_up;
pub mod claim;
pub mod clock;
pub mod config;
pub mod defect;
pub mod digest;
pub mod engine;
pub mod event;
pub mod fields;
pub mod finding;
pub mod fleet;
pub mod forward;
pub mod ids;
pub mod limits;
pub mod name;
pub mod orders;
pub mod peer;
pub mod peering;
pub mod placement;
pub mod quarantine;
pub mod reachability;
pub mod reason;
pub mod retry;
pub mod route;
pub mod share;
pub mod shutdown;
#[cfg(test)]
mod shutdown_tests;
pub mod store;
pub mod stream;
