//! Words about quarantined requests that peers have not confirmed yet.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use futures_lite::FutureExt;

use crate::clock::coarse_sleep;
use crate::prelude::*;

/// Longest wait for peers to confirm; a silent one is not waited for any longer.
const LIMIT: Duration = Duration::from_millis(500);
/// Words kept for peers that join later.
const KEPT: usize = 256;

/// A word about one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineWord {
    /// Number of the word; peers repeat it when they confirm.
    pub seq: u64,
    /// Fingerprint of customer, route and body, as hexadecimal digits.
    pub fingerprint: Name,
    /// Targets that died while running it.
    pub victims: Vec<Name>,
    /// Time of the quarantine; zero while it is only suspected.
    pub ttl: Duration,
}

/// Follows which words peers have confirmed, so that a caller whose request took down a target is
/// answered only after the peers know: it may send the request again at any of them.
#[derive(Debug, Default)]
pub struct QuarantineWords {
    issued: AtomicU64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    told: u64,
    open: BTreeMap<u64, HashSet<Name>>,
    kept: VecDeque<(QuarantineWord, Instant)>,
    waiting: Vec<async_channel::Sender<()>>,
}

impl QuarantineWords {
    /// Notes that a word is to be told; words are told in this order.
    pub fn issue(&self) {
        self.issued.fetch_add(1, Ordering::AcqRel);
    }

    /// Numbers the next word, which is being told to `peers`.
    pub fn tell(
        &self,
        fingerprint: Name,
        victims: Vec<Name>,
        ttl: Duration,
        peers: impl IntoIterator<Item = Name>,
    ) -> QuarantineWord {
        let mut state = self.lock();
        state.told += 1;
        let word = QuarantineWord {
            seq: state.told,
            fingerprint,
            victims,
            ttl,
        };
        let peers: HashSet<Name> = peers.into_iter().collect();
        if !peers.is_empty() {
            state.open.insert(word.seq, peers);
        }
        state.kept.push_back((word.clone(), Instant::now()));
        if state.kept.len() > KEPT {
            state.kept.pop_front();
        }
        state.wake();
        word
    }

    /// Notes that a peer has confirmed a word.
    pub fn confirmed(&self, peer: &str, seq: u64) {
        let mut state = self.lock();
        if let Some(peers) = state.open.get_mut(&seq) {
            peers.remove(peer);
        }
        state.forget_confirmed();
    }

    /// Stops waiting for peers that are no longer live.
    pub fn retain_peers(&self, live: impl Fn(&str) -> bool) {
        let mut state = self.lock();
        for peers in state.open.values_mut() {
            peers.retain(|peer| live(peer));
        }
        state.forget_confirmed();
    }

    /// Words in force, with the time that remains of each quarantine, for a peer that joins.
    #[must_use]
    pub fn in_force(&self) -> Vec<QuarantineWord> {
        let state = self.lock();
        let words = state.kept.iter().filter_map(|(word, told)| {
            let ttl = word.ttl.checked_sub(told.elapsed())?;
            Some(QuarantineWord {
                ttl,
                ..word.clone()
            })
        });
        words.filter(|word| !word.ttl.is_zero()).collect()
    }

    /// Waits until every word issued so far is confirmed by all live peers, at most half a second.
    pub async fn settled(&self) {
        let target = self.issued.load(Ordering::Acquire);
        let confirmed = async {
            while let Some(changed) = self.open_up_to(target) {
                let _ = changed.recv().await;
            }
        };
        confirmed.or(coarse_sleep(LIMIT)).await;
    }

    /// A receiver that closes at the next change; `None` when nothing up to `target` is open.
    fn open_up_to(&self, target: u64) -> Option<async_channel::Receiver<()>> {
        let mut state = self.lock();
        let open = state.told < target || state.open.range(..=target).next().is_some();
        if !open {
            return None;
        }
        let (tx, rx) = async_channel::bounded(1);
        state.waiting.push(tx);
        Some(rx)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn forget_confirmed(&mut self) {
        self.open.retain(|_, peers| !peers.is_empty());
        self.wake();
    }

    fn wake(&mut self) {
        self.waiting.clear();
    }
}
