//! The configuration: the operators' declaration, checked, numbered and distributed to all hosts.
//!
//! The platform's store holds a declaration as one manifest and immutable chunks. A patch replaces
//! the manifest by compare-and-swap, if the current number is the one that the patch was made
//! against. Entry hosts fetch the chunks, check their digests and adopt higher numbers only.

mod active;
pub mod adopter;
pub mod behind_mark;
mod bootstrap;
pub mod chunk;
pub mod chunk_gc;
mod declaration;
pub mod document;
mod error;
mod locate;
pub mod manifest;
pub mod messages;
pub mod notice_tree;
pub mod publisher;
pub mod reader;
pub mod store_call;
mod validate;

#[cfg(test)]
mod adopter_tests;
#[cfg(test)]
mod tests;

pub use active::ActiveConfig;
pub use bootstrap::read_current_config;
pub use bootstrap::write_first_config;
pub use declaration::Accelerator;
pub use declaration::Declaration;
pub use declaration::Domain;
pub use declaration::Method;
pub use declaration::Model;
pub use declaration::Placement;
pub use declaration::Priority;
pub use declaration::Rollout;
pub use declaration::Route;
pub use declaration::Server;
pub use declaration::ServerUse;
pub use declaration::Service;
pub use declaration::Team;
pub use error::ConfigError;
pub use messages::ConfigMessage;
pub use messages::ConfigReply;
pub use validate::check_document;
pub use validate::parse;
pub use validate::parse_document;
