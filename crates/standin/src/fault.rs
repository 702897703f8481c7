//! Faults that can be injected into the stand-ins.

use serde::Deserialize;
use serde::Serialize;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::ServerName;

/// A request to inject a fault for some time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FaultRequest {
    /// The fault.
    #[serde(flatten)]
    pub fault: Fault,
    /// The duration of the fault, in milliseconds; faults that happen at once ignore it.
    #[serde(default)]
    pub for_ms: u64,
}

/// A kind of fault with its target and parameters.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// The store answers each call with 503.
    StoreOutage,
    /// The store's port of one failure domain refuses connections and cuts the open ones.
    StoreCut {
        /// The failure domain.
        target: DomainName,
    },
    /// The store answers each call after at least `delay_ms`.
    StoreSlow {
        /// The time to answer, in milliseconds.
        delay_ms: u64,
    },
    /// The store drops a share of the calls before it executes them.
    StoreLosesCalls {
        /// The share, in percent.
        percent: u8,
    },
    /// The store executes all calls and drops a share of the answers.
    StoreLosesAnswers {
        /// The share, in percent.
        percent: u8,
    },
    /// The store takes a snapshot of its values.
    StoreCopy,
    /// The store returns to its latest snapshot.
    StoreRestore,
    /// The store closes the connections of all waiting watches.
    StoreDropsWatches,
    /// An engine crashes and starts again after the duration.
    EngineCrash {
        /// The name of the server.
        target: ServerName,
    },
    /// An engine stalls: it ends no steps and delays its answers to load report calls.
    EngineStall {
        /// The name of the server.
        target: ServerName,
    },
    /// An engine's steps take `factor` times as long.
    EngineSlow {
        /// The name of the server.
        target: ServerName,
        /// The factor; 0 counts as 1.
        factor: u32,
    },
    /// An engine refuses new runs because it is full.
    EngineFull {
        /// The name of the server.
        target: ServerName,
    },
    /// An engine skips the last layer of its range.
    EngineSkipsLayer {
        /// The name of the server.
        target: ServerName,
    },
    /// An engine sends each token frame also into the stream of another request.
    EngineCrossesFrames {
        /// The name of the server.
        target: ServerName,
    },
    /// A backend server is listed as leaving, and an engine then refuses new runs; with a duration
    /// of 0, until all faults end.
    ServerLeaves {
        /// The name of the server.
        target: ServerName,
    },
    /// All links of an engine, or only the one to `peer`, have a one-way delay of `us`
    /// microseconds.
    LinkSlow {
        /// The name of the server.
        target: ServerName,
        /// The engine at the other end; every other engine when absent.
        #[serde(default)]
        peer: Option<ServerName>,
        /// The one-way delay, in microseconds.
        us: u32,
    },
    /// The links between a failure domain's engines and all others are cut.
    DomainCut {
        /// The failure domain.
        target: DomainName,
    },
    /// A server of a plain service refuses new connections.
    ServiceRefuses {
        /// The name of the server.
        target: ServerName,
    },
    /// A server of a plain service takes `delay_ms` to execute each call.
    ServiceSlow {
        /// The name of the server.
        target: ServerName,
        /// The time to execute a call, in milliseconds.
        delay_ms: u64,
    },
    /// A server of a plain service executes calls and closes the connection without an answer.
    ServiceLosesAnswers {
        /// The name of the server.
        target: ServerName,
    },
    /// A server of a plain service closes the connection without executing the call.
    ServiceLosesCalls {
        /// The name of the server.
        target: ServerName,
    },
    /// All faults end at once.
    Heal,
}
