//! Errors of calls to peers.

use quick_error::quick_error;

quick_error! {
    /// An error of a call to a peer.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum PeerError {
        /// The peer's address is not known; nothing was sent.
        UnknownHost {
            display("the peer's address is not known")
        }
        /// No connection could be made, or the backoff after a failed connection is not over;
        /// nothing was sent.
        Unreachable {
            display("the peer cannot be reached")
        }
        /// The peer did not prove a shared key and the expected host name; nothing was sent.
        Unauthenticated {
            display("the peer did not prove a shared key and the expected host name")
        }
        /// The request exceeds the limit; nothing was sent.
        TooLarge {
            display("the request is larger than a peer accepts")
        }
        /// No reply came in time; the peer may have served the request.
        TimedOut {
            display("the peer did not reply in time")
        }
        /// The connection broke; the peer may have served the request.
        Lost {
            display("the connection broke before the reply")
        }
        /// The peer refused the body, or its reply was oversized, malformed or had a wrong tag; the
        /// peer may have served the request.
        BadReply {
            display("the peer sent an error status or an invalid reply")
        }
    }
}

impl PeerError {
    /// Returns whether the request left this host, so that the peer may have served it.
    pub fn was_sent(self) -> bool {
        matches!(self, Self::TimedOut | Self::Lost | Self::BadReply)
    }
}
