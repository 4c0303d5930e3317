//! Sharing of context store watches among many entries.

use std::net::SocketAddr;

use crate::clock::time_since_boot;
use crate::context_store::{PartKey, RelayOutcome, StoreChange, StoreUpdate, StoreUpdateRelay};
use crate::gateway::control::Control;
use crate::peer::{PeerInfo, PeerMessage, RelayedStoreUpdate};

/// Entries that watch one store in a large system: one, and one more in case it is lost.
const WATCHERS_PER_STORE: usize = 2;

impl StoreUpdateRelay for Control {
    fn watches(&self, store: SocketAddr) -> bool {
        let state = self.state();
        if !state.uses_hubs() {
            return true;
        }
        // Rendezvous hashing: entries that see the same live peers agree on a store's watchers.
        let rank = |name: &str| {
            let hash = blake3::hash(format!("{store} {name}").as_bytes());
            *hash.as_bytes()
        };
        let own = rank(&self.name);
        let ranked_higher = state.peers.iter().filter(|peer| rank(peer) > own);
        ranked_higher.count() < WATCHERS_PER_STORE
    }

    fn shares_watches(&self) -> bool {
        self.state().uses_hubs()
    }

    fn relay_update(&self, store: SocketAddr, from: u64, update: &StoreUpdate) {
        // Without hubs, nobody is told: the full contents of a store are not copied in vain.
        if self.shares_watches() {
            self.send_store_update(relayed_update(store, from, update));
        }
    }

    fn relay_unreachable(&self, store: SocketAddr) {
        let empty = relayed_update(store, 0, &StoreUpdate::default());
        self.send_store_update(RelayedStoreUpdate {
            store_unreachable: true,
            ..empty
        });
    }
}

impl Control {
    /// Sends a store update to the hub; if this entry is the hub, queues it for the other hubs and
    /// the entries of its failure domain.
    fn send_store_update(&self, relayed: RelayedStoreUpdate) {
        let mut state = self.state();
        if !state.uses_hubs() {
            return;
        }
        let hub = state.hub_selector.current().cloned();
        match hub {
            Some(hub) => {
                drop(state);
                self.send(&hub, PeerMessage::StoreUpdate(relayed));
            }
            None => state.aggregator.queue_for_all(relayed),
        }
    }

    /// Applies a store update that a peer relays, or responds to its request for the full contents.
    pub(crate) fn apply_store_update(&self, from: &PeerInfo, relayed: RelayedStoreUpdate) {
        let now = self.now();
        if relayed.full_requested {
            let known = self.shared.store_directory().snapshot(now, relayed.store);
            if let Some(update) = known {
                let full = relayed_update(relayed.store, 0, &update);
                self.send(&from.name, PeerMessage::StoreUpdate(full));
            }
            return;
        }
        let clock = &self.shared.fetch_clock;
        clock.observe(time_since_boot(), relayed.clock_ms);
        if self.watches(relayed.store) {
            return;
        }
        if relayed.store_unreachable {
            self.shared
                .store_directory()
                .mark_unreachable(relayed.store);
            self.forward_store_update(from, relayed);
            return;
        }
        let (store, first) = (relayed.store, relayed.from);
        // The full contents of a store are copied only for those that they are forwarded to.
        let forwarded = self.forwards_store_updates().then(|| relayed.clone());
        let update = store_update_of(relayed);
        let outcome = self
            .shared
            .store_directory()
            .apply_relayed(now, store, first, update);
        match outcome {
            RelayOutcome::Applied => {
                if let Some(relayed) = forwarded {
                    self.forward_store_update(from, relayed);
                }
            }
            RelayOutcome::AlreadyKnown => {}
            RelayOutcome::Gap => {
                let request = RelayedStoreUpdate {
                    full_requested: true,
                    ..relayed_update(store, 0, &StoreUpdate::default())
                };
                self.send(&from.name, PeerMessage::StoreUpdate(request));
            }
        }
    }

    /// Whether this entry is a hub, which forwards store updates.
    fn forwards_store_updates(&self) -> bool {
        let state = self.state();
        state.uses_hubs() && state.hub_selector.current().is_none()
    }

    /// If this entry is a hub, forwards a store update: from its own failure domain to the other
    /// hubs and its entries, from another hub to its entries only.
    fn forward_store_update(&self, from: &PeerInfo, relayed: RelayedStoreUpdate) {
        if !self.forwards_store_updates() {
            return;
        }
        let mut state = self.state();
        if from.domain == self.domain {
            state.aggregator.queue_for_all(relayed);
        } else {
            state.aggregator.queue_for_entries(relayed);
        }
    }
}

fn store_update_of(relayed: RelayedStoreUpdate) -> StoreUpdate {
    let changes = relayed.changes.into_iter();
    let changes = changes.map(|(scope, id, tokens)| StoreChange {
        part: PartKey { scope, id },
        tokens,
    });
    StoreUpdate {
        epoch: relayed.epoch,
        next_seq: relayed.next,
        gap: false,
        changes: changes.collect(),
        clock_ms: None,
    }
}

fn relayed_update(store: SocketAddr, from: u64, update: &StoreUpdate) -> RelayedStoreUpdate {
    let changes = update.changes.iter();
    RelayedStoreUpdate {
        store,
        epoch: update.epoch,
        from,
        next: update.next_seq,
        changes: changes
            .map(|c| (c.part.scope.clone(), c.part.id.clone(), c.tokens))
            .collect(),
        clock_ms: update.clock_ms,
        full_requested: false,
        store_unreachable: false,
    }
}
