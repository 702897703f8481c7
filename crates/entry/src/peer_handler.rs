//! Serves the requests of other entry hosts by passing each to the module that it is for.

use yuccanotch_core::peer::PeerHeader;
use yuccanotch_core::peer::PeerReply;
use yuccanotch_core::peer::PeerRequest;

use crate::host::Host;
use crate::peers::PeerHandler;

impl PeerHandler for Host {
    fn on_request(&self, header: PeerHeader, request: PeerRequest) -> PeerReply {
        self.configuration.record_peer_number(&header.host, header.config);
        match request {
            PeerRequest::Config(message) => {
                PeerReply::Config(self.configuration.on_peer(&header.host, message))
            }
            PeerRequest::Fleet(message) => PeerReply::Fleet(self.fleet.on_peer(&header, message)),
            PeerRequest::Claim(message) => PeerReply::Claim(self.claims.on_peer(message)),
            PeerRequest::Share(message) => PeerReply::Share(self.shares.on_peer(&header, &message)),
            PeerRequest::Quarantine(message) => {
                PeerReply::Quarantine(self.quarantine.on_peer(message))
            }
        }
    }

    fn on_reply_header(&self, header: &PeerHeader) {
        self.configuration.record_peer_number(&header.host, header.config);
    }
}
