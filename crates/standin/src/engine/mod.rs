//! Model engines, simulated in one process by a single scheduler thread.

mod cache;
mod driver;
mod faults;
mod handler;
mod links;
mod orders;
mod run;
mod server;
mod simulation;
mod weights;

pub use simulation::CRASH_MARK;

pub(crate) use driver::Driver;
pub(crate) use handler::EngineHandler;
pub(crate) use simulation::PortChange;
pub(crate) use simulation::Simulation;
