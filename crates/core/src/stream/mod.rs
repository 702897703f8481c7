//! State of one answer over the attempts that produce it.
//!
//! An [`AnswerStream`] checks every frame, releases each token once, decides when to go on with
//! another chain and closes the answer with its count and digest. It is driven by [`Event`]s and
//! answers with [`Action`]s.

mod answer;
mod check;
mod messages;
mod pace;

#[cfg(test)]
mod tests;

pub use answer::AnswerStream;
pub use messages::Action;
pub use messages::Actions;
pub use messages::AttemptPlan;
pub use messages::Closing;
pub use messages::Event;
pub use messages::StreamSpec;
pub use pace::Pace;
