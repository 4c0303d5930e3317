//! Messages between entries: status, and objects of the platform store.

use crate::clock::whole_millis;
use crate::context_store::RetiredVersions;
use crate::gateway::control::{Control, State};
use crate::gateway::{TargetLoad, VersionCutoff, WatchedKind};
use crate::name_hash::name_hash;
use crate::peer::{GatewayStatus, Mesh, PeerInfo, PeerLinks, PeerMessage};
use crate::platform::StoreRevision;
use crate::prelude::*;
use crate::scheduler::{Event, Signal};
use crate::store_view::PeerObject;
use crate::telemetry::LogValue;

impl Control {
    /// Builds the status that this entry sends to its peers.
    pub(crate) fn own_status(&self, state: &mut State) -> GatewayStatus {
        let now = self.now();
        let mut loads = self.shared.scheduler.own_loads();
        for (target, granted) in self.domain_scheduler.scheduler.own_loads() {
            loads.entry(target).or_default().add(granted);
        }
        let loads = loads.iter().filter(|(_, load)| load.requests > 0);
        let retired = state.retirement.retired();
        GatewayStatus {
            revisions: state.revisions(),
            evacuations_revision: state.cache(WatchedKind::Evacuations).revision(),
            loads: loads
                .map(|(name, load)| {
                    let load = TargetLoad::from_tokens(load.requests, load.work, load.context);
                    (name_hash(name), load)
                })
                .collect(),
            cordoned_targets: state
                .rollout
                .cordoned_targets()
                .map(|name| name_hash(name))
                .collect(),
            unreachable_targets: {
                let mut names = self.shared.scheduler.newly_unreachable();
                names.extend(self.domain_scheduler.scheduler.newly_unreachable());
                names.iter().map(|name| name_hash(name)).collect()
            },
            target_versions: state.fresh_reported_versions(now),
            declared_versions: {
                let ages = state.versions.declaration_ages(now);
                ages.map(|(model, version, age)| (model, version, whole_millis(age)))
                    .collect()
            },
            undated_versions: state.versions.undated_declarations(now).collect(),
            retired_below: (retired.all_below, retired.half_below),
            retired_counts: state.retirement.counts(now),
            round_trip: None,
            limits: self.shared.limits.reports(now),
            cut_off_entries: {
                let cut_off = self.shared.paths.is_cut_off();
                cut_off.then(|| name_hash(&self.name)).into_iter().collect()
            },
            stream_origins: std::mem::take(&mut state.new_origins),
            confirmations: state.confirmations(now),
        }
    }

    /// Sends the own status to all peers, as is done in a small system.
    pub(crate) fn broadcast_status(&self, mesh: &Mesh) {
        let mut state = self.state();
        let mut status = self.own_status(&mut state);
        status.round_trip = state.due_round_trip(self.now());
        drop(state);
        mesh.broadcast(&PeerMessage::Gateway(Box::new(status)));
    }

    /// Applies a peer's status; in a large system, one from the own failure domain is also kept for
    /// the digests that this entry sends if it is the hub.
    pub(crate) fn apply_status(&self, peer: &PeerInfo, status: &GatewayStatus) {
        let now = self.now();
        let mut state = self.state();
        let made_after = state.record_round_trip(&peer.name, status.round_trip.as_ref());
        if state.uses_hubs() && peer.domain == self.domain {
            state
                .aggregator
                .record_status(now, made_after, &peer.name, status.clone());
        }
        state.loads.record(now, &peer.name, status.loads.clone());
        let retired = retired_versions(status.retired_below);
        state.retirement.retire(retired);
        if let Some(made_after) = made_after.filter(|_| status.retired_counts) {
            let peer = name_hash(&peer.name);
            state.retirement.record_report(made_after, peer, retired);
            if !state.may_fetch {
                self.refresh_fetch_lease(&mut state);
            }
        }
        self.apply_common(&mut state, &peer.name, status);
    }

    /// Applies the parts that an entry's status and a hub's digest have in common.
    pub(crate) fn apply_common(&self, state: &mut State, peer: &Name, status: &GatewayStatus) {
        let now = self.now();
        for revision in status.all_revisions() {
            let era = StoreRevision::from_bits(revision).era();
            self.platform.observe_era(era);
        }
        let mut changed = state.record_peer_cordons(now, peer, &status.cordoned_targets);
        for (key, version) in &status.target_versions {
            changed |= state.record_version_by_hash(now, *key, *version);
        }
        if changed {
            self.submit_targets(state);
        }
        self.shared.limits.merge(now, peer, &status.limits);
        self.shared.relays.record_cut_off(&status.cut_off_entries);
        self.record_stream_origins(status.stream_origins.clone());
        for target in state.targets_by_hash(&status.unreachable_targets) {
            self.submit_signal(target.clone(), Signal::ReportedUnreachable);
            // It may have started again before this entry tries to connect.
            self.submit_signal(target, Signal::MayHaveRestarted);
        }
        for (model, version, age) in &status.declared_versions {
            let age = Duration::from_millis(*age);
            let versions = &mut state.versions;
            if let Some(cutoff) = versions.record_declaration_age(now, *model, *version, age) {
                log_cutoff(&cutoff, peer);
            }
        }
        for (model, version) in &status.undated_versions {
            state.versions.record_undated_declaration(*model, *version);
        }
        state.observe_confirmations(now, peer, &status.confirmations);
        self.observe_revisions(state, peer, status);
    }

