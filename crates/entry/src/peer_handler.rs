//! Serves the requests of other entry hosts by passing them to the slices.

use yuccanotch_core::peer::PeerHeader;
use yuccanotch_core::peer::PeerReply;
use yuccanotch_core::peer::PeerRequest;

use crate::host::Host;
use crate::peers::PeerHandler;

impl PeerHandler for Host {
    fn on_request(&self, _header: PeerHeader, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Fleet(message) => PeerReply::Fleet(self.fleet.on_peer(message)),
            PeerRequest::Claim(_)
            | PeerRequest::Config(_)
            | PeerRequest::Quarantine(_)
            | PeerRequest::Share(_) => PeerReply::Declined,
        }
    }
}
