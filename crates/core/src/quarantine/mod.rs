//! Requests that crash backend servers.
//!
//! Work in flight on a server that crashed becomes suspect. A suspect runs only on servers that
//! run no other suspect, so that the next crash tells which one is to blame. Two crashes, one of
//! which no other repeated suspect shares, quarantine the fingerprint for a while. Hosts tell
//! each other which fingerprint was in flight at which crash, so that neither a new key nor
//! another host gives a request a fresh start.
//!
//! A crash that comes with the loss of another server, on which the request did not run, has
//! probably another cause; it does not count, once for each fingerprint.

mod messages;
mod state;
#[cfg(test)]
mod tests;

pub use messages::CrashId;
pub use messages::CrashNotice;
pub use messages::Fingerprint;
pub use messages::QuarantineMessage;
pub use messages::QuarantineReply;
pub use messages::SuspectStart;
pub use state::Quarantine;
pub use state::QuarantineSettings;
pub use state::QuarantineStatus;
