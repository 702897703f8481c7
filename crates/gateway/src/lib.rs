//! Runs one gateway host on a single-threaded event loop: it talks to callers, backend servers, the
//! store and other hosts.
//!
//! The modules of `yuccanotch-core` make the decisions and do no I/O. An
//! [`adapter::ProtocolAdapter`] translates the messages of the platform that the host runs on.

pub mod adapter;
mod announcements;
pub mod answer;
#[cfg(test)]
mod answer_tests;
mod attribution;
mod body;
pub mod callers;
mod connections;
pub mod counters;
pub mod datagram;
pub mod event_log;
pub mod exchange;
pub mod gossip;
mod head_limit;
pub mod host;
pub mod issuer;
mod limits;
pub mod links;
mod listing;
mod memory;
pub mod net;
pub mod pool;
pub mod probe_server;
pub mod quarantine;
pub mod relay;
pub mod reload;
pub mod reports;
pub mod routing;
mod server_calls;
pub mod settings;
pub mod shutdown;
pub mod store;
mod supervision;
#[cfg(test)]
mod supervision_tests;
pub mod sync;
pub mod views;
pub mod watch;
