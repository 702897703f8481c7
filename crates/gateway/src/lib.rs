//! The I/O shell of a host on one event loop: callers, backend servers, the store and other hosts.
//!
//! Decisions are made by the modules of `yuccanotch-core`; the [`adapter::ProtocolAdapter`] of the surroundings
//! translates what is spoken there.

pub mod adapter;
pub mod answer;
pub mod callers;
pub mod counters;
pub mod event_log;
pub mod exchange;
pub mod gossip;
pub mod host;
pub mod issuer;
pub mod net;
pub mod pool;
pub mod probe_server;
pub mod reload;
pub mod reports;
pub mod routing;
pub mod settings;
pub mod snapshot;
pub mod store;
pub mod views;
pub mod watch;
