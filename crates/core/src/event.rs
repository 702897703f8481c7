//! Numbered log events; `docs/EVENTS.md` is their catalogue.

use std::fmt;

use log::Level;

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// A numbered log event.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Event {
            $($(#[$doc])* $name,)*
        }

        impl Event {
            /// All events, in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the number, which never changes its meaning.
            pub fn number(self) -> u16 {
                match self {
                    $(Self::$name => $number,)*
                }
            }

            /// Returns the level at which the event is logged.
            pub fn level(self) -> Level {
                match self {
                    $(Self::$name => Level::$level,)*
                }
            }

            /// Returns the constant part of the message.
            pub fn text(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

events! {
    /// The entry host serves callers.
    HostStarted = 1001, Info, "entry host started";
    /// The entry host accepts no new requests and finishes those in flight.
    HostDraining = 1002, Info, "entry host is draining";
    /// The entry host has stopped.
    HostStopped = 1003, Info, "entry host stopped";
    /// A request was refused.
    RequestRefused = 1101, Info, "request refused";
    /// A request was answered completely.
    RequestAnswered = 1102, Debug, "request answered";
    /// An answer that had begun was ended before it was complete.
    AnswerGivenUp = 1103, Warn, "answer given up";
    /// An attempt failed and another one follows.
    AttemptRetried = 1201, Info, "attempt retried";
    /// A frame failed its checks.
    FrameDropped = 1202, Warn, "frame dropped";
    /// A configuration was adopted.
    ConfigAdopted = 1301, Info, "configuration adopted";
    /// The store holds a configuration with a lower number than the one adopted.
    StoreConfigOlder = 1302, Error, "store shows an older configuration";
    /// A configuration failed its checks and was not adopted.
    ConfigInvalid = 1303, Error, "configuration is invalid";
    /// The store or a peer has another configuration with the number of the one adopted.
    ConfigNumberConflict = 1304, Error, "another configuration has the same number";
    /// The store or a peer sent a chunk whose bytes do not match its digest.
    ConfigBadChunk = 1305, Error, "chunk of a configuration has other bytes";
    /// The entry host has the lease to give orders to the servers of its failure domain.
    IssuerStarted = 1311, Info, "order issuer started";
    /// A backend server has accepted an order.
    OrderTaken = 1312, Info, "order taken";
    /// Calls of an entry host to the store fail.
    StoreNotAnswering = 1401, Warn, "store does not answer";
    /// Calls of an entry host to the store succeed again.
    StoreAnswersAgain = 1402, Info, "store answers again";
    /// A caller's connection failed before a complete request arrived.
    CallerConnection = 1501, Debug, "caller connection failed";
    /// It is not known whether a claimed call has run.
    OutcomeUnknown = 1601, Warn, "outcome of a claimed call is unknown";
    /// The store holds an older copy of a slot of claims; the newer records are written back.
    ClaimsRestored = 1602, Error, "store shows an older copy of claims";
    /// A stored slot of claims cannot be decoded; it answers no call until it is repaired.
    ClaimsDamaged = 1603, Error, "claims cannot be read";
    /// The gateway process serves callers.
    GatewayStarted = 2001, Info, "gateway started";
    /// The gateway process received a request to stop.
    GatewayStopping = 2002, Info, "gateway is stopping";
    /// The gateway process has stopped.
    GatewayStopped = 2003, Info, "gateway stopped";
    /// The settings were read again, after a change or on request.
    SettingsReloaded = 2004, Info, "settings reloaded";
    /// The changed settings cannot be read; the previous ones stay in use.
    SettingsRejected = 2005, Warn, "settings rejected";
    /// The gateway process is about to exit; requests in progress get their final answer.
    GatewayAnswering = 2006, Info, "gateway answers what is in progress";
    /// A loop of the gateway process has panicked and is begun anew.
    LoopPanicked = 2007, Error, "loop panicked";
    /// A request is sent to a server.
    RequestSent = 2101, Info, "request sent";
    /// An attempt ended without a usable answer.
    AttemptEnded = 2102, Info, "attempt ended";
    /// A request has received its final answer.
    RequestDone = 2103, Info, "request done";
    /// A caller closed its connection before its answer was complete.
    CallerLeft = 2104, Info, "caller left";
    /// A request was refused before it was sent to a server.
    RequestTurnedAway = 2105, Info, "request turned away";
    /// A request continues on other servers.
    RequestMoved = 2106, Info, "request moved";
    /// A server reports that it did not run a request.
    RequestDeclined = 2107, Info, "request declined";
    /// An answer that had begun ended before it was complete.
    AnswerBrokenOff = 2108, Warn, "answer broken off";
    /// A request is refused or not sent again, since one of its fingerprints crashes servers.
    RequestQuarantined = 2109, Info, "request quarantined";
    /// A request is passed to another host, since this one reaches no server for it or may send
    /// nothing to any.
    RequestPassedOn = 2110, Info, "request passed on";
    /// The process exits, or the task of a request panics, while the request has no final answer.
    RequestAbandoned = 2111, Warn, "request abandoned";
    /// An answer that does not name the message that it follows on its connection.
    AnswerUnnamed = 2112, Info, "answer without the id of its request";
    /// A request is refused, since capacity is kept for more urgent ranks.
    RankRefused = 2115, Info, "rank refused";
    /// The gateway process has no room left for one kind of buffered bytes.
    MemoryExhausted = 2121, Warn, "memory budget exhausted";
    /// The gateway process has room again for this kind of buffered bytes.
    MemoryRegained = 2122, Info, "memory budget has room again";
    /// Connections were closed or not taken, since all places were in use.
    ConnectionsClosed = 2123, Warn, "connections closed for others";
    /// A server is suspected to be lost or faulty.
    ServerSuspected = 2201, Warn, "server suspected";
    /// A server is not suspected any more.
    ServerCleared = 2202, Info, "server cleared";
    /// An entry of the list of servers changed.
    ServerListChanged = 2203, Info, "server list changed";
    /// An entry of the store or of a list cannot be used.
    EntryRejected = 2204, Warn, "entry rejected";
    /// A server has announced that it is leaving, before the list of servers says so.
    ServerLeaving = 2205, Info, "server leaving";
    /// A server has turned a request away and asked for a pause.
    ServerPaused = 2206, Info, "server paused";
    /// A server has asked for a pause that is too long, negative or no number.
    PauseNotFollowed = 2207, Warn, "pause not followed";
    /// A server refuses connections right after it broke one with a request in flight.
    ServerCrashed = 2208, Warn, "server crashed";
    /// A fingerprint explains several crashes; requests with it are refused.
    QuarantineBegan = 2209, Warn, "quarantine began";
    /// A fingerprint no longer explains crashes; requests with it are served.
    QuarantineEnded = 2210, Info, "quarantine ended";
    /// This host's links to a server that other hosts hear are cut.
    LinkCut = 2211, Warn, "link to a server is cut";
    /// This host reaches a server again.
    LinkRestored = 2212, Info, "link to a server is restored";
    /// A server that was said to have crashed still answers some host.
    CrashRefuted = 2213, Info, "crash refuted";
    /// A server names how many requests it takes from all hosts together.
    ServerLimited = 2214, Info, "server limited";
    /// A server names no rate any more.
    ServerLimitEnded = 2215, Info, "server limit ended";
    /// A server names a rate that is negative or no number.
    LimitNotFollowed = 2216, Warn, "server limit not followed";
    /// The host has used up its share of the link between failure domains.
    CrossingsExhausted = 2220, Info, "allowance for domain crossings exhausted";
    /// The host has its whole allowance for domain crossings.
    CrossingsAvailable = 2221, Info, "allowance for domain crossings available";
    /// A version of the configuration was adopted.
    VersionAdopted = 2301, Info, "version adopted";
    /// A version of the configuration older than the adopted one was ignored.
    OlderVersionIgnored = 2302, Warn, "older version ignored";
    /// Another host has served a request of this one by a newer version of the configuration.
    NewerVersionUsed = 2303, Info, "newer version used";
    /// Calls of a gateway to the store fail.
    StoreLost = 2401, Warn, "store lost";
    /// Calls of a gateway to the store succeed again.
    StoreRegained = 2402, Info, "store regained";
    /// The store has come back from an older copy of its data.
    StoreRestored = 2403, Warn, "store restored";
    /// The gateway host has begun to read the store itself.
    StoreFollowed = 2404, Info, "store followed";
    /// The gateway host no longer reads the store itself.
    StoreUnfollowed = 2405, Info, "store no longer followed";
    /// Another gateway host of the same failure domain was heard, for the first time or again.
    PeerFound = 2501, Info, "peer found";
    /// Another gateway host has not been heard from for longer than the timeout.
    PeerLost = 2502, Info, "peer lost";
    /// Changes of the configuration and the servers were fetched from another gateway host.
    ChangesFetched = 2503, Info, "changes fetched";
    /// Another gateway host that has newer changes did not pass them on.
    ChangesUnavailable = 2504, Info, "changes unavailable";
    /// The gateway host collects reports and follows the store for its failure domain.
    AggregatorBegan = 2505, Info, "aggregator began";
    /// The gateway host no longer collects reports and follows the store for its failure domain.
    AggregatorEnded = 2506, Info, "aggregator ended";
    /// An aggregator has sent no digest in time; another one is used.
    AggregatorAvoided = 2507, Info, "aggregator avoided";
    /// A host that is busy sending changes names another one that has them.
    ChangesReferred = 2511, Info, "changes referred";
    /// A message of another host cannot be read: it is of a release that this one does not understand.
    MessageUnreadable = 2510, Warn, "message unreadable";
    /// Another failure domain was heard of, for the first time or again.
    DomainFound = 2508, Info, "failure domain found";
    /// Nothing was heard of another failure domain for the timeout.
    DomainLost = 2509, Warn, "failure domain lost";
    /// The gateway host has begun to give orders to model servers.
    IssuerBegan = 2601, Info, "issuer began";
    /// The gateway host has ceased to give orders.
    IssuerEnded = 2602, Info, "issuer ended";
    /// An order was sent.
    OrderSent = 2603, Info, "order sent";
    /// Other ranks of the requests of a service are admitted than before.
    LevelChanged = 2710, Info, "admitted rank changed";
}

/// Logs `event` with its number and `details`.
pub fn emit(event: Event, details: fmt::Arguments<'_>) {
    log::log!(
        target: "yuccanotch",
        event.level(),
        event = event.number();
        "{}: {details}",
        event.text()
    );
}
