//! The memory budget of a process for the bytes that it buffers, and the choice of the body or the
//! connection that is closed when there is no room for others.
//!
//! Bytes are reserved before they are read. Each kind of use has a share of its own, so that one kind
//! cannot take the room of another: callers that send bodies cannot keep answers from being read.

mod bodies;
mod budget;
mod connections;
#[cfg(test)]
mod tests;

pub use bodies::BodyId;
pub use bodies::OpenBodies;
pub use budget::ByteBudget;
pub use budget::NoRoom;
pub use budget::Reservation;
pub use budget::UseKind;
pub use budget::SMALL_BYTES;
pub use connections::ConnectionId;
pub use connections::OpenConnections;
