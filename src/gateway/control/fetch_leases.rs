//! Leases for fetches from context stores: what proves how recent the others' reports are.

use crate::clock::whole_millis;
use crate::context_store::FetchLease;
use crate::gateway::ROUND_TRIP_INTERVAL;
use crate::gateway::control::peers::retired_versions;
use crate::gateway::control::{Control, State};
use crate::peer::{GatewayDigest, RoundTrip};
use crate::prelude::*;

impl State {
    /// Until when this entry may fetch stored context; `own` is its name.
    pub(crate) fn fetch_lease(&self, now: Timestamp, own: &str) -> FetchLease {
        let others = self.current_others(now, own);
        self.retirement.fetch_lease(now, others.as_ref())
    }

    /// Records the proof that came with a peer's message; returns a time after which the message was
    /// made. The first one of a peer is answered with the next status.
    pub(crate) fn record_round_trip(
        &mut self,
        peer: &Name,
        round_trip: Option<&RoundTrip>,
    ) -> Option<Timestamp> {
        let round_trip = round_trip?;
        if !self.round_trips.knows(peer) {
            self.round_trip_sent_at = None;
        }
        self.round_trips.record(peer, round_trip)
    }

    /// Proof of how recent the next status to all peers is, if one is due.
    pub(crate) fn due_round_trip(&mut self, now: Timestamp) -> Option<RoundTrip> {
        let last = self.round_trip_sent_at;
        if last.is_some_and(|last| now < last + ROUND_TRIP_INTERVAL) {
            return None;
        }
        self.round_trip_sent_at = Some(now);
        let draining = self.draining_peers.iter().map(|peer| &peer.name);
        let receivers = self.peers.iter().chain(draining);
        Some(self.round_trips.round_trip(now, receivers))
    }
}

impl Control {
    /// Bounds fetches by what this entry has retired and by its lease.
    pub(crate) fn refresh_fetch_lease(&self, state: &mut State) {
        let now = self.now();
        let retired = state.retirement.retired();
        let lease = state.fetch_lease(now, &self.name);
        log_fetch_lease(state, now, lease);
        self.shared
            .store_directory()
            .restrict_fetches(retired, lease.until.unwrap_or_default());
    }
}

/// Records what the entries of a digest have all retired.
pub(crate) fn record_retired_by_all(
    state: &mut State,
    made_after: Option<Timestamp>,
    digest: &GatewayDigest,
) {
    let age = digest.entries_age_ms.map(Duration::from_millis);
    let Some((made_after, age)) = made_after.zip(age) else {
        return;
    };
    let retired = retired_versions(digest.retired_by_all);
    for entry in &digest.entries {
        let known_at = made_after.saturating_sub(age);
        state.retirement.record_report(known_at, *entry, retired);
    }
}

/// Logs whether stored context may be fetched, when that changes.
fn log_fetch_lease(state: &mut State, now: Timestamp, lease: FetchLease) {
    let held = lease.until.is_some_and(|until| now < until);
    if std::mem::replace(&mut state.may_fetch, held) == held {
        return;
    }
    let FetchLease {
        until,
        reports,
        needed,
    } = lease;
    let left_ms = until.map_or(0, |until| whole_millis(until.saturating_sub(now)));
    log::info!("event=fetch_lease held={held} reports={reports} needed={needed} left_ms={left_ms}");
}
