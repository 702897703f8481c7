//! Detection and refusal of requests that crash backend servers.
//!
//! A request has several fingerprints: a hash of its team and body, and one of each part of its
//! prompt that other requests may share. The fingerprints in flight on a server when it crashes
//! become suspects. A suspect may be kept off servers that run another suspect, so that the next
//! crash identifies its cause. A fingerprint that explains the crashes is quarantined, and the
//! requests with it are refused, for a limited time:
//!
//! - A request after two crashes, at least one of which it does not share with another request that
//!   was in flight at two crashes.
//! - A part after three crashes, if other requests succeeded meanwhile and no other part was in
//!   flight at all of them.
//!
//! The fingerprint with the most crashes comes first; what merely came with it stays clear. A
//! complete answer refutes all earlier crashes of the request's fingerprints, and an answer that goes
//! on for some time those of its parts. The hosts tell each other which fingerprint was in flight at
//! which crash and which were refuted, so that a request with a new key or on another host keeps its
//! history.
//!
//! If another server, on which the request did not run, is lost at about the same time as the
//! crash, both losses probably have one cause other than the request. One such crash per
//! fingerprint is not counted.

mod causes;
mod evidence;
mod losses;
mod messages;
mod notices;
mod runs;
mod settings;
mod state;
#[cfg(test)]
mod tests;

pub use messages::fingerprints;
pub use messages::CrashId;
pub use messages::CrashNotice;
pub use messages::CrashReport;
pub use messages::Fingerprint;
pub use messages::Fingerprints;
pub use messages::QuarantineMessage;
pub use messages::QuarantineReply;
pub use messages::SuspectStart;
pub use notices::NoticeScope;
pub use settings::QuarantineSettings;
pub use state::Quarantine;
pub use state::QuarantineChange;
pub use state::QuarantineStatus;
