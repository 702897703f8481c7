//! Where requests are sent.

use std::net::SocketAddrV4;
use std::rc::Rc;

use yuccanotch_core::name::ServerName;
use yuccanotch_core::placement::chain::Chain;
use yuccanotch_core::placement::load::PendingPrefill;

use crate::routing::RoutingState;

/// Where a request is sent: a plain server, which answers alone, or a chain of model servers, which
/// hold parts of the layers.
#[derive(Clone, Debug)]
pub enum Target {
    /// One plain server.
    Server {
        /// The name of the server.
        server: ServerName,
        /// The address that the server listens on.
        address: SocketAddrV4,
    },
    /// A chain of model servers; the first one receives the request.
    Chain(Rc<Chain>),
}

impl Target {
    /// Returns the server that receives the request.
    pub fn server(&self) -> &ServerName {
        match self {
            Self::Server { server, .. } => server,
            Self::Chain(chain) => &chain.first().server,
        }
    }

    /// Returns the address that the request is sent to.
    pub fn address(&self) -> SocketAddrV4 {
        match self {
            Self::Server { address, .. } => *address,
            Self::Chain(chain) => chain.first().address,
        }
    }
}

/// The expected tokens of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestTokens {
    /// The tokens that it holds at its servers, in the mean over its life.
    pub held: f64,
    /// The tokens of its prompt and its whole answer.
    pub total: f64,
}

/// The servers that may receive a request.
#[derive(Clone, Copy, Debug)]
pub enum Candidates<'a> {
    /// All servers of the service; plain servers that have already received the request are chosen
    /// last.
    All {
        /// The servers that have already received the request.
        tried: &'a [ServerName],
    },
    /// Only servers that have not received the request yet.
    Untried {
        /// The servers that have already received the request.
        tried: &'a [ServerName],
    },
    /// Only servers that have already received the request.
    Tried(&'a [ServerName]),
}

impl<'a> Candidates<'a> {
    /// Returns the servers that have already received the request.
    pub fn tried(self) -> &'a [ServerName] {
        match self {
            Self::All { tried } | Self::Untried { tried } | Self::Tried(tried) => tried,
        }
    }
}

/// Counts as one request in progress at its target until it is dropped, and its prompt as pending
/// prefill until its next event.
pub struct InProgress {
    pub(super) routing: Rc<RoutingState>,
    pub(super) target: Target,
    pub(super) tokens: f64,
    pub(super) pending: PendingPrefill,
}

impl InProgress {
    /// Records an event of the request, which shows that all servers of its target have prefilled.
    pub fn on_event(&mut self) {
        if !self.pending.is_empty() {
            let pending = std::mem::take(&mut self.pending);
            self.routing.loads.borrow_mut().remove_prefill(&pending);
        }
    }

    /// Returns what the servers of `new` still have to prefill once the request has moved there,
    /// where it holds `tokens` tokens.
    pub fn pending_after_move(&self, new: &Chain, tokens: u32) -> PendingPrefill {
        match &self.target {
            Target::Chain(old) => self.pending.after_move(old, new, tokens),
            Target::Server { .. } => PendingPrefill::default(),
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.on_event();
        self.routing.end(&self.target, self.tokens);
    }
}
