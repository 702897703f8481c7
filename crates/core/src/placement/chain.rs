//! A chain of servers that runs every layer once and in order.

use std::net::SocketAddrV4;

use smallvec::SmallVec;

use crate::defect::planted;
use crate::name::ServerName;
use crate::placement::engine::LayerRange;

/// The most parts that a server accepts in a chain.
pub const MAX_CHAIN_STAGES: usize = 32;

/// One server's part of a chain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChainStage {
    /// The server.
    pub server: ServerName,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// The layers that it runs.
    pub layers: LayerRange,
}

/// Why a list of parts is not a chain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChainError {
    /// There is no part, or a part has no layer.
    Empty,
    /// A layer is run twice, left out or out of order.
    NotContiguous,
    /// A server has two parts.
    DuplicateServer,
    /// There are more than [`MAX_CHAIN_STAGES`] parts.
    TooLong,
}

/// Parts that together run all layers of a model once and in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chain {
    stages: SmallVec<[ChainStage; 12]>,
}

impl Chain {
    /// Checks `parts` against a model of `layers` layers.
    ///
    /// # Errors
    ///
    /// Returns an error when the parts do not run each layer once and in order.
    pub fn new(stages: SmallVec<[ChainStage; 12]>, layers: u16) -> Result<Self, ChainError> {
        if stages.len() > MAX_CHAIN_STAGES {
            return Err(ChainError::TooLong);
        }
        let mut next_layer = 0;
        for (index, stage) in stages.iter().enumerate() {
            if stage.layers.is_empty() {
                return Err(ChainError::Empty);
            }
            if stage.layers.from != next_layer && !planted!(ChainWithGap) {
                return Err(ChainError::NotContiguous);
            }
            if stages[..index].iter().any(|p| p.address == stage.address) {
                return Err(ChainError::DuplicateServer);
            }
            next_layer = stage.layers.to;
        }
        match next_layer {
            0 => Err(ChainError::Empty),
            next_layer if next_layer == layers => Ok(Self { stages }),
            _ => Err(ChainError::NotContiguous),
        }
    }

    /// Returns the parts in order.
    pub fn stages(&self) -> &[ChainStage] {
        &self.stages
    }

    /// Returns the part that receives the request.
    pub fn first(&self) -> &ChainStage {
        &self.stages[0]
    }
}
