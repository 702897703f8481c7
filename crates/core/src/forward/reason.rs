//! The reasons for which attempts and requests end, as they appear in logs and metrics.

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

            /// Returns the text of the reason in logs and metrics.
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
    /// The reason for which an admitted request, or one of its attempts, ended.
    EndReason {
        /// The complete answer of a server was sent to the caller.
        Answered = "answered",
        /// The complete stream was sent to the caller.
        Streamed = "streamed",
        /// No server, or no chain, had capacity left.
        NoRoom = "no_room",
        /// The rank of the request is not admitted, since capacity is kept for more urgent ranks.
        RankRefused = "rank_refused",
        /// All servers, or all holders of a layer, have asked for a pause.
        AllPaused = "all_paused",
        /// The deadline or the timeout of the route passed.
        Deadline = "deadline",
        /// The connection to the server could not be opened.
        Connect = "connect",
        /// A kept-alive connection was closed before the request was sent.
        Closed = "closed",
        /// The connection broke before the head of an answer arrived.
        Broken = "broken",
        /// The server sent nothing for too long, before the head of an answer arrived.
        Silent = "silent",
        /// The server sent nothing for too long, within its stream.
        StreamSilent = "stream_silent",
        /// The server states that it did not run the request.
        Declined = "declined",
        /// Another host, to which the request was passed, refused it.
        HostDeclined = "host_declined",
        /// The answer belongs to another request.
        OtherAnswer = "other_answer",
        /// The answer changes the protocol of the connection, which no request asks for.
        ProtocolChange = "protocol_change",
        /// A success response has no signature of the server, or has a content encoding.
        Unsealed = "unsealed",
        /// An error response has no signature of the server.
        UnsealedFailure = "unsealed_failure",
        /// The body of the answer ended early.
        BodyBroken = "body_broken",
        /// The server answered with an error of its own.
        ServerError = "server_error",
        /// The stream ended early.
        StreamBroken = "stream_broken",
        /// An event of the stream does not follow the one before it.
        StreamOrder = "stream_order",
        /// An event of the stream is too long, or the memory budget has no room for it.
        EventTooLong = "event_too_long",
        /// The stream ended inside an event.
        StreamPart = "stream_part",
        /// The answer is not the rest of the stream that has begun.
        NotTheRest = "not_the_rest",
        /// A part of the prompt, or the request itself, crashes servers.
        Quarantined = "quarantined",
        /// The host was told to stop, and its grace period is about to end.
        HostStopping = "host_stopping",
        /// The caller closed its connection.
        CallerGone = "caller_gone",
    }
}

reasons! {
    /// Why a host reads the store itself.
    FollowReason {
        /// It reads the store for its failure domain.
        Aggregator = "aggregator",
        /// It knows no host of its domain that reads the store.
        NoReader = "no_reader",
        /// No host has brought the changes that it has heard of.
        Behind = "behind",
    }
}

reasons! {
    /// Why an entry of the list of servers that can be read names no server to use.
    EntryFault {
        /// No server can listen on its address.
        Address = "address",
        /// A name in it is empty or too long.
        Name = "name",
    }
}

reasons! {
    /// How a host learned that a server is leaving, before the list of servers said so.
    LeavingSource {
        /// The server announced it in an answer to this host.
        Answer = "answer",
        /// Another host passed the announcement on.
        Host = "host",
    }
}

reasons! {
    /// How a host treats the pause that a server asks for.
    PauseKind {
        /// The pause lasts as long as the server asks for.
        AsAsked = "as_asked",
        /// The server asks for more than the longest pause, which it gets.
        Shortened = "shortened",
        /// What the server asks for is negative or no number; no pause begins.
        Unusable = "unusable",
    }
}

reasons! {
    /// The reason for which a request was rejected before admission.
    Rejection {
        /// A header field is invalid.
        Malformed = "malformed",
        /// The request has no id.
        Unnamed = "unnamed",
        /// No configuration is known yet.
        NoConfiguration = "no_configuration",
        /// Another host has passed the request on, which serves by a newer configuration.
        OlderConfiguration = "older_configuration",
        /// This configuration has no such route or key, and another host knows of newer changes.
        Behind = "behind",
        /// Too many requests that other hosts have passed on are in progress.
        TooManyRelayed = "too_many_relayed",
        /// No route matches the request.
        NoRoute = "no_route",
        /// The key is missing or belongs to no team.
        UnknownKey = "unknown_key",
        /// The body is longer than the limit.
        TooLarge = "too_large",
        /// The body did not arrive in time.
        BodyLate = "body_late",
        /// The body of the request ended early.
        BodyBroken = "body_broken",
        /// The memory budget had no room for the body in time.
        NoMemory = "no_memory",
        /// The body made too little progress while other requests needed its room.
        BodyStraggling = "body_straggling",
        /// The host is about to exit, and the request was still being read or waiting to be admitted.
        Stopping = "stopping",
    }
}
