//! Forwarding of opaque requests to backend servers: routes, servers known, and what is true of a
//! request at each moment.

pub mod budget;
pub mod events;
pub mod health;
pub mod outcome;
pub mod reason;
pub mod routes;
pub mod servers;
#[cfg(test)]
mod tests;
pub mod waiting;
