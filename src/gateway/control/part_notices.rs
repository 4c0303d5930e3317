//! Notices between entries about parts of prompts that end targets.

use crate::gateway::control::Control;
use crate::gateway::prompt_quarantine::PartNoticeReceiver;
use crate::peer::{PeerLinks, PeerMessage};
use crate::prelude::*;

impl Control {
    /// Sends notices to all peers; never returns while the gateway runs.
    pub(crate) async fn run_part_notices(self: Arc<Self>, notices: PartNoticeReceiver) {
        while let Ok(notice) = notices.recv().await {
            if let Some(mesh) = self.mesh.get() {
                mesh.broadcast(&PeerMessage::PromptParts(notice));
            }
        }
    }

    /// Tells a peer that was found what this entry knows, and asks it for the same if this entry has
    /// just started.
    pub(crate) fn exchange_part_notices(&self, peer: &str) {
        self.send_part_notices(peer);
        if self.shared.prompt_quarantine.may_ask() {
            self.send(peer, PeerMessage::WantPromptParts);
        }
    }

    /// Tells a peer what this entry knows.
    pub(crate) fn send_part_notices(&self, peer: &str) {
        for notice in self.shared.prompt_quarantine.notices() {
            self.send(peer, PeerMessage::PromptParts(notice));
        }
    }
}
