//! List of the randomised cases.
//!
//! To add a case: write `NAME_case.rs` with `pub fn run(seed: u64, trace: &mut Trace) ->
//! CaseResult`, declare the module in `main.rs`, and add one line to [`Case`] below. A case draws
//! all its choices from the seed and returns `Err` (or panics) when an invariant does not hold.

use std::panic::catch_unwind;
use std::panic::AssertUnwindSafe;

use crate::trace::Trace;

/// Result of one run; the error describes the invariant that was violated.
pub type CaseResult = Result<(), String>;

macro_rules! cases {
    ($($(#[$doc:meta])* $variant:ident => ($text:literal, $run:path),)*) => {
        /// A randomised case.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Case {
            $($(#[$doc])* $variant,)*
        }

        impl Case {
            /// All cases.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the name on the command line.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }

            fn run(self, seed: u64, trace: &mut Trace) -> CaseResult {
                match self {
                    $(Self::$variant => $run(seed, trace),)*
                }
            }
        }
    };
}

cases! {
    /// Claims: no call runs twice, and the responses to callers are true.
    Claim => ("claim", crate::claim_case::run),
    /// Membership: views never become older and converge after faults.
    Fleet => ("fleet", crate::fleet_case::run),
    /// Quarantine: a poison request crashes at most two servers, and harmless requests finish.
    Quarantine => ("quarantine", crate::quarantine_case::run),
    /// Prompt parts: one that crashes servers is found and refused, and sound ones are not.
    PromptPart => ("prompt-part", crate::prompt_part_case::run),
    /// Crashing requests: one that its caller repeats at all hosts is found and refused.
    CrashingRequest => ("crashing-request", crate::crashing_request_case::run),
    /// Crashing requests in an outage: several at once, while hardly anything succeeds.
    CrashingInOutage => ("crashing-in-outage", crate::crashing_request_case::run_in_outage),
    /// Reachability: cut links are told from lost servers, and nobody takes one for the other.
    Reachability => ("reachability", crate::reachability_case::run),
    /// Rates that servers name: all hosts together keep to them, and use most of them.
    ServerLimit => ("server-limit", crate::server_limit_case::run),
    /// Configuration: hosts adopt only accepted configurations, never an older one, and converge.
    Config => ("config", crate::config_case::run),
    /// Orders: all layers of a model stay served while a version is rolled out.
    Orders => ("orders", crate::orders_case::run),
    /// Shares: all hosts together admit at most twice a team's limit.
    Share => ("share", crate::share_case::run),
    /// Rendezvous hashing: removing a member moves only the keys assigned to it.
    Rendezvous => ("rendezvous", crate::rendezvous_case::run),
    /// Admission: limits, queue bounds, one decision per request, deadlines.
    Admit => ("admit", crate::admit_case::run),
    /// Routing: chains cover each layer once with usable servers of one version.
    Route => ("route", crate::route_case::run),
    /// Retries: bounded by attempts and budget, and no repeat of a call that may have run.
    Retry => ("retry", crate::retry_case::run),
    /// Forwarding: responses match the runs at the servers; chains and the server list are valid.
    Forward => ("forward", crate::forward_case::run),
    /// Peering: hosts count each other, choose aggregators and see each other's work.
    Peering => ("peering", crate::peering_case::run),
    /// Catch-up: a large change reaches all hosts in time, over whatever links.
    CatchUp => ("catch-up", crate::catch_up_case::run),
    /// Readers of the store: hosts whose readers lose it silently read it themselves in time.
    Readers => ("readers", crate::readers_case::run),
    /// Item log: hosts that read from the store and from each other never go back and converge.
    ItemLog => ("item-log", crate::item_log_case::run),
    /// Streams: an answer over failing chains is complete, of one model version and final.
    Stream => ("stream", crate::stream_case::run),
}

/// Run that violated an invariant.
#[derive(Debug)]
pub struct Failure {
    /// Description of the violated invariant.
    pub text: String,
    /// Steps of the run.
    pub trace: Trace,
}

impl Case {
    /// Returns the case with the given name.
    pub fn by_name(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|case| case.name() == name)
    }

    /// Runs the case once.
    ///
    /// # Errors
    ///
    /// Returns the violated invariant; a panic inside the case counts as a violation.
    pub fn check(self, seed: u64) -> Result<(), Failure> {
        let mut trace = Trace::default();
        let outcome = catch_unwind(AssertUnwindSafe(|| self.run(seed, &mut trace)));
        let text = match outcome {
            Ok(Ok(())) => return Ok(()),
            Ok(Err(text)) => text,
            Err(panic) => panic_text(panic.as_ref()),
        };
        Err(Failure { text, trace })
    }
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    if let Some(text) = panic.downcast_ref::<String>() {
        return text.clone();
    }
    panic.downcast_ref::<&str>().map_or_else(|| "panic".to_owned(), |text| (*text).to_owned())
}
