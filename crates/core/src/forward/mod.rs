//! Forwarding of opaque requests to backend servers: routes, the list of servers and their health,
//! retries, and the state of each request.

pub mod attribution;
#[cfg(test)]
mod attribution_tests;
pub mod budget;
pub mod durations;
#[cfg(test)]
mod durations_tests;
pub mod events;
pub mod health;
pub mod item_log;
pub mod leaving;
pub mod outcome;
pub mod pauses;
#[cfg(test)]
mod pauses_tests;
pub mod reason;
pub mod revision;
#[cfg(test)]
mod revision_tests;
pub mod routes;
pub mod servers;
#[cfg(test)]
mod servers_tests;
pub mod silence;
#[cfg(test)]
mod silence_tests;
#[cfg(test)]
mod tests;
pub mod waiting;
