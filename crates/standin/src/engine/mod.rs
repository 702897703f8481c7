//! Model engines, simulated in one process by a single scheduler thread.

mod admission;
mod cache;
mod crash_mark;
mod driver;
mod event;
mod faults;
mod handler;
mod links;
mod orders;
mod reports;
mod run;
mod run_ends;
mod server;
mod simulation;
mod steps;
mod weights;

pub use crash_mark::CRASH_MARK;

pub(crate) use driver::Driver;
pub(crate) use handler::EngineHandler;
pub(crate) use simulation::PortChange;
pub(crate) use simulation::Simulation;
