//! What an entry does with its peers' messages.

use std::sync::OnceLock;

use futures_lite::future::Boxed;

use crate::cache::BlockKey;
use crate::catalog::CatalogSync;
use crate::claim::{ClaimError, ClaimRequest, ClaimTable, ClaimVerdict};
use crate::decide::{Event, Signal};
use crate::entry::control::Control;
use crate::peer::{ClaimServer, PeerEvents, PeerInfo, PeerMessage};
use crate::prelude::*;

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
                fingerprint,
                victims,
                ttl_ms,
            } => {
                if let Ok(fingerprint) = fingerprint.parse::<BlockKey>() {
                    control.shared.desk.submit(Event::Quarantine {
                        fingerprint,
                        victims,
                        ttl: Duration::from_millis(ttl_ms),
                    });
                }
            }
            PeerMessage::TargetSignal { target, leaving } => {
                if leaving {
                    control.signal(&target, Signal::Leaving);
                } else {
                    control.probe_now(&target);
                }
            }
            PeerMessage::Loads(words) => control.take_words(words),
            other => self.sync.on_message(from, other),
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
        let entries = u32::try_from(peers.count() + 1).unwrap_or(u32::MAX);
        control.shared.desk.submit(Event::Entries(entries));
        let peers = i64::try_from(live.len()).unwrap_or(i64::MAX);
        control.shared.metrics.peers.set(peers);
    }
}

impl ClaimServer for ClaimTable {
    fn serve(&self, claimant: Name, req: ClaimRequest) -> Boxed<Result<ClaimVerdict, ClaimError>> {
        Self::serve(self, claimant, req)
    }
}
