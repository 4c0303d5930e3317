//! Listings, changes and failures of the platform's store, applied to what is known of its objects.

use super::evacuations::EVACUATION_REWRITE_TIME;
use crate::gateway::WatchedKind;
use crate::gateway::control::{Control, State};
use crate::platform::{Listing, PlatformError, StoreRevision, WatchEvent};
use crate::prelude::*;
use crate::store_view::{ConfirmedBy, StoreOutage};

/// Time in which entries register again after the platform store was restored.
const MEMBER_REWRITE_TIME: Duration = Duration::from_secs(10);

impl Control {
    /// Applies a full listing from the platform store.
    pub(crate) fn apply_listing(self: &Arc<Self>, watched: WatchedKind, listing: Listing) {
        let mut state = self.state();
        self.record_store_success(&mut state, watched);
        self.report_unreadable(&mut state, watched, &listing.unreadable);
        let cache = state.cache_mut(watched);
        if cache.is_outdated(&listing) {
            let (kind, known) = (watched.as_str(), cache.revision());
            let listed = StoreRevision::of(&listing.version).to_bits();
            log::info!("event=listing_outdated kind={kind} listed={listed} known={known}");
            return;
        }
        let is_original = StoreRevision::of(&listing.version).is_of_first_era();
        if cache.is_restored_by(&listing) {
            self.merge_restored(&mut state, watched, listing);
        } else if watched == WatchedKind::Evacuations {
            cache.replace_confirmed(listing);
        } else {
            cache.replace(listing);
        }
        self.update_derived(&mut state, watched);
        if watched == WatchedKind::Weights && is_original {
            state.recall_retired(self.now());
        }
    }

    /// Applies a listing that ended before the last object: what it has is used, and what it lacks is
    /// kept as it was known.
    pub(crate) fn apply_incomplete_listing(
        self: &Arc<Self>,
        watched: WatchedKind,
        listing: Listing,
    ) {
        let mut state = self.state();
        self.report_unreadable(&mut state, watched, &listing.unreadable);
        if state.cache_mut(watched).add_listed(listing) {
            self.update_derived(&mut state, watched);
        }
    }

    /// Adopts the first listing after the store was restored from an older copy. What it lacks or
    /// states in an older version is lost only if its writer does not write it again.
    fn merge_restored(&self, state: &mut State, watched: WatchedKind, listing: Listing) {
        let now = self.now();
        let era = StoreRevision::of(&listing.version).era();
        let kind = watched.as_str();
        let items = listing.items.len();
        log::warn!("event=objects_restored kind={kind} era={era} listed={items}");
        let cache = state.cache_mut(watched);
        match watched {
            WatchedKind::Routes | WatchedKind::Weights => {
                cache.merge_versioned(listing, |spec| self.decoder.version(watched, spec));
            }
            WatchedKind::Members => cache.merge_restored(listing, now + MEMBER_REWRITE_TIME),
            WatchedKind::Evacuations => {
                cache.merge_restored(listing, now + EVACUATION_REWRITE_TIME);
            }
            WatchedKind::Targets => {
                cache.replace(listing);
                let lifetime = self.registration_lifetime;
                state.targets.record_store_restore(now, lifetime);
            }
        }
    }

    /// Applies a watch event from the platform store.
    pub(crate) fn apply_event(self: &Arc<Self>, watched: WatchedKind, event: WatchEvent) {
        let mut state = self.state();
        if !state.cache(watched).is_incomplete() {
            self.record_store_success(&mut state, watched);
        }
        if let WatchEvent::Unreadable(unreadable) = &event {
            self.report_unreadable(&mut state, watched, unreadable);
        }
        if state.cache_mut(watched).apply(event) {
            self.update_derived(&mut state, watched);
        }
    }

    fn record_store_success(&self, state: &mut State, watched: WatchedKind) {
        let now = self.now();
        self.confirm_objects(state, watched, ConfirmedBy::Store);
        if let Some(outage) = state.view_mut(watched).end_outage() {
            let away_ms = now.saturating_sub(outage.noticed_at).as_millis();
            let kind = watched.as_str();
            log::info!("event=store_regained kind={kind} away_ms={away_ms}");
            if watched == WatchedKind::Targets {
                self.record_recovery_of_targets(state, &outage);
            }
        }
    }

    /// Keeps targets whose registration may have expired in an outage until they can have registered
    /// again.
    pub(crate) fn record_recovery_of_targets(&self, state: &mut State, outage: &StoreOutage) {
        let now = self.now();
        let heartbeat = self.target_heartbeat;
        if let Some(until) = outage.doubt_until(now, heartbeat, self.recovery_deadline) {
            let kept_ms = until.saturating_sub(now).as_millis();
            log::info!("event=missing_targets_kept time_ms={kept_ms}");
            state.targets.record_store_recovery(until);
        }
    }

    /// Records a failed call to the platform store, which had not answered by `failed_at`. Calls wait
    /// for a change for `longest_wait`.
    pub(crate) fn record_store_failure(
        &self,
        watched: WatchedKind,
        failed_at: Timestamp,
        longest_wait: Duration,
        err: &PlatformError,
    ) {
        let kind = watched.as_str();
        let failures = &self.shared.metrics.store_failures;
        failures.with_label_values(&[kind]).inc();
        let mut state = self.state();
        let view = state.view_mut(watched);
        if view.record_failure(self.now(), failed_at, longest_wait, err) {
            log::warn!("event=store_lost kind={kind} error={:?}", err.to_string());
        }
    }
}
