//! Why a call to a peer did not succeed.

use quick_error::quick_error;

quick_error! {
    /// Why a call to a peer did not succeed.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum PeerError {
        /// The peer's address is not known; nothing was sent.
        UnknownHost {
            display("the peer's address is not known")
        }
        /// No connection could be made, or none is tried yet; nothing was sent.
        Unreachable {
            display("the peer cannot be reached")
        }
        /// The peer and this host share no key; nothing was sent.
        Unauthenticated {
            display("the peer and this host share no key")
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
        /// The reply failed its checks; the peer may have served the request.
        BadReply {
            display("the peer's reply failed its checks")
        }
    }
}

impl PeerError {
    /// Returns whether the request left this host, so that the peer may have served it.
    pub fn was_sent(self) -> bool {
        matches!(self, Self::TimedOut | Self::Lost | Self::BadReply)
    }
}
