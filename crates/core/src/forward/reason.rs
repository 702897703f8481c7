//! Why attempts and requests end as they do: the words of logs and counters.

macro_rules! reasons {
    ($(#[$doc:meta])* $type:ident { $($(#[$variant:meta])* $name:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum $type {
            $($(#[$variant])* $name,)*
        }

        impl $type {
            /// All reasons.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the word of the reason.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }

        impl std::fmt::Display for $type {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

reasons! {
    /// Why a request that was let in, or one of its attempts, ended.
    EndReason {
        /// The server's whole answer went to the caller.
        Answered = "answered",
        /// The whole stream went to the caller.
        Streamed = "streamed",
        /// No server, or no chain, had room.
        NoRoom = "no_room",
        /// The deadline or the route's timeout came first.
        Deadline = "deadline",
        /// No connection to the server came about.
        Connect = "connect",
        /// A kept connection was closed before the request was written.
        Closed = "closed",
        /// The connection broke before the head of an answer.
        Broken = "broken",
        /// The server was lost before the head of an answer.
        Silent = "silent",
        /// The server was lost within its stream.
        StreamSilent = "stream_silent",
        /// The server states that it did not run the request.
        Declined = "declined",
        /// The answer is that of another request.
        OtherAnswer = "other_answer",
        /// A success bears no signature, or an encoding.
        Unsealed = "unsealed",
        /// A failure bears no signature.
        UnsealedFailure = "unsealed_failure",
        /// The body broke off.
        BodyBroken = "body_broken",
        /// The server answered with a failure of its own.
        ServerError = "server_error",
        /// The stream broke off.
        StreamBroken = "stream_broken",
        /// An event of the stream does not follow the one before.
        StreamOrder = "stream_order",
        /// The stream ended inside an event.
        StreamPart = "stream_part",
        /// The caller left.
        CallerGone = "caller_gone",
    }
}

reasons! {
    /// Why a request was turned away before it was let in.
    Rejection {
        /// A head field cannot be read.
        Malformed = "malformed",
        /// No configuration is known yet.
        NoConfiguration = "no_configuration",
        /// No route matches.
        NoRoute = "no_route",
        /// The key is missing or names no team.
        UnknownKey = "unknown_key",
        /// The body is longer than allowed.
        TooLarge = "too_large",
        /// The body did not come in time.
        BodyLate = "body_late",
        /// The body broke off.
        BodyBroken = "body_broken",
    }
}
