//! What a gateway does with its peers' messages.

use std::sync::Weak;

use crate::gateway::control::Control;
use crate::peer::{PeerEvents, PeerInfo, PeerMessage};
use crate::prelude::*;
use crate::scheduler::Event;

/// Routes peers' messages to the control.
pub(crate) struct GatewayPeers(pub std::sync::OnceLock<Weak<Control>>);

impl GatewayPeers {
    fn control(&self) -> Option<Arc<Control>> {
        self.0.get()?.upgrade()
    }
}

impl PeerEvents for GatewayPeers {
    fn on_message(&self, from: &PeerInfo, message: PeerMessage) {
        let Some(control) = self.control() else {
            return;
        };
        match message {
            PeerMessage::Gateway(word) => control.take_word(from, &word),
            PeerMessage::Digest(digest) => control.take_digest(from, *digest),
            PeerMessage::StoreUpdate(word) => control.take_kept(from, word),
            PeerMessage::WantObjects { kind } => control.tell_objects(&from.name, kind),
            PeerMessage::Objects {
                kind,
                revision,
                objects,
            } => control.adopt_objects(&from.name, kind, revision, objects),
            PeerMessage::Quarantine {
                seq,
                fingerprint,
                victims,
                ttl_ms,
            } => {
                control.send(&from.name, PeerMessage::QuarantineAck { seq });
                if let Ok(fingerprint) = fingerprint.parse() {
                    control.shared.scheduler.submit(Event::Quarantine {
                        fingerprint,
                        victims,
                        ttl: Duration::from_millis(ttl_ms),
                    });
                }
            }
            PeerMessage::QuarantineAck { seq } => {
                control
                    .shared
                    .quarantine_notices
                    .acknowledge(&from.name, seq);
            }
            other => log::debug!(
                "event=peer_message_ignored peer={} message={other:?}",
                from.name
            ),
        }
    }

    fn on_change(&self, live: &[PeerInfo]) {
        if let Some(control) = self.control() {
            control.take_peers(live);
        }
    }
}
