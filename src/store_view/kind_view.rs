//! What an entry knows of the objects of one kind.

use crate::clock::whole_millis;
use crate::peer::KindConfirmation;
use crate::platform::PlatformError;
use crate::prelude::*;
use crate::store_view::{
    ConfirmedBy, KindFreshness, OBJECT_REQUEST_DELAY, OBJECT_REQUEST_INTERVAL, ObjectCache,
    PeerObject, StoreOutage,
};

/// Assumed transit time of a hub's confirmation, which its stated age does not include.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(100);

/// The objects of one kind, how recently they were confirmed, and whether the store answers.
#[derive(Clone, Debug)]
pub struct KindView {
    /// The objects.
    pub cache: ObjectCache,
    /// How recently they were confirmed.
    pub freshness: KindFreshness,
    /// Outage of the platform store that goes on; from the start of the process until the first
    /// successful call.
    outage: Option<StoreOutage>,
    /// When objects were last requested from a peer.
    requested_at: Option<Timestamp>,
}

impl Default for KindView {
    fn default() -> Self {
        Self {
            cache: ObjectCache::default(),
            freshness: KindFreshness::default(),
            outage: Some(StoreOutage::since_start()),
            requested_at: None,
        }
    }
}

impl KindView {
    /// Outage of the platform store that goes on.
    #[must_use]
    pub fn outage(&self) -> Option<StoreOutage> {
        self.outage
    }

    /// Ends the outage, since the store has answered, and returns it.
    pub fn end_outage(&mut self) -> Option<StoreOutage> {
        self.outage.take()
    }

    /// Records a failed call, which the store had not answered by `failed_at`; calls wait for a
    /// change for `longest_wait`. Returns whether an outage begins.
    pub fn record_failure(
        &mut self,
        now: Timestamp,
        failed_at: Timestamp,
        longest_wait: Duration,
        err: &PlatformError,
    ) -> bool {
        if let Some(outage) = &mut self.outage {
            outage.record_failure(failed_at, err);
            return false;
        }
        let confirmed_at = self.freshness.confirmed_at();
        let accepted_at = match err {
            PlatformError::Unanswered(_) => confirmed_at,
            _ if err.is_answer() => now,
            // A store that turns calls away may still answer those that wait.
            _ => confirmed_at.saturating_sub(longest_wait),
        };
        self.outage = Some(StoreOutage::new(now, accepted_at, err));
        true
    }

    /// Records the revision that a peer reports. Returns whether its objects are to be requested now:
    /// they are newer, and the store has not answered for some time.
    pub fn observe_peer_revision(&mut self, now: Timestamp, revision: u64) -> bool {
        self.freshness.observe_peer_revision(revision);
        let is_away = |o: StoreOutage| now >= o.noticed_at + OBJECT_REQUEST_DELAY;
        let requested = self.requested_at;
        let wanted = self.outage.is_some_and(is_away)
            && revision > self.cache.revision()
            && requested.is_none_or(|at| now >= at + OBJECT_REQUEST_INTERVAL);
        if wanted {
            self.requested_at = Some(now);
        }
        wanted
    }

    /// Adopts a peer's objects while the platform store is away, if they are newer; returns whether
    /// they were adopted. See [`ObjectCache::replace_from_peer`].
    pub fn adopt(
        &mut self,
        revision: u64,
        objects: Vec<PeerObject>,
        keep_until: Option<Timestamp>,
    ) -> bool {
        let cache = &mut self.cache;
        self.outage.is_some() && cache.replace_from_peer(revision, objects, keep_until)
    }

    /// Records that the objects were confirmed; returns the time without a confirmation before if it
    /// was overdue.
    pub fn confirm(&mut self, now: Timestamp, by: ConfirmedBy) -> Option<Duration> {
        self.freshness.confirm(now, by)
    }

    /// What the store has confirmed to this entry, as a hub tells its entries; `None` before the first
    /// answer.
    #[must_use]
    pub fn confirmation(&self, now: Timestamp) -> Option<KindConfirmation> {
        let answered_at = self.freshness.answered_at()?;
        Some(KindConfirmation {
            last_change: self.cache.last_change(),
            age_ms: whole_millis(now.saturating_sub(answered_at)),
        })
    }

    /// Records a hub's confirmation.
    pub fn observe_confirmation(&mut self, now: Timestamp, hub: &Name, word: &KindConfirmation) {
        let age = Duration::from_millis(word.age_ms) + TRANSIT_ALLOWANCE;
        let at = now.saturating_sub(age);
        let revision = self.cache.revision();
        self.freshness
            .observe_confirmation(at, hub, word.last_change, revision);
    }

    /// Whether a hub knows of a change that this entry does not know.
    #[must_use]
    pub fn is_behind_hub(&self) -> bool {
        self.cache.revision() < self.freshness.peer_change()
    }
}
