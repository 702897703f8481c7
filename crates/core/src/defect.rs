//! Deliberate faults in the decision modules, to prove that the randomised tests detect them.
//!
//! The faults are compiled only for tests and with the feature `planted-defects`; otherwise
//! [`planted`] expands to `false`.

#[cfg(any(test, feature = "planted-defects"))]
mod switch {
    use std::cell::Cell;

    macro_rules! defects {
        ($($(#[$doc:meta])* $variant:ident => $text:literal,)*) => {
            /// A deliberate fault; each variant names the faulty behaviour.
            #[derive(Clone, Copy, Debug, Eq, PartialEq)]
            pub enum Defect {
                $($(#[$doc])* $variant,)*
            }

            impl Defect {
                /// All deliberate faults.
                pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

                /// Returns the name of the fault on the command line.
                pub fn as_str(self) -> &'static str {
                    match self {
                        $(Self::$variant => $text,)*
                    }
                }
            }
        };
    }

    defects! {
        /// A membership update is applied although a newer one is known.
        AcceptStaleMember => "accept-stale-member",
        /// The reports of observers that a server is leaving are ignored.
        IgnoreSpreadLeaving => "ignore-spread-leaving",
        /// The host that divides a team's limit grants all of it although it reaches only a part of
        /// the hosts.
        UnscaledShares => "unscaled-shares",
        /// A server is ordered to load although too few others would serve its layers meanwhile.
        OrderWithoutRangeCheck => "order-without-range-check",
        /// A host adopts a configuration with a lower number.
        AdoptLowerNumber => "adopt-lower-number",
        /// A host accepts a chunk without checking its digest.
        AdoptUncheckedChunk => "adopt-unchecked-chunk",
        /// A host dispatches a call before its claim is in the store.
        DispatchBeforeClaim => "dispatch-before-claim",
        /// A host reports a claim as abandoned although the claim may still be granted to it.
        AbandonedWhileClaiming => "abandoned-while-claiming",
        /// A claim replaces the claim of another process.
        ClaimOverClaim => "claim-over-claim",
        /// A refusal record replaces the claim of another process.
        TombstoneOverClaim => "tombstone-over-claim",
        /// A caller is told that its call was not run although no record says so.
        NotRunWithoutTombstone => "not-run-without-tombstone",
        /// The claim of a process that has ended is taken over and its call is run again.
        ReclaimFromGoneHolder => "reclaim-from-gone-holder",
        /// A slot answers the operations of a batch before the store confirms the write.
        ReplyBeforeCommit => "reply-before-commit",
        /// A host takes over a slot without reading its sealed segments.
        TakeoverWithoutSegments => "takeover-without-segments",
        /// A slot that finds an older copy of itself in the store discards the newer records.
        RestoreWithoutRepair => "restore-without-repair",
        /// Suspect requests run on the same backend server.
        SuspectsShareServers => "suspects-share-servers",
        /// A request is quarantined at its first crash.
        ConvictOnFirstCrash => "convict-on-first-crash",
        /// A success does not refute that a part of its prompt crashes servers.
        PartNotRefuted => "part-not-refuted",
        /// Each part in flight at enough crashes is quarantined, whatever else explains them.
        PartUnexplained => "part-unexplained",
        /// Hosts do not apply what others report about crashes.
        CrashNoticeIgnored => "crash-notice-ignored",
        /// A call that may not be repeated is retried although a byte was sent.
        RetryAfterByteLeft => "retry-after-byte-left",
        /// An aggregator counts as a reader of the store for as long as it says so, however long ago the
        /// store last answered it.
        PeeringTrustsReader => "peering-trusts-reader",
        /// Retries are allowed beyond the retry budget.
        RetryWithoutBudget => "retry-without-budget",
        /// A server that is leaving gets new work.
        LeavingServerUsed => "leaving-server-used",
        /// The end of one of the host's own runs is not subtracted from a server's load.
        OwnEndForgotten => "own-end-forgotten",
        /// A waiting request is admitted although its deadline cannot be met any more.
        LateAdmission => "late-admission",
        /// A frame of an earlier attempt is accepted as one of the latest attempt.
        OldAttemptAccepted => "old-attempt-accepted",
        /// The layer receipts of token frames are not checked.
        ReceiptUnchecked => "receipt-unchecked",
        /// A resumed attempt receives one token less than was released to the caller.
        ResumeOffByOne => "resume-off-by-one",
        /// The token count of the end frame is not checked.
        EndCountUnchecked => "end-count-unchecked",
        /// The digest of the end frame is not checked.
        EndDigestUnchecked => "end-digest-unchecked",
        /// The older report of a host replaces its newer one.
        PeeringOlderReport => "peering-older-report",
        /// A host counts its own load as that of other hosts.
        PeeringCountsOwnLoad => "peering-counts-own-load",
        /// An aggregator names hosts that it has not heard itself.
        PeeringHearsay => "peering-hearsay",
        /// A host keeps an aggregator that sends no digests.
        PeeringKeepsSilentAggregator => "peering-keeps-silent-aggregator",
        /// A host that is behind asks no second source beside one that does not answer.
        CatchUpAsksOneSource => "catch-up-asks-one-source",
        /// A source from which a fetch failed is asked again at once.
        CatchUpForgetsFailures => "catch-up-forgets-failures",
        /// A host sends large answers to all that ask at the same time.
        CatchUpServesAllAtOnce => "catch-up-serves-all-at-once",
        /// A host that was heard stopping is not taken back as an aggregator after its restart.
        PeeringKeepsStopping => "peering-keeps-stopping",
        /// An older change of an item replaces a newer one.
        ItemLogOlderChange => "item-log-older-change",
        /// Changes between hosts leave out removed items.
        ItemLogOmitsRemovals => "item-log-omits-removals",
        /// A host takes a server that others hear for lost, not its own links for cut.
        ReachabilityIgnoresOthers => "reachability-ignores-others",
        /// A forwarded request that may have run is sent again although it must run only once.
        ForwardRepeatAfterRun => "forward-repeat-after-run",
        /// A caller is told that a forwarded request was not run although it may have been.
        ForwardRefuseAfterRun => "forward-refuse-after-run",
        /// A forwarded request goes to more servers than its route allows.
        ForwardBeyondBound => "forward-beyond-bound",
        /// An event that the caller has received is forwarded to it again.
        ForwardEventTwice => "forward-event-twice",
        /// A chain that leaves out layers is accepted as complete.
        ChainWithGap => "chain-with-gap",
        /// The entry of a leaving server that no longer exists is kept after a store outage.
        LeavingEntryKept => "leaving-entry-kept",
        /// A server that has announced that it is leaving gets new work after its entry is read again.
        LeavingForgottenOnReload => "leaving-forgotten-on-reload",
        /// A server's request for a shorter pause ends a longer one early.
        PauseCutShort => "pause-cut-short",
        /// Each host sends a server the whole rate that it names.
        LimitNotDivided => "limit-not-divided",
        /// The rate that a server named is kept although its answers name none any more.
        LimitNeverEnds => "limit-never-ends",
        /// A host that learns of a rate may send many requests at once.
        LimitBucketStartsFull => "limit-bucket-starts-full",
        /// Requests that are sent do not count against the rate of a server.
        LimitUncounted => "limit-uncounted",
        /// Revisions of the store are compared without the era.
        RevisionWithoutEra => "revision-without-era",
        /// The older copy of a restored store replaces what is known of servers at once.
        OlderCopyAdopted => "older-copy-adopted",
        /// An answer may change the model version after its first token.
        VersionUnpinned => "version-unpinned",
    }

    thread_local! {
        static PLANTED: Cell<Option<Defect>> = const { Cell::new(None) };
    }

    /// Activates one fault for the current thread, or none.
    pub fn plant(defect: Option<Defect>) {
        PLANTED.set(defect);
    }

    /// Returns whether `defect` is active for the current thread.
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

/// Returns whether the named variant of [`Defect`] is active.
#[cfg(any(test, feature = "planted-defects"))]
macro_rules! planted {
    ($variant:ident) => {
        crate::defect::is_planted(crate::defect::Defect::$variant)
    };
}

/// Returns `false`, because the deliberate faults are not compiled in.
#[cfg(not(any(test, feature = "planted-defects")))]
macro_rules! planted {
    ($variant:ident) => {
        false
    };
}

pub(crate) use planted;
