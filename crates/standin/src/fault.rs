//! Faults that can be injected.

use serde::Deserialize;
use serde::Serialize;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::ServerName;

/// A fault and how long it lasts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FaultRequest {
    /// The fault.
    #[serde(flatten)]
    pub fault: Fault,
    /// How long it lasts, in milliseconds; some faults have no span.
    #[serde(default)]
    pub for_ms: u64,
}

/// Kinds of faults, with what they apply to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// The store answers each call with 503.
    StoreOutage,
    /// The store is down for one failure domain's port only; its connections are refused.
    StoreCut {
        /// Failure domain.
        target: DomainName,
    },
    /// The store answers each call after `delay_ms`.
    StoreSlow {
        /// Time to answer, in milliseconds.
        delay_ms: u64,
    },
    /// The store loses a share of the calls before they run.
    StoreLosesCalls {
        /// Share, in percent.
        percent: u8,
    },
    /// The store loses a share of its answers after the calls ran.
    StoreLosesAnswers {
        /// Share, in percent.
        percent: u8,
    },
    /// The store takes a copy of its values.
    StoreCopy,
    /// The store goes back to the copy taken last.
    StoreRestore,
    /// The store ends all waiting watches with a cut connection.
    StoreDropsWatches,
    /// An engine crashes and boots again after the span.
    EngineCrash {
        /// Server.
        target: ServerName,
    },
    /// An engine stands still.
    EngineStall {
        /// Server.
        target: ServerName,
    },
    /// An engine's steps take `factor` times as long.
    EngineSlow {
        /// Server.
        target: ServerName,
        /// Factor, at least 1.
        factor: u32,
    },
    /// An engine refuses new runs as full.
    EngineFull {
        /// Server.
        target: ServerName,
    },
    /// An engine leaves out the last layer of its range.
    EngineSkipsLayer {
        /// Server.
        target: ServerName,
    },
    /// An engine sends frames into other requests' streams as well.
    EngineCrossesFrames {
        /// Server.
        target: ServerName,
    },
    /// A backend server is leaving; with a span of 0, for good.
    ServerLeaves {
        /// Server.
        target: ServerName,
    },
    /// The links of an engine, or the one to `peer`, take `us` microseconds one way.
    LinkSlow {
        /// Server.
        target: ServerName,
        /// Other end; every other engine when left out.
        #[serde(default)]
        peer: Option<ServerName>,
        /// One-way delay, in microseconds.
        us: u32,
    },
    /// The links between a failure domain's engines and all others are cut.
    DomainCut {
        /// Failure domain.
        target: DomainName,
    },
    /// A plain service's server refuses connections.
    ServiceRefuses {
        /// Server.
        target: ServerName,
    },
    /// A plain service's server takes `delay_ms` for each call.
    ServiceSlow {
        /// Server.
        target: ServerName,
        /// Time to execute, in milliseconds.
        delay_ms: u64,
    },
    /// A plain service's server executes calls and loses the answers.
    ServiceLosesAnswers {
        /// Server.
        target: ServerName,
    },
    /// A plain service's server loses calls before it executes them.
    ServiceLosesCalls {
        /// Server.
        target: ServerName,
    },
    /// All faults end.
    Heal,
}
