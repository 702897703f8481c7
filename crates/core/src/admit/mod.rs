//! Admission control: weights and limits of teams, priorities, bounded queues, early refusal.
//!
//! Each [`Pool`] limits how many of its requests run at a time. Further requests wait in one queue
//! per team and are admitted by start-time fair queueing, so that a burst of one team delays that
//! team and not the others. A request that could not finish by its deadline is refused at once.

mod controller;
mod messages;
mod pool;
pub mod reservation;
mod team;

#[cfg(test)]
mod tests;

pub use controller::AdmissionController;
pub use messages::Action;
pub use messages::Actions;
pub use messages::AdmissionSettings;
pub use messages::Arrival;
pub use messages::Denial;
pub use messages::Event;
pub use messages::Pool;
pub use messages::RequestKey;
pub use messages::TeamTerms;
