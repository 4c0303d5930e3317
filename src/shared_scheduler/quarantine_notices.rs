//! Quarantine notices sent to peers, and their acknowledgements.

use std::collections::{BTreeMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use futures_lite::FutureExt;

use crate::clock::{coarse_sleep, whole_millis};
use crate::peer::PeerMessage;
use crate::prelude::*;
use crate::scheduler::SuspectRequest;
use crate::shared_scheduler::NoticeBudget;

/// Longest wait for acknowledgements, so that a peer that does not respond delays no caller further.
const ACK_TIMEOUT: Duration = Duration::from_millis(500);

/// A notice to peers that a request is suspected of crashing targets or is quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineNotice {
    /// Sequence number, which peers repeat in their acknowledgement.
    pub seq: u64,
    /// The request.
    pub suspect: SuspectRequest,
}

impl QuarantineNotice {
    /// The message to the peers.
    #[must_use]
    pub fn into_message(self) -> PeerMessage {
        let SuspectRequest {
            fingerprint,
            victims,
            answering_victims,
            ttl,
            ..
        } = self.suspect;
        PeerMessage::Quarantine {
            seq: self.seq,
            fingerprint: fingerprint.to_string().into(),
            victims,
            answering_victims,
            ttl_ms: whole_millis(ttl),
        }
    }
}

/// Tracks which quarantine notices peers have acknowledged.
///
/// A caller whose request crashed a target may send it again through any entry. So it gets its
/// response only after the peers have acknowledged the notice.
#[derive(Debug, Default)]
pub struct QuarantineNotices {
    /// Number of notices that the scheduler has issued, sent or not.
    expected: AtomicU64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of notices sent; the sequence number of the latest.
    sent: u64,
    /// Peers that have not acknowledged a notice, by its sequence number.
    unacknowledged: BTreeMap<u64, HashSet<Name>>,
    /// Bounds notices about requests that have only answering victims.
    answering_notices: NoticeBudget,
    /// Channels that are closed at the next change.
    waiters: Vec<async_channel::Sender<()>>,
}

impl QuarantineNotices {
    /// Counts a notice that is about to be sent; notices are sent in the order of these calls.
    pub fn expect_notice(&self) {
        self.expected.fetch_add(1, Ordering::AcqRel);
    }

    /// Makes the next notice, which the caller sends to `peers`, and records that it was sent. `None`
    /// if the budget for such notices is spent, so that it is not sent.
    pub fn record_sent(
        &self,
        now: Timestamp,
        suspect: SuspectRequest,
        peers: impl IntoIterator<Item = Name>,
    ) -> Option<QuarantineNotice> {
        let peers: HashSet<Name> = peers.into_iter().collect();
        let mut state = self.lock();
        state.sent += 1;
        if suspect.has_only_answering_victims() && !state.answering_notices.permit(now, peers.len())
        {
            state.wake();
            return None;
        }
        let notice = QuarantineNotice {
            seq: state.sent,
            suspect,
        };
        if !peers.is_empty() {
            state.unacknowledged.insert(notice.seq, peers);
        }
        state.wake();
        Some(notice)
    }

    /// Records that a peer has acknowledged a notice.
    pub fn acknowledge(&self, peer: &str, seq: u64) {
        let mut state = self.lock();
        if let Some(peers) = state.unacknowledged.get_mut(&seq) {
            peers.remove(peer);
        }
        state.remove_acknowledged();
    }

    /// Stops waiting for peers that are no longer live.
    pub fn retain_peers(&self, live: impl Fn(&str) -> bool) {
        let mut state = self.lock();
        for peers in state.unacknowledged.values_mut() {
            peers.retain(|peer| live(peer));
        }
        state.remove_acknowledged();
    }

    /// Waits until all live peers have acknowledged every notice issued so far, at most half a
    /// second.
    pub async fn wait_acknowledged(&self) {
        let last_seq = self.expected.load(Ordering::Acquire);
        let all_acknowledged = async {
            while let Some(changed) = self.next_change_before(last_seq) {
                let _ = changed.recv().await;
            }
        };
        all_acknowledged.or(coarse_sleep(ACK_TIMEOUT)).await;
    }

    /// A receiver that is closed at the next change; `None` when every notice up to sequence number
    /// `last_seq` was sent and acknowledged.
    fn next_change_before(&self, last_seq: u64) -> Option<async_channel::Receiver<()>> {
        let mut state = self.lock();
        let pending =
            state.sent < last_seq || state.unacknowledged.range(..=last_seq).next().is_some();
        if !pending {
            return None;
        }
        let (tx, rx) = async_channel::bounded(1);
        state.waiters.push(tx);
        Some(rx)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn remove_acknowledged(&mut self) {
        self.unacknowledged.retain(|_, peers| !peers.is_empty());
        self.wake();
    }

    fn wake(&mut self) {
        self.waiters.clear();
    }
}
