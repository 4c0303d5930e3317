//! Status exchange in a large system: entries send their status to the hub of their failure domain,
//! and hubs send digests to each other and to their entries.
//!
//! In each interval, an entry sends and receives one message, regardless of the number of entries.
//! A hub does so for each entry of its failure domain and for each other failure domain.

use crate::gateway::control::fetch_leases::record_retired_by_all;
use crate::gateway::control::peers::retired_versions;
use crate::gateway::control::{Control, State};
use crate::gateway::{HubCandidate, HubSelector};
use crate::peer::{GatewayDigest, Mesh, PeerInfo, PeerLinks, PeerMessage};
use crate::platform::Vm;
use crate::prelude::*;

/// Maximum number of entries that send their status to all peers. Their load reports are recent
/// enough that requests wait at the entries and never at targets.
const MAX_ENTRIES_WITHOUT_HUBS: usize = 10;

impl State {
    /// Whether there are so many entries that they exchange their status through hubs.
    pub(crate) fn uses_hubs(&self) -> bool {
        self.entry_count() > MAX_ENTRIES_WITHOUT_HUBS
    }

    /// Sets the live entries.
    pub(crate) fn set_hub_candidates(&mut self, live: Vec<PeerInfo>) {
        let peers = live.into_iter().map(|peer| HubCandidate {
            cpu_millis: self.cpu_shares.get(&peer.name).copied().unwrap_or_default(),
            name: peer.name,
            domain: peer.domain,
            draining: peer.draining,
        });
        (self.draining_peers, self.hub_candidates) = peers.partition(|peer| peer.draining);
    }

    /// Records the CPU shares of the entries.
    pub(crate) fn set_cpu_shares(&mut self, members: &[Vm]) {
        let cpu_shares = members.iter().map(|vm| (vm.name.clone(), vm.cpu_millis));
        self.cpu_shares = cpu_shares.collect();
        for peer in &mut self.hub_candidates {
            peer.cpu_millis = self.cpu_shares.get(&peer.name).copied().unwrap_or_default();
        }
    }

    /// This entry as a candidate for the hub.
    pub(crate) fn own_hub_candidate(&self, own: &Vm, draining: bool) -> HubCandidate {
        HubCandidate {
            name: own.name.clone(),
            domain: own.domain.clone(),
            // The value from the platform store, as peers use it, so that all select the same hub.
            cpu_millis: self.cpu_shares.get(&own.name).copied().unwrap_or_default(),
            draining,
        }
    }

    /// Number of failure domains with live entries, including the own one.
    pub(crate) fn domain_count(&self) -> usize {
        let mut domains: SmallVec<[&Name; 8]> =
            self.hub_candidates.iter().map(|c| &c.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        domains.len().max(1)
    }
}

impl Control {
    /// Sends the own status to the hub; if this entry is the hub, sends digests to the other hubs
    /// and to the entries of its failure domain.
    pub(crate) fn exchange_with_hubs(&self, mesh: &Mesh) {
        let now = self.now();
        let mut state = self.state();
        let mut status = self.own_status(&mut state);
        // They were kept for the status of a small system.
        for origin in std::mem::take(&mut status.stream_origins) {
            self.shared.stream_origins.announce(now, origin);
        }
        let draining = self.shared.drain.is_draining();
        let own = state.own_hub_candidate(&self.own_vm, draining);
        let peers = state.hub_candidates.clone();
        let was_hub = state.hub_selector.current().is_none();
        if let Some(hub) = state.hub_selector.select(now, &own, &peers) {
            if was_hub {
                // What was collected must not enter a digest when this entry is the hub again.
                state.aggregator.clear();
            }
            state.loads_sent_to_hub.clone_from(&status.loads);
            status.round_trip = Some(state.round_trips.round_trip(now, [&hub]));
            self.domain_scheduler.set_serving(false);
            drop(state);
            mesh.send(&hub, PeerMessage::Gateway(Box::new(status)));
            return;
        }
        if !was_hub {
            // The former hub's sum includes the loads that the entries now report to this one.
            state.loads.clear();
        }
        let active = state.aggregator.live_hubs(now);
        let (mut domain, mut all) = state
            .aggregator
            .digests(now, &self.own_domain_hub(), status);
        self.shared.scheduler_client.set_hubs(all.hubs.clone());
        if self.domain_scheduler.set_serving(!draining) && !draining {
            log::info!("event=domain_scheduler_started");
            self.submit_targets(&mut state);
        }
        let live = peers.iter().chain(&state.draining_peers);
        let hubs = HubSelector::other_domain_hubs(&own, live.clone(), &active);
        let near = live.filter(|p| p.domain == own.domain);
        let near: Vec<Name> = near.map(|p| p.name.clone()).collect();
        domain.merged.round_trip = Some(state.round_trips.round_trip(now, &hubs));
        all.merged.round_trip = Some(state.round_trips.round_trip(now, &near));
        drop(state);
        mesh.multicast(&hubs, &PeerMessage::Digest(Box::new(domain)));
        mesh.multicast(&near, &PeerMessage::Digest(Box::new(all)));
    }

    /// Applies a digest from this entry's hub or from a hub of another failure domain. Of one from
    /// another entry of the own failure domain only the revisions count: entries that have excluded this
    /// one as a hub tell it nothing else.
    pub(crate) fn apply_digest(&self, from: &PeerInfo, mut digest: GatewayDigest) {
        let now = self.now();
        let store_updates = std::mem::take(&mut digest.store_updates);
        let mut state = self.state();
        let round_trip = digest.merged.round_trip.as_ref();
        let made_after = state.record_round_trip(&from.name, round_trip);
        if from.domain == self.domain {
            if state.hub_selector.current() != Some(&from.name) {
                self.observe_revisions(&mut state, &from.name, &digest.merged);
                return;
            }
            state.hub_selector.record_digest(now, &from.name);
            let own = std::mem::take(&mut state.loads_sent_to_hub);
            let sum = digest.merged.loads.clone();
            state.loads.record_sum(now, &from.name, sum, &own);
            state.loads_sent_to_hub = own;
            let hubs = digest.hubs.clone();
            self.shared.scheduler_client.set_hubs(hubs);
        } else {
            let loads = digest.merged.loads.clone();
            state.loads.record(now, &from.name, loads);
            state
                .aggregator
                .record_digest(now, made_after, &from.name, digest.clone());
        }
        record_retired_by_all(&mut state, made_after, &digest);
        state
            .retirement
            .retire(retired_versions(digest.merged.retired_below));
        if !state.may_fetch {
            self.refresh_fetch_lease(&mut state);
        }
        self.apply_common(&mut state, &from.name, &digest.merged);
        drop(state);
        for update in store_updates {
            self.apply_store_update(from, update);
        }
    }
}
