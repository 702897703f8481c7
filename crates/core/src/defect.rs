//! Deliberate faults in the decision modules, which show that the randomised runs can fail.
//!
//! They are compiled only for tests and with the feature `planted-defects`; elsewhere
//! [`planted`] is the constant `false`.

#[cfg(any(test, feature = "planted-defects"))]
mod switch {
    use std::cell::Cell;

    macro_rules! defects {
        ($($(#[$doc:meta])* $variant:ident => $text:literal,)*) => {
            /// A deliberate fault.
            #[derive(Clone, Copy, Debug, Eq, PartialEq)]
            pub enum Defect {
                $($(#[$doc])* $variant,)*
            }

            impl Defect {
                /// All deliberate faults.
                pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

                /// Returns the text that names the fault on the command line.
                pub fn as_str(self) -> &'static str {
                    match self {
                        $(Self::$variant => $text,)*
                    }
                }
            }
        };
    }

    defects! {
        /// A member update is taken although a newer one is known.
        AcceptStaleMember => "accept-stale-member",
        /// What observers say of a leaving server is not taken.
        IgnoreSpreadLeaving => "ignore-spread-leaving",
        /// The home of a team hands out the whole limit although it sees a part of the hosts.
        UnscaledShares => "unscaled-shares",
        /// A server is ordered to load although its layers would not stay served.
        OrderWithoutRangeCheck => "order-without-range-check",
        /// A host adopts a configuration with a lower number.
        AdoptLowerNumber => "adopt-lower-number",
        /// A host takes a chunk without checking its digest.
        AdoptUncheckedChunk => "adopt-unchecked-chunk",
        /// The host dispatches before its claim is in the store.
        DispatchBeforeClaim => "dispatch-before-claim",
        /// The host calls a claim abandoned that it may still be granted.
        AbandonedWhileClaiming => "abandoned-while-claiming",
        /// A claim replaces the claim of another process.
        ClaimOverClaim => "claim-over-claim",
        /// A refusal replaces the claim of another process.
        TombstoneOverClaim => "tombstone-over-claim",
        /// A caller is told "not run" without a record.
        NotRunWithoutTombstone => "not-run-without-tombstone",
        /// The claim of a process that is gone is taken over and run again.
        ReclaimFromGoneHolder => "reclaim-from-gone-holder",
        /// A slot answers its batch before the write is confirmed.
        ReplyBeforeCommit => "reply-before-commit",
        /// A slot is taken over without its sealed segments.
        TakeoverWithoutSegments => "takeover-without-segments",
        /// A slot that finds an older copy in the store forgets what it knew.
        RestoreWithoutRepair => "restore-without-repair",
        /// Suspects share a backend server.
        SuspectsShareServers => "suspects-share-servers",
        /// A request is quarantined at its first crash.
        ConvictOnFirstCrash => "convict-on-first-crash",
        /// A call that may not be repeated is retried although a byte left.
        RetryAfterByteLeft => "retry-after-byte-left",
        /// Retries are granted beyond the budget.
        RetryWithoutBudget => "retry-without-budget",
        /// A server that is leaving gets new work.
        LeavingServerUsed => "leaving-server-used",
        /// The end of an own run is not counted.
        OwnEndForgotten => "own-end-forgotten",
        /// A waiting request is admitted although it would be late.
        LateAdmission => "late-admission",
        /// A frame of an earlier attempt is taken as one of the latest.
        OldAttemptAccepted => "old-attempt-accepted",
        /// Layer receipts are not checked.
        ReceiptUnchecked => "receipt-unchecked",
        /// A resumed attempt is told one token less than was released.
        ResumeOffByOne => "resume-off-by-one",
        /// The closing frame's count is not checked.
        EndCountUnchecked => "end-count-unchecked",
        /// The closing frame's digest is not checked.
        EndDigestUnchecked => "end-digest-unchecked",
        /// A forwarded request that may have run is sent once more although it must run once.
        ForwardRepeatAfterRun => "forward-repeat-after-run",
        /// A caller is told that a forwarded request has not run although it may have.
        ForwardRefuseAfterRun => "forward-refuse-after-run",
        /// A forwarded request goes to more servers than its route allows.
        ForwardBeyondBound => "forward-beyond-bound",
        /// An event that the caller has is passed on once more.
        ForwardEventTwice => "forward-event-twice",
        /// A chain that leaves out layers is taken as whole.
        ChainWithGap => "chain-with-gap",
        /// An entry of a leaving server that is gone is kept after the store was away.
        LeavingEntryKept => "leaving-entry-kept",
        /// An answer may change the model version after its first token.
        VersionUnpinned => "version-unpinned",
    }

    thread_local! {
        static PLANTED: Cell<Option<Defect>> = const { Cell::new(None) };
    }

    /// Switches one fault on for the current thread, or all off.
    pub fn plant(defect: Option<Defect>) {
        PLANTED.set(defect);
    }

    /// Returns whether `defect` is switched on for the current thread.
    pub fn is_planted(defect: Defect) -> bool {
        PLANTED.get() == Some(defect)
    }
}

#[cfg(any(test, feature = "planted-defects"))]
pub use switch::is_planted;
#[cfg(any(test, feature = "planted-defects"))]
pub use switch::plant;
#[cfg(any(test, feature = "planted-defects"))]
pub use switch::Defect;

/// Returns whether the named member of [`Defect`] is switched on.
#[cfg(any(test, feature = "planted-defects"))]
macro_rules! planted {
    ($variant:ident) => {
        crate::defect::is_planted(crate::defect::Defect::$variant)
    };
}

/// Returns `false`.
#[cfg(not(any(test, feature = "planted-defects")))]
macro_rules! planted {
    ($variant:ident) => {
        false
    };
}

pub(crate) use planted;
