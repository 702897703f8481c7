//! Model engines, emulated in one process by one scheduler.

mod cache;
mod driver;
mod faults;
mod handler;
mod links;
mod orders;
mod run;
mod server;
mod weights;
mod world;

pub use world::CRASH_MARK;

pub(crate) use driver::Driver;
pub(crate) use handler::EngineHandler;
pub(crate) use world::PortChange;
pub(crate) use world::World;
