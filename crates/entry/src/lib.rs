//! Entry host: callers' HTTP, routing, pipeline streams, peer links, admin port.
//!
//! All state hangs off one [`Host`]; several hosts can live in one process.

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
