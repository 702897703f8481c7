//! State machine of one streamed answer across the attempts that produce it.
//!
//! An [`AnswerStream`] checks every frame, releases each token once, decides when to continue on
//! another chain and closes the answer with its token count and digest. It takes [`Event`]s and
//! returns [`Action`]s, which its driver carries out.

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
