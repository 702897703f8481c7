//! At-most-once execution of calls that may not be repeated.
//!
//! Each call carries a key. Before a host dispatches it, a record in the platform's store names
//! that host's incarnation and a nonce; whoever finds another nonce does not dispatch. Records
//! are grouped in slots, and each slot is one value of the store that changes by compare-and-swap
//! only. The choice of a slot's home, its memory and its batches make claims cheap; none of them
//! is needed for safety: a home that is stale, paused or one of two loses its swap and reads
//! again, and [`rules::next_record`] gives the same result wherever it runs.
//!
//! - [`rules`]: how one operation changes one record.
//! - [`SlotWriter`] and [`SlotWriters`]: group commit of a slot, and of all slots of a host.
//! - [`ClaimRegistry`]: what a host knows of the calls it holds claims for.
//! - [`CallClaim`]: the steps of one call from its key to a permit or an answer.
//! - [`BoundTable`]: keys that one incarnation of a host arbitrates in memory.

mod bound;
mod budget;
mod call;
mod encoding;
mod home;
mod messages;
mod record;
mod registry;
mod repair;
pub mod rules;
mod slot;
#[cfg(test)]
mod tests;
mod writers;

pub use bound::BoundKey;
pub use bound::BoundTable;
pub use budget::WriteBudget;
pub use call::CallClaim;
pub use call::CallerReply;
pub use call::Input;
pub use call::Purpose;
pub use call::SegmentRead;
pub use call::Step;
pub use encoding::decode_segment;
pub use encoding::head_key;
pub use encoding::segment_key;
pub use encoding::SlotHead;
pub use encoding::ValueError;
pub use home::home_order;
pub use messages::ClaimMessage;
pub use messages::ClaimReply;
pub use messages::HolderStatus;
pub use messages::OpReply;
pub use record::ClaimKey;
pub use record::ClaimState;
pub use record::Holder;
pub use record::Nonce;
pub use record::Record;
pub use record::RequestDigest;
pub use record::SlotId;
pub use record::StoredAnswer;
pub use registry::ClaimRegistry;
pub use rules::Op;
pub use rules::OpKind;
pub use slot::QueueFull;
pub use slot::Replies;
pub use slot::SlotCounts;
pub use slot::SlotSettings;
pub use slot::SlotWriter;
pub use slot::StoreAnswer;
pub use slot::StoreCall;
pub use slot::Ticket;
pub use writers::SlotCall;
pub use writers::SlotWriters;
