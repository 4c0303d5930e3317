//! Sharing the following of context stores among many entries.

use std::net::SocketAddr;

use crate::context_store::{PartKey, RelayOutcome, StoreChange, StoreUpdate, StoreUpdateRelay};
use crate::gateway::control::Control;
use crate::peer::{PeerInfo, PeerMessage, RelayedStoreUpdate};

/// Entries that follow one store in a larger system: one, and one in case it is lost.
const FOLLOWERS: usize = 2;

impl StoreUpdateRelay for Control {
    fn watches(&self, store: SocketAddr) -> bool {
        let state = self.state();
        if !state.is_crowded() {
            return true;
        }
        let rank = |name: &str| {
            let hash = blake3::hash(format!("{store} {name}").as_bytes());
            *hash.as_bytes()
        };
        let own = rank(&self.name);
        let before = state.peers.iter().filter(|peer| rank(peer) > own);
        before.count() < FOLLOWERS
    }

    fn shares_watches(&self) -> bool {
        self.state().is_crowded()
    }

    fn relay_update(&self, store: SocketAddr, from: u64, news: &StoreUpdate) {
        self.pass_word(word(store, from, news));
    }

    fn relay_unreachable(&self, store: SocketAddr) {
        let nothing = word(store, 0, &StoreUpdate::default());
        self.pass_word(RelayedStoreUpdate {
            store_unreachable: true,
            ..nothing
        });
    }
}

impl Control {
    /// Tells the hub, or as a hub everyone, what a store told.
    fn pass_word(&self, word: RelayedStoreUpdate) {
        let mut state = self.state();
        if !state.is_crowded() {
            return;
        }
        let hub = state.hubs.relied_on().cloned();
        match hub {
            Some(hub) => {
                drop(state);
                self.send(&hub, PeerMessage::StoreUpdate(word));
            }
            None => state.gatherer.pass_to_all(word),
        }
    }

    /// Takes what a peer passes on of a store.
    pub(crate) fn take_kept(&self, from: &PeerInfo, word: RelayedStoreUpdate) {
        let now = self.now();
        if word.full_requested {
            let known = self.shared.kept().snapshot(now, word.store);
            if let Some(news) = known {
                let whole = self::word(word.store, 0, &news);
                self.send(&from.name, PeerMessage::StoreUpdate(whole));
            }
            return;
        }
        self.shared.fetch_clock.observe(word.clock_ms);
        if self.watches(word.store) {
            return;
        }
        if word.store_unreachable {
            self.shared.kept().mark_unreachable(word.store);
            self.forward(from, word);
            return;
        }
        let news = news_of(&word);
        let taken = self
            .shared
            .kept()
            .apply_relayed(now, word.store, word.from, news);
        match taken {
            RelayOutcome::Applied => self.forward(from, word),
            RelayOutcome::AlreadyKnown => {}
            RelayOutcome::Gap => {
                let want = RelayedStoreUpdate {
                    full_requested: true,
                    ..self::word(word.store, 0, &StoreUpdate::default())
                };
                self.send(&from.name, PeerMessage::StoreUpdate(want));
            }
        }
    }

    /// Passes on news as a hub: those of its own failure domain to all, others to its entries.
    fn forward(&self, from: &PeerInfo, word: RelayedStoreUpdate) {
        let mut state = self.state();
        if !state.is_crowded() || state.hubs.relied_on().is_some() {
            return;
        }
        if from.domain == self.domain {
            state.gatherer.pass_to_all(word);
        } else {
            state.gatherer.pass_to_entries(word);
        }
    }
}

fn news_of(word: &RelayedStoreUpdate) -> StoreUpdate {
    let changes = word.changes.iter();
    StoreUpdate {
        epoch: word.epoch,
        next_seq: word.next,
        gap: false,
        changes: changes
            .map(|(scope, id, tokens)| StoreChange {
                part: PartKey {
                    scope: scope.clone(),
                    id: id.clone(),
                },
                tokens: *tokens,
            })
            .collect(),
        clock_ms: None,
    }
}

fn word(store: SocketAddr, from: u64, news: &StoreUpdate) -> RelayedStoreUpdate {
    let changes = news.changes.iter();
    RelayedStoreUpdate {
        store,
        epoch: news.epoch,
        from,
        next: news.next_seq,
        changes: changes
            .map(|c| (c.part.scope.clone(), c.part.id.clone(), c.tokens))
            .collect(),
        clock_ms: news.clock_ms,
        full_requested: false,
        store_unreachable: false,
    }
}
