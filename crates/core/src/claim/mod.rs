//! At-most-once execution of calls that may not be repeated.
//!
//! Each call carries an idempotency key. Before an entry host dispatches the call, it claims the
//! key: it writes a record with its own incarnation and a random nonce to the platform's store. A
//! host that finds another nonce in the record does not dispatch the call.
//!
//! The records of many keys share a slot. A slot's head is one value of the store, which changes
//! by compare-and-swap only. The slot's home, the host that normally writes it, keeps the records
//! in memory and commits operations in batches. This makes claims cheap, but safety does not
//! depend on it: a home that is stale or paused, or a second home of the same slot, fails its
//! compare-and-swap and reads the slot again, and [`rules::next_record`] gives the same result on
//! every host.
//!
//! - [`rules`]: how one operation changes one record.
//! - [`SlotWriter`] and [`SlotWriters`]: group commit of one slot, and of all slots of a host.
//! - [`ClaimRegistry`]: the state of the claims that one process holds.
//! - [`CallClaim`]: the state machine of one call, from its key to a dispatch, an answer or a
//!   refusal.
//! - [`BoundTable`]: keys whose records one process keeps in memory instead of in the store.

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
