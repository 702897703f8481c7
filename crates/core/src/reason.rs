//! Outcomes of requests, and the reasons for refusals, retries, dropped frames and link faults.
//!
//! Each reason has one counter; see `docs/EVENTS.md` and the operators' pages.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident => $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        pub enum $name {
            $($(#[$vdoc])* #[serde(rename = $text)] $variant,)*
        }

        impl $name {
            /// All variants, in the order of their counters.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the text used on the wire, in counters and in logs.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

reasons! {
    /// What the caller is told about whether its request has run.
    Outcome {
        /// The request was not run and will not be run under the same key.
        NotRun => "not_run",
        /// The request was run.
        Ran => "ran",
        /// The request may have been run; it is not repeated.
        Unknown => "unknown",
    }
}

reasons! {
    /// Reasons for refusing a request or ending it without a complete answer.
    RefusalReason {
        /// The request line, a header or the body is malformed.
        Malformed => "malformed",
        /// The body is not valid UTF-8.
        InvalidUtf8 => "invalid_utf8",
        /// The body is larger than the limit.
        BodyTooLarge => "body_too_large",
        /// The body did not arrive in time.
        ReadTimeout => "read_timeout",
        /// The path does not exist.
        NotFound => "not_found",
        /// The path does not accept this method.
        MethodNotAllowed => "method_not_allowed",
        /// No team has the presented key.
        UnknownTeam => "unknown_team",
        /// The model does not exist.
        UnknownModel => "unknown_model",
        /// The service or route does not exist.
        UnknownService => "unknown_service",
        /// The deadline header is not a positive number of milliseconds.
        BadDeadline => "bad_deadline",
        /// A route that is not repeatable was called without an idempotency key.
        MissingKey => "missing_key",
        /// The idempotency key is empty or too long.
        BadKey => "bad_key",
        /// The idempotency key was used before with a different request.
        KeyReused => "key_reused",
        /// The team is at its limit.
        TeamLimit => "team_limit",
        /// Too many requests wait for admission.
        QueueFull => "queue_full",
        /// The request could not finish before its deadline.
        DeadlineUnmeetable => "deadline_unmeetable",
        /// The deadline passed before the answer was complete.
        DeadlineExceeded => "deadline_exceeded",
        /// The host is at its limit of requests in flight.
        Overloaded => "overloaded",
        /// The host is stopping.
        Draining => "draining",
        /// No chain of backend servers covers all layers of the model.
        NoChain => "no_chain",
        /// No backend server of the service can take the request.
        NoServer => "no_server",
        /// The retry budget or the maximum number of attempts is used up.
        RetriesExhausted => "retries_exhausted",
        /// The request crashed backend servers and is quarantined.
        Quarantined => "quarantined",
        /// A call to the platform's store could not be sent or its answer was lost.
        StoreUnavailable => "store_unavailable",
        /// The store holds an older copy of the claims than the host has read before.
        StoreRestored => "store_restored",
        /// An earlier call under the same key was refused as not run, which is final.
        Tombstoned => "tombstoned",
        /// An earlier call under the same key has an unknown outcome.
        OutcomeUnknown => "outcome_unknown",
        /// The call has run under this key; its answer was too long to be stored.
        AnswerNotKept => "answer_not_kept",
        /// A byte was sent to the backend server, but no answer arrived.
        ServerFailed => "server_failed",
        /// No chain runs the model version that produced the answer's first tokens any more.
        VersionGone => "version_gone",
        /// The caller closed its connection.
        CallerGone => "caller_gone",
        /// The host has not received a configuration yet.
        NoConfiguration => "no_configuration",
    }
}

reasons! {
    /// Reasons for another attempt of a request.
    RetryReason {
        /// The connection was refused before a byte was sent.
        ConnectRefused => "connect_refused",
        /// The backend server was full or leaving and did not run the request.
        ServerFull => "server_full",
        /// A stage of the chain does not answer.
        StageLost => "stage_lost",
        /// The chain stopped producing tokens.
        Stalled => "stalled",
        /// The chain produced tokens more slowly than was expected of it.
        LinkDegraded => "link_degraded",
        /// A frame failed its checks.
        BadFrame => "bad_frame",
        /// The backend server has not loaded the expected layers or version.
        NotLoaded => "not_loaded",
        /// The stream ended without an end frame.
        Truncated => "truncated",
    }
}

reasons! {
    /// Reasons for dropping a frame of a token stream.
    FrameFault {
        /// The frame cannot be decoded.
        Malformed => "malformed",
        /// The frame belongs to another request.
        WrongRequest => "wrong_request",
        /// The frame belongs to an earlier attempt.
        OldAttempt => "old_attempt",
        /// The token has an index that was released before.
        Repeated => "repeated",
        /// The token skips an index.
        Gap => "gap",
        /// The receipt does not list every layer once and in order.
        Layers => "layers",
        /// A layer was run by a server that is not on the chain.
        WrongServer => "wrong_server",
        /// A layer was run with another version of the model.
        WrongVersion => "wrong_version",
        /// The count of the end frame differs from the number of tokens received.
        Count => "count",
        /// The digest of the end frame differs from that of the tokens received.
        Digest => "digest",
        /// The frame came after the end frame.
        AfterEnd => "after_end",
    }
}

reasons! {
    /// Reasons for refusing a connection or message between entry hosts.
    LinkFault {
        /// The other side did not prove that it has a shared key.
        Stranger => "stranger",
        /// The other side proved that it has a shared key but is not the host that was called.
        WrongHost => "wrong_host",
        /// The authentication tag of a body is not valid.
        BadTag => "bad_tag",
        /// The body is larger than the limit.
        Oversized => "oversized",
        /// The body cannot be decoded.
        Malformed => "malformed",
        /// The host has reached its limit of connections from other hosts.
        TooManyConnections => "too_many_connections",
    }
}
