//! Sharing the following of context stores among many entries.

use std::net::SocketAddr;

use crate::gateway::control::Control;
use crate::kept::{StoreChange, StoreNews, StorePart, StoreRelay};
use crate::peer::{KeptWord, PeerLinks, PeerMessage};

/// Entries up to which each follows every store itself; stores take few callers at once.
const ALL_FOLLOW: usize = 10;
/// Entries that follow one store in a larger system: one, and one in case it is lost.
const FOLLOWERS: usize = 2;

impl StoreRelay for Control {
    fn follows(&self, store: SocketAddr) -> bool {
        let state = self.state();
        if state.entries() <= ALL_FOLLOW {
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

    fn pass_on(&self, store: SocketAddr, from: u64, news: &StoreNews) {
        if self.state().entries() > ALL_FOLLOW
            && let Some(mesh) = self.mesh.get()
        {
            mesh.broadcast(&PeerMessage::Kept(word(store, from, news)));
        }
    }
}

impl Control {
    /// Takes what a peer passes on of a store.
    pub(crate) fn take_kept(&self, peer: &str, word: KeptWord) {
        let now = self.now();
        if word.wanted {
            let known = self.shared.kept().known(now, word.store);
            if let Some(news) = known {
                self.send(peer, PeerMessage::Kept(self::word(word.store, 0, &news)));
            }
            return;
        }
        if self.follows(word.store) {
            return;
        }
        self.shared.fetch_clock.observe(word.clock_ms);
        let changes = word.changes.into_iter();
        let news = StoreNews {
            epoch: word.epoch,
            next: word.next,
            gap: false,
            changes: changes
                .map(|(scope, id, tokens)| StoreChange {
                    part: StorePart { scope, id },
                    tokens,
                })
                .collect(),
            clock_ms: None,
        };
        let mut kept = self.shared.kept();
        if kept.take_relayed(now, word.store, word.from, news) {
            drop(kept);
            let want = KeptWord {
                wanted: true,
                ..self::word(word.store, 0, &StoreNews::default())
            };
            self.send(peer, PeerMessage::Kept(want));
        }
    }
}

fn word(store: SocketAddr, from: u64, news: &StoreNews) -> KeptWord {
    let changes = news.changes.iter();
    KeptWord {
        store,
        epoch: news.epoch,
        from,
        next: news.next,
        changes: changes
            .map(|c| (c.part.scope.clone(), c.part.id.clone(), c.tokens))
            .collect(),
        clock_ms: news.clock_ms,
        wanted: false,
    }
}
