//! Detection and refusal of requests that crash backend servers.
//!
//! A request is identified by its fingerprint, a hash of its team and body. The fingerprints in
//! flight on a server when it crashes become suspects. A suspect runs only on servers that run no
//! other suspect, so that the next crash identifies its cause. A fingerprint is quarantined, and
//! its requests are refused, for a limited time after two crashes, at least one of which it does
//! not share with another fingerprint that was in flight at two crashes. The entry hosts tell each
//! other which fingerprint was in flight at which crash, so that a request with a new key or on
//! another host keeps its history.
//!
//! If another server, on which the request did not run, is lost at about the same time as the
//! crash, both losses probably have one cause other than the request. One such crash per
//! fingerprint is not counted.

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
