//! Numbered declarations: what operators submit, checked and spread to all hosts.

mod declaration;
mod messages;
mod validate;

#[cfg(test)]
mod tests;

pub use declaration::Accelerator;
pub use declaration::Declaration;
pub use declaration::Domain;
pub use declaration::Method;
pub use declaration::Model;
pub use declaration::Placement;
pub use declaration::Priority;
pub use declaration::Route;
pub use declaration::Server;
pub use declaration::ServerUse;
pub use declaration::Service;
pub use declaration::Team;
pub use messages::ConfigMessage;
pub use messages::ConfigReply;
pub use validate::parse;
