//! How a host that has fallen behind the store catches up: which hosts it fetches changes from, when
//! it asks another one beside, when it reads the store itself, and how a host that is asked by many
//! at once serves them.
//!
//! A change has to be in force on every host within a time limit, so all waits derive from that
//! limit; [`Waits`] states them and their sum.

mod fetches;
mod lag;
#[cfg(test)]
mod tests;
mod transfers;
mod waits;

pub use self::fetches::FetchEnd;
pub use self::fetches::Fetches;
pub use self::lag::Lag;
pub use self::transfers::Reply;
pub use self::transfers::Transfers;
pub use self::waits::Waits;
