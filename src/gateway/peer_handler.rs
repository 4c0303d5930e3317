//! Dispatch of peers' messages.

use std::sync::Weak;

use crate::gateway::control::Control;
use crate::peer::{PeerEvents, PeerInfo, PeerMessage};
use crate::prelude::*;
use crate::scheduler::SuspectRequest;

/// Dispatches peers' messages to the control tasks.
pub(crate) struct PeerHandler(pub std::sync::OnceLock<Weak<Control>>);

impl PeerHandler {
    fn control(&self) -> Option<Arc<Control>> {
        self.0.get()?.upgrade()
    }
}

impl PeerEvents for PeerHandler {
    fn on_message(&self, from: &PeerInfo, message: PeerMessage) {
        let Some(control) = self.control() else {
            return;
        };
        match message {
            PeerMessage::Gateway(status) => control.apply_status(from, &status),
            PeerMessage::Digest(digest) => control.apply_digest(from, *digest),
            PeerMessage::SchedulerCall(call) => control.on_scheduler_call(&from.name, call),
            PeerMessage::SchedulerReply(reply) => {
                let client = &control.shared.scheduler_client;
                client.on_reply(&from.name, reply);
            }
            PeerMessage::PromptParts(notice) => {
                let quarantine = &control.shared.prompt_quarantine;
                quarantine.apply(&from.name, notice);
            }
            PeerMessage::SuspectRequests(suspects) => {
                control.apply_suspects(&from.name, &suspects);
            }
            PeerMessage::WantSuspectRequests => control.send_suspects(&from.name),
            PeerMessage::WantPromptParts => control.send_part_notices(&from.name),
            PeerMessage::StreamOrigins(origins) => control.record_stream_origins(origins),
            PeerMessage::WantStreamOrigins(wanted) => {
                control.send_stream_origins(&from.name, wanted);
            }
            PeerMessage::StoreUpdate(update) => control.apply_store_update(from, update),
            PeerMessage::WantObjects { kind } => control.send_objects(&from.name, kind),
            PeerMessage::Objects {
                kind,
                revision,
                objects,
            } => control.adopt_objects(&from.name, kind, revision, objects),
            PeerMessage::Quarantine {
                seq,
                fingerprint,
                victims,
                answering_victims,
                ttl_ms,
            } => {
                control.send(&from.name, PeerMessage::QuarantineAck { seq });
                if let Ok(fingerprint) = fingerprint.parse() {
                    let suspect = SuspectRequest {
                        fingerprint,
                        victims,
                        answering_victims,
                        ttl: Duration::from_millis(ttl_ms),
                        age: Duration::ZERO,
                    };
                    control.apply_quarantine(&from.name, &suspect);
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
            control.set_live_peers(live);
        }
    }
}
