//! Targets that get no new work: cordoned by this entry or a peer, or paused for their weight version.

use crate::gateway::RegisteredTarget;
use crate::gateway::control::State;
use crate::name_hash::name_hash;
use crate::prelude::*;

/// Time after which a peer's list of cordoned targets expires.
const PEER_CORDON_TTL: Duration = Duration::from_millis(2_500);

impl State {
    /// Gives a target no new work for a time, since its weight version is unknown.
    pub(crate) fn pause_target(&mut self, target: &Name, until: Timestamp) {
        self.paused_targets.insert(target.clone(), until);
    }

    /// Records the targets that a peer has cordoned; returns whether there are any and the list
    /// differs from the peer's previous one.
    pub(crate) fn record_peer_cordons(
        &mut self,
        now: Timestamp,
        peer: &Name,
        cordoned: &[u32],
    ) -> bool {
        let old = if cordoned.is_empty() {
            self.peer_cordons.remove(peer)
        } else {
            self.peer_cordons
                .insert(peer.clone(), (now, cordoned.to_vec()))
        };
        old.is_none_or(|(_, old)| old != cordoned) && !cordoned.is_empty()
    }

    /// Removes expired cordons and pauses, and targets that did not register again; returns whether
    /// there were any.
    pub(crate) fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.peer_cordons.len() + self.paused_targets.len();
        self.peer_cordons
            .retain(|_, (at, _)| now < *at + PEER_CORDON_TTL);
        self.paused_targets.retain(|_, until| now < *until);
        let resumed = self.peer_cordons.len() + self.paused_targets.len() < before;
        let removed = self.targets.expire(now);
        resumed || removed
    }

    /// Whether a target gets no new work, because this entry or a peer has cordoned it or its
    /// weight version is unknown.
    pub(super) fn is_cordoned(&self, target: &RegisteredTarget) -> bool {
        let name = &target.info.name;
        let key = name_hash(name);
        self.paused_targets.contains_key(name)
            || self
                .peer_cordons
                .values()
                .any(|(_, cordoned)| cordoned.contains(&key))
            || self.rollout.cordoned_targets().any(|n| n == name)
    }
}
