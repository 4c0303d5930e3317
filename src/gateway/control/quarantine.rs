//! Notices between entries about requests, and parts of prompts, that end targets.

use crate::gateway::control::{Control, State};
use crate::gateway::prompt_quarantine::PartNoticeReceiver;
use crate::peer::{PeerLinks, PeerMessage};
use crate::prelude::*;
use crate::scheduler::SuspectRequest;
use crate::shared_scheduler::QuarantineExchange;

impl Control {
    /// Sends notices about parts to all peers; never returns while the gateway runs.
    pub(crate) async fn run_part_notices(self: Arc<Self>, notices: PartNoticeReceiver) {
        while let Ok(notice) = notices.recv().await {
            if let Some(mesh) = self.mesh.get() {
                mesh.broadcast(&PeerMessage::PromptParts(notice));
            }
        }
    }

    /// Tells a peer that was found what this entry knows of parts, and asks the first ones for what they
    /// know of parts and requests: this entry has just started, or was cut off.
    pub(crate) fn exchange_quarantines(&self, state: &mut State, peer: &str) {
        self.send_part_notices(peer);
        if state.join_questions.permit(self.now()) {
            self.send(peer, PeerMessage::WantPromptParts);
            self.send(peer, PeerMessage::WantSuspectRequests);
        }
    }

    /// Tells a peer what this entry knows of parts.
    pub(crate) fn send_part_notices(&self, peer: &str) {
        for notice in self.shared.prompt_quarantine.notices() {
            self.send(peer, PeerMessage::PromptParts(notice));
        }
    }

    fn quarantine_exchange(&self) -> QuarantineExchange<'_> {
        let schedulers = [&*self.shared.scheduler, &*self.domain_scheduler.scheduler];
        QuarantineExchange::new(schedulers)
    }

    /// Tells a peer which requests this entry suspects or has quarantined.
    pub(crate) fn send_suspects(&self, peer: &str) {
        let suspects = self.quarantine_exchange().suspects(peer);
        self.send(peer, PeerMessage::SuspectRequests(suspects));
    }

    /// Applies what a peer knows of such requests.
    pub(crate) fn apply_suspects(&self, peer: &str, suspects: &[SuspectRequest]) {
        self.quarantine_exchange().apply_suspects(peer, suspects);
    }

    /// Applies a peer's notice, and tells it what it has missed.
    pub(crate) fn apply_quarantine(&self, peer: &str, suspect: &SuspectRequest) {
        if let Some(known) = self.quarantine_exchange().apply_notice(suspect) {
            self.send(peer, PeerMessage::SuspectRequests(vec![known]));
        }
    }

    /// Tells all peers, and the other scheduler of this entry, about a request suspected of crashing
    /// targets.
    pub(crate) fn broadcast_quarantine(&self, suspect: SuspectRequest) {
        log::warn!(
            "event=request_suspected fingerprint={} victims={:?} answering_victims={:?} ttl_ms={}",
            suspect.fingerprint,
            suspect.victims,
            suspect.answering_victims,
            suspect.ttl.as_millis()
        );
        self.quarantine_exchange().submit(&suspect);
        let Some(mesh) = self.mesh.get() else {
            return;
        };
        let peers = mesh.live().into_iter().map(|peer| peer.name);
        let notices = &self.shared.quarantine_notices;
        if let Some(notice) = notices.record_sent(self.now(), suspect, peers) {
            mesh.broadcast(&notice.into_message());
        }
    }
}
