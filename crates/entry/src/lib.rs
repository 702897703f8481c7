//! The entry host: accepts callers' requests, admits them, routes them to backend servers and
//! returns the answers.
//!
//! One [`Host`] holds all state of an entry host, so that a process can run several hosts.

pub mod admin;
pub mod admission;
pub mod answer;
pub mod callers;
pub mod chat;
pub mod claims;
pub mod configuration;
pub mod engine_client;
pub mod error;
pub mod fleet;
pub mod host;
pub mod logging;
pub mod operators;
pub mod orders;
pub mod peer_handler;
pub mod peers;
pub mod pipelines;
pub mod plain;
pub mod problem;
pub mod quarantine;
pub mod routing;
pub mod settings;
pub mod shares;
pub mod store_client;
pub mod telemetry;

pub use error::EntryError;
pub use host::Host;
pub use settings::Settings;
