//! The closed set of randomised cases.
//!
//! To add a case: write `NAME_case.rs` with `pub fn run(seed: u64, trace: &mut Trace) ->
//! CaseResult`, declare the module in `main.rs`, and add one line to [`Case`] below. A case draws
//! all its choices from the seed and returns `Err` (or panics) when an invariant does not hold.

use std::panic::catch_unwind;
use std::panic::AssertUnwindSafe;

use crate::trace::Trace;

/// Result of one run: the invariant that was broken, in words.
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
    /// Claims: no call runs twice, and what callers are told is true.
    Claim => ("claim", crate::claim_case::run),
    /// Membership and observation.
    Fleet => ("fleet", crate::fleet_case::run),
    /// Quarantine: a poison request stops after two servers and innocent ones finish.
    Quarantine => ("quarantine", crate::quarantine_case::run),
    /// Operators, hosts and a store under faults: nothing accepted reverts.
    Config => ("config", crate::config_case::run),
    /// Orders: a model stays served while a version is rolled out.
    Orders => ("orders", crate::orders_case::run),
    /// Shares: the hosts together stay within twice a limit.
    Share => ("share", crate::share_case::run),
    /// Rendezvous hashing: a member's leaving moves only its own keys.
    Rendezvous => ("rendezvous", crate::rendezvous_case::run),
    /// Admission: limits, bounds, single verdicts, deadlines.
    Admit => ("admit", crate::admit_case::run),
    /// Routing: chains tile the layers with usable servers of one version.
    Route => ("route", crate::route_case::run),
    /// Retries: bounded by cap, budget and bytes that left.
    Retry => ("retry", crate::retry_case::run),
    /// Forwarding: runs, streams, chains and lists as callers are told.
    Forward => ("forward", crate::forward_case::run),
    /// Streams: an answer over failing chains stays whole, unmixed and final.
    Stream => ("stream", crate::stream_case::run),
}

/// A run that broke an invariant.
#[derive(Debug)]
pub struct Failure {
    /// The invariant, in words.
    pub text: String,
    /// The steps that led there.
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
    /// Returns the broken invariant; a panic inside the case counts as one.
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
