//! Which backend servers this host reaches, judged by its own links and by what other hosts hear.
//!
//! A server that brings this host no connection and no answer may be lost, or this host's links to
//! it may be cut. If another host has heard the server since, it is the links: the server is sound,
//! and only requests that would begin at it from here must go another way. Hosts tell each other
//! which servers they heard last, and which hosts reach servers and so may take requests of others.
//!
//! Other hosts' suspicions of a server are believed until somebody has heard the server since.

mod hosts;
mod links;
mod messages;
#[cfg(test)]
mod tests;

pub use links::LinkChange;
pub use links::LinkFailure;
pub use links::Reachability;
pub use messages::HeardRow;
pub use messages::HostRow;
pub use messages::ReachRows;
