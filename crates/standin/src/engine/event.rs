//! Events of the simulation.

use yuccanotch_core::name::ServerName;

use crate::engine::server::RunKey;

/// An event that is due at a certain time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Event {
    StepEnds { engine: usize, boot: u64 },
    ActivationArrives { run: RunKey, stage: usize },
    TokenArrives { run: RunKey },
    LinkRetry { from: usize, to: usize, event: Box<Event> },
    StageLost { run: RunKey, server: ServerName },
    Deadline { run: RunKey },
    EngineRestarts { engine: usize, boot: u64 },
    ReportDue { engine: usize },
    LoadEnds { engine: usize, number: u64, holding: usize },
}
