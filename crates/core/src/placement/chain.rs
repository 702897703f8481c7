//! Chains of servers that together run every layer of a model once and in order.

use std::net::SocketAddrV4;

use smallvec::SmallVec;

use crate::defect::planted;
use crate::name::DomainName;
use crate::name::ServerName;
use crate::placement::engine::LayerRange;

/// The most stages of a chain that a server accepts.
pub const MAX_CHAIN_STAGES: usize = 32;

/// A server in a chain and the layers that it runs there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChainStage {
    /// The server.
    pub server: ServerName,
    /// The address on which it listens.
    pub address: SocketAddrV4,
    /// The failure domain that it is in.
    pub domain: DomainName,
    /// The layers that it runs.
    pub layers: LayerRange,
}

/// The reason for which a list of stages is not a chain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChainError {
    /// There is no stage, or a stage has no layer.
    Empty,
    /// A layer is run twice, is missing or is out of order.
    NotContiguous,
    /// A server has two stages.
    DuplicateServer,
    /// There are more than [`MAX_CHAIN_STAGES`] stages.
    TooLong,
}

/// Stages that together run all layers of a model once and in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chain {
    stages: SmallVec<[ChainStage; 12]>,
}

impl Chain {
    /// Creates a chain of `stages` for a model of `layers` layers.
    ///
    /// # Errors
    ///
    /// Returns an error if the stages do not run each layer once and in order, if a server has two
    /// stages, or if there are more than [`MAX_CHAIN_STAGES`].
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
            if stages[..index].iter().any(|earlier| earlier.address == stage.address) {
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

    /// Returns the stages in layer order.
    pub fn stages(&self) -> &[ChainStage] {
        &self.stages
    }

    /// Returns the first stage, whose server receives the request from the host.
    pub fn first(&self) -> &ChainStage {
        &self.stages[0]
    }

    /// Returns the number of hops between stages of different failure domains.
    pub fn crossings(&self) -> usize {
        self.domain_crossings().count()
    }

    /// Returns the number of hops between failure domains that `old` does not have. On the hops of
    /// `old` the tokens of the request are already accounted for.
    pub fn crossings_beyond(&self, old: &Self) -> usize {
        let has_hop = |hop: &[ChainStage]| old.stages.windows(2).any(|old_hop| old_hop == hop);
        self.domain_crossings().filter(|hop| !has_hop(hop)).count()
    }

    fn domain_crossings(&self) -> impl Iterator<Item = &[ChainStage]> {
        self.stages.windows(2).filter(|hop| hop[0].domain != hop[1].domain)
    }
}
