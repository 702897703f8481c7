//! Stand-ins for the platform and the backend servers, with fault injection and execution records.
//!
//! They run in one process on loopback and record what they executed, independently of what the
//! router reports. They are for tests and experiments only.

mod admin;
mod bound;
mod engine;
mod fault;
mod http;
mod platform;
mod record;
mod service;
mod settings;
mod slot_bound;
mod standin;
mod store;
mod token;

#[cfg(test)]
mod tests;

pub use bound::max_flow_bound;
pub use bound::max_flow_bound_for;
pub use bound::WorkMix;
pub use engine::CRASH_MARK;
pub use fault::Fault;
pub use fault::FaultRequest;
pub use record::prompt_hash;
pub use record::CallRecord;
pub use record::Record;
pub use record::RunEnd;
pub use record::RunRecord;
pub use record::StoreCalls;
pub use settings::EngineBehavior;
pub use settings::EngineSettings;
pub use settings::LinkPair;
pub use settings::LinkSettings;
pub use settings::ModelSettings;
pub use settings::PlatformSettings;
pub use settings::ServiceSettings;
pub use settings::StandinSettings;
pub use slot_bound::slot_bound_for;
pub use standin::Standin;
pub use standin::StandinError;
pub use token::answer_len;
pub use token::expected_answer;
