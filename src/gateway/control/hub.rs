//! Words in a large system: entries tell the hub of their failure domain, and hubs tell each other
//! and their entries.
//!
//! Each entry sends and receives one message an interval, however many entries there are; a hub does
//! so for each entry of its failure domain and for each other failure domain.

use crate::gateway::Hubs;
use crate::gateway::control::Control;
use crate::gateway::control::peers::retired;
use crate::peer::{GatewayDigest, Mesh, PeerInfo, PeerLinks, PeerMessage};
use crate::prelude::*;

impl Control {
    /// Tells the hub, or as a hub everyone that relies on this entry.
    pub(crate) fn tell_hub(&self, mesh: &Mesh) {
        let now = self.now();
        let mut state = self.state();
        let word = self.own_word(&mut state);
        let own = state.hub_peer(&self.own_vm);
        let peers = state.hub_peers.clone();
        let was_hub = state.hubs.relied_on().is_none();
        if let Some(hub) = state.hubs.choose(now, &own, &peers) {
            if was_hub {
                state.gatherer.clear();
            }
            state.told_loads.clone_from(&word.loads);
            drop(state);
            mesh.send(&hub, PeerMessage::Gateway(word));
            return;
        }
        if !was_hub {
            state.loads.clear();
        }
        let heard = state.gatherer.hubs(now);
        let (domain, all) = state.gatherer.digests(now, &self.name, word);
        drop(state);
        for hub in Hubs::others(&own, &peers, &heard) {
            mesh.send(&hub, PeerMessage::Digest(Box::new(domain.clone())));
        }
        let near = peers.iter().filter(|p| p.domain == own.domain);
        let near: Vec<Name> = near.map(|p| p.name.clone()).collect();
        mesh.multicast(&near, &PeerMessage::Digest(Box::new(all)));
    }

    /// Takes a hub's digest: that of the own hub, or as a hub that of another failure domain.
    pub(crate) fn take_digest(&self, from: &PeerInfo, mut digest: GatewayDigest) {
        let now = self.now();
        let kept = std::mem::take(&mut digest.store_updates);
        let mut state = self.state();
        if from.domain == self.domain {
            if state.hubs.relied_on() != Some(&from.name) {
                return;
            }
            state.hubs.heard(now, &from.name);
            let own = std::mem::take(&mut state.told_loads);
            let sum = digest.merged.loads.clone();
            state.loads.take_sum(now, &from.name, sum, &own);
            state.told_loads = own;
        } else {
            let loads = digest.merged.loads.clone();
            state.loads.take(now, &from.name, loads);
            state.gatherer.take_digest(now, &from.name, digest.clone());
        }
        let agreed = retired(digest.retired_by_all);
        state
            .retirement
            .record_retired_by_all(now, &digest.entries, agreed);
        state
            .retirement
            .retire(retired(digest.merged.retired_below));
        self.take_common(&mut state, &from.name, &digest.merged);
        drop(state);
        for news in kept {
            self.take_kept(from, news);
        }
    }
}
