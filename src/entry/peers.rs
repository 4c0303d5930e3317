//! What an entry does with its peers' messages.

use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Instant;

use async_channel::Sender;
use futures_lite::future::Boxed;

use crate::catalog::CatalogSync;
use crate::claim::{ClaimError, ClaimRequest, ClaimTable, ClaimVerdict};
use crate::entry::control::Control;
use crate::peer::{ClaimServer, PeerEvents, PeerInfo, PeerMessage};
use crate::platform::Vm;
use crate::prefix_keys::BlockKey;
use crate::prelude::*;
use crate::scheduler::{Event, Signal};

/// Routes peers' messages to the catalog and the desk.
pub(crate) struct EntryPeers {
    /// Own failure domain.
    pub domain: Name,
    /// Follower of the catalog.
    pub sync: Arc<CatalogSync>,
    /// The claim table, once it is made.
    pub claims: OnceLock<ClaimTable>,
    /// The control state, once it is made.
    pub control: OnceLock<Arc<Control>>,
    /// Lists of VMs that peers sent.
    pub vms: Sender<Vec<Vm>>,
    /// When a peer was asked for its list of VMs last.
    pub asked: Mutex<Option<Instant>>,
}

/// Pause before a peer is asked for its list of VMs again.
const ASK_PAUSE: Duration = Duration::from_secs(1);

impl EntryPeers {
    /// Asks a peer for its list of VMs while the platform has given none.
    fn ask_for_vms(&self, control: &Control, peer: &str) {
        if control.status.is_listed() {
            return;
        }
        let mut asked = self.asked.lock().unwrap_or_else(PoisonError::into_inner);
        if asked.is_none_or(|at| at.elapsed() >= ASK_PAUSE) {
            *asked = Some(Instant::now());
            control.links.send(peer, PeerMessage::WantVms);
        }
    }
}

impl PeerEvents for EntryPeers {
    fn on_message(&self, from: &PeerInfo, message: PeerMessage) {
        let claims = self.claims.get();
        if claims.is_some_and(|claims| claims.on_message(from, &message)) {
            return;
        }
        let Some(control) = self.control.get() else {
            return;
        };
        match message {
            PeerMessage::Quarantine {
                seq,
                fingerprint,
                victims,
                ttl_ms,
            } => {
                if let Ok(fingerprint) = fingerprint.parse::<BlockKey>() {
                    control.shared.scheduler.submit(Event::Quarantine {
                        fingerprint,
                        victims,
                        ttl: Duration::from_millis(ttl_ms),
                    });
                }
                control
                    .links
                    .send(&from.name, PeerMessage::QuarantineAck { seq });
            }
            PeerMessage::QuarantineAck { seq } => {
                control
                    .shared
                    .quarantine_notices
                    .acknowledge(&from.name, seq);
            }
            PeerMessage::TargetSignal { target, leaving } => {
                if leaving {
                    control.signal(&target, Signal::Leaving);
                } else {
                    control.probe_now(&target);
                }
            }
            PeerMessage::Loads(words) => control.take_words(words),
            PeerMessage::WantVms => {
                let vms = control.vms();
                if !vms.is_empty() {
                    control.links.send(&from.name, PeerMessage::Vms(vms));
                }
            }
            PeerMessage::Vms(vms) => drop(self.vms.try_send(vms)),
            other => {
                self.ask_for_vms(control, &from.name);
                self.sync.on_message(from, other);
            }
        }
    }

    fn on_change(&self, live: &[PeerInfo]) {
        self.sync.on_change(live);
        let Some(control) = self.control.get() else {
            return;
        };
        let peers = live
            .iter()
            .filter(|p| p.domain == self.domain && !p.draining);
        control.reassign(live);
        control.take_peers(live);
        let entries = u32::try_from(peers.count() + 1).unwrap_or(u32::MAX);
        control.shared.scheduler.submit(Event::EntryCount(entries));
        let peers = i64::try_from(live.len()).unwrap_or(i64::MAX);
        control.shared.metrics.peers.set(peers);
    }
}

impl ClaimServer for ClaimTable {
    fn claim_for_peer(
        &self,
        claimant: Name,
        req: ClaimRequest,
    ) -> Boxed<Result<ClaimVerdict, ClaimError>> {
        Self::claim_for_peer(self, claimant, req)
    }
}
