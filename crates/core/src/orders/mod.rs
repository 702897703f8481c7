//! Brings about the placement that the configuration declares.
//!
//! Orders follow from the configuration and from what the servers report, so that an order given
//! twice or by two issuers leads to the same state. A server that has to give up what it serves is
//! first entered in a list in the store, by compare-and-swap; the list keeps every layer served,
//! whoever gives the orders. The issuer's lease only keeps work from being done twice.

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