    /// Records the revisions that a peer reports, and requests its objects of each kind that are newer
    /// while the platform store is away.
    pub(crate) fn observe_revisions(&self, state: &mut State, peer: &Name, status: &GatewayStatus) {
        let now = self.now();
        let revisions = status.all_revisions();
        for watched in self.watched_kinds() {
            let kind = watched.index();
            let view = state.view_mut(watched);
            if view.observe_peer_revision(now, revisions[kind]) {
                self.send(peer, PeerMessage::WantObjects { kind });
            }
        }
    }

    /// Sends the objects of one kind to a peer.
    pub(crate) fn send_objects(&self, peer: &str, kind: usize) {
        let state = self.state();
        let cache = state.views.get(kind).map(|view| &view.cache);
        let Some(cache) = cache.filter(|cache| cache.revision() > 0) else {
            return;
        };
        let message = PeerMessage::Objects {
            kind,
            revision: cache.revision(),
            objects: cache.to_peer_objects(),
        };
        drop(state);
        self.send(peer, message);
    }

    /// Adopts a peer's objects while the platform store is unreachable, if they are newer.
    pub(crate) fn adopt_objects(
        self: &Arc<Self>,
        peer: &str,
        kind: usize,
        revision: u64,
        objects: Vec<PeerObject>,
    ) {
        let Some(watched) = self.watched_kinds().find(|k| k.index() == kind) else {
            return;
        };
        let keep_until = self.keep_unlisted_until(watched);
        let mut state = self.state();
        let view = state.view_mut(watched);
        let former = StoreRevision::from_bits(view.cache.revision());
        if !view.adopt(revision, objects, keep_until) {
            return;
        }
        let outage = view.outage();
        if let Some(outage) = outage.filter(|_| watched == WatchedKind::Targets) {
            // The peer may have read the list before targets had registered again.
            self.record_recovery_of_targets(&mut state, &outage);
        }
        let restored = StoreRevision::from_bits(revision).era() > former.era();
        if watched == WatchedKind::Targets && restored && former.to_bits() > 0 {
            let (now, lifetime) = (self.now(), self.registration_lifetime);
            state.targets.record_store_restore(now, lifetime);
        }
        let (kind, peer) = (watched.as_str(), LogValue(peer));
        log::info!("event=objects_adopted kind={kind} peer={peer} revision={revision}");
        self.update_derived(&mut state, watched);
    }

    /// Updates the live peers.
    pub(crate) fn set_live_peers(&self, live: &[PeerInfo]) {
        let mut state = self.state();
        let staying = live.iter().filter(|p| !p.draining);
        let names: Vec<Name> = staying.map(|p| p.name.clone()).collect();
        let lost = state.peers.iter().filter(|n| !names.contains(n));
        let lost: Vec<Name> = lost.cloned().collect();
        for lost in lost {
            log::info!("event=peer_lost peer={}", LogValue(&lost));
            state.unlisted_entries.record_lost(self.now(), lost);
        }
        let found = names.iter().filter(|n| !state.peers.contains(n));
        let found: Vec<Name> = found.cloned().collect();
        for found in &found {
            log::info!("event=peer_found peer={}", LogValue(found));
            self.exchange_quarantines(&mut state, found);
        }
        // Entries that only this one cannot reach use their part of the retry budget as well.
        let entries = state.entry_count().max(names.len() + 1);
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        let count = i64::try_from(names.len()).unwrap_or(i64::MAX);
        self.shared
            .quarantine_notices
            .retain_peers(|name| names.iter().any(|n| **n == *name));
        self.shared.metrics.peers.set(count);
        let is_live = |name: &str| *name == *self.name || names.iter().any(|n| **n == *name);
        self.domain_scheduler.retain_entries(is_live);
        self.shared.scheduler_client.retain_hubs(is_live);
        self.shared.prompt_quarantine.set_peers(names.clone());
        let is_linked = |name: &Name| live.iter().any(|peer| peer.name == *name);
        state.round_trips.retain(is_linked);
        state.peers = names;
        let (members, _) = state.decode_members();
        self.update_relays(&state, &members);
        state.set_hub_candidates(live.to_vec());
        drop(state);
        self.shared.scheduler.submit(Event::EntryCount(entries));
    }
}

/// Logs until when requests may start on weights older than a version, and which entry said so.
fn log_cutoff(cutoff: &VersionCutoff, peer: &str) {
    log::info!(
        "event=weights_cutoff model={} version={} time_left_ms={} by={}",
        LogValue(&cutoff.model),
        cutoff.version,
        cutoff.time_left.as_millis(),
        LogValue(peer)
    );
}

/// Converts retired versions from their wire format.
pub(crate) fn retired_versions((all_below, half_below): (u64, u64)) -> RetiredVersions {
    RetiredVersions {
        all_below,
        half_below,
    }
}
