//! Handles messages of peers and changes of the set of live peers.

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
use crate::scheduler::{Event, Signal, SuspectRequest};

/// Dispatches peers' messages to the claim table, the control state, the catalog replica and the
/// scheduler.
///
/// The claim table and the control state need the mesh, which is built with this handler, so they
/// are set later. Messages that arrive before are dropped.
pub(crate) struct PeerHandler {
    /// Own failure domain.
    pub domain: Name,
    /// Replication of the catalog.
    pub sync: Arc<CatalogSync>,
    /// The claim table, once it is built.
    pub claims: OnceLock<ClaimTable>,
    /// The control state, once it is built.
    pub control: OnceLock<Arc<Control>>,
    /// Channel for the VM lists that peers send.
    pub peer_vm_lists: Sender<Vec<Vm>>,
    /// When a peer's VM list was last requested.
    pub last_vm_request: Mutex<Option<Instant>>,
}

/// Shortest interval between two requests for a peer's VM list.
const VM_LIST_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

impl PeerHandler {
    /// Requests a peer's VM list while this entry has no list.
    fn request_vm_list(&self, control: &Control, peer: &str) {
        if control.status.vms_known() {
            return;
        }
        let mut last_vm_request = self
            .last_vm_request
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if last_vm_request.is_none_or(|at| at.elapsed() >= VM_LIST_REQUEST_INTERVAL) {
            *last_vm_request = Some(Instant::now());
            control.links.send(peer, PeerMessage::WantVms);
        }
    }
}

impl PeerEvents for PeerHandler {
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
                answering_victims,
                ttl_ms,
            } => {
                if let Ok(fingerprint) = fingerprint.parse::<BlockKey>() {
                    let suspect = SuspectRequest {
                        fingerprint,
                        victims,
                        answering_victims,
                        ttl: Duration::from_millis(ttl_ms),
                        age: Duration::ZERO,
                    };
                    control.apply_quarantine(&from.name, &suspect);
                }
                control
                    .links
                    .send(&from.name, PeerMessage::QuarantineAck { seq });
            }
            PeerMessage::SuspectRequests(suspects) => {
                control.apply_suspects(&from.name, &suspects);
            }
            PeerMessage::WantSuspectRequests => control.send_suspects(&from.name),
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
            PeerMessage::Loads(updates) => control.apply_load_updates(updates),
            PeerMessage::WantVms => {
                let vms = control.vms();
                if !vms.is_empty() {
                    control.links.send(&from.name, PeerMessage::Vms(vms));
                }
            }
            PeerMessage::Vms(vms) => drop(self.peer_vm_lists.try_send(vms)),
            other => {
                self.request_vm_list(control, &from.name);
                self.sync.on_message(from, other);
            }
        }
    }

    fn on_change(&self, live: &[PeerInfo]) {
        self.sync.on_change(live);
        let Some(control) = self.control.get() else {
            return;
        };
        let domain_peers = live
            .iter()
            .filter(|p| p.domain == self.domain && !p.draining);
        control.reassign_probes(live);
        control.update_quarantine_peers(live);
        let entries = u32::try_from(domain_peers.count() + 1).unwrap_or(u32::MAX);
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
