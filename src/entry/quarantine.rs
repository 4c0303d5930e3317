//! Notices between entries about requests that end targets.

use crate::clock::time_since_boot;
use crate::entry::control::Control;
use crate::peer::PeerMessage;
use crate::scheduler::SuspectRequest;
use crate::shared_scheduler::QuarantineExchange;

impl Control {
    fn quarantine_exchange(&self) -> QuarantineExchange<'_> {
        QuarantineExchange::new([&*self.shared.scheduler])
    }

    /// Tells a peer which requests this entry suspects or has quarantined.
    pub(crate) fn send_suspects(&self, peer: &str) {
        let suspects = self.quarantine_exchange().suspects(peer);
        self.links
            .send(peer, PeerMessage::SuspectRequests(suspects));
    }

    /// Applies what a peer knows of such requests.
    pub(crate) fn apply_suspects(&self, peer: &str, suspects: &[SuspectRequest]) {
        self.quarantine_exchange().apply_suspects(peer, suspects);
    }

    /// Applies a peer's notice, and tells it what it has missed.
    pub(crate) fn apply_quarantine(&self, peer: &str, suspect: &SuspectRequest) {
        if let Some(known) = self.quarantine_exchange().apply_notice(suspect) {
            self.links
                .send(peer, PeerMessage::SuspectRequests(vec![known]));
        }
    }

    /// Tells all peers about a request suspected of crashing targets.
    pub(crate) fn broadcast_quarantine(&self, suspect: SuspectRequest) {
        let peers = self.links.live().into_iter().map(|peer| peer.name);
        let notices = &self.shared.quarantine_notices;
        if let Some(notice) = notices.record_sent(time_since_boot(), suspect, peers) {
            self.links.broadcast(&notice.into_message());
        }
    }
}
