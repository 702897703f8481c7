//! Orders that bring backend servers to the placement that the configuration declares.
//!
//! Orders follow only from the configuration and from what the servers report, so an order that is
//! sent twice or by two issuers leads to the same state. Before a server is ordered to stop serving
//! its layers, it is added by compare-and-swap to the [`TransitionList`] in the store. This list
//! keeps every layer served even when several issuers send orders; the issuer's lease only avoids
//! duplicate work.

mod coverage;
mod issuer;
mod transition_list;

#[cfg(test)]
mod tests;

pub use coverage::serving_version;
pub use coverage::ServerState;
pub use coverage::Servers;
pub use issuer::AddressedOrder;
pub use issuer::Issuer;
pub use issuer::IssuerScope;
pub use issuer::Plan;
pub use transition_list::TransitionList;
pub use transition_list::TRANSITION_LIST_KEY;
