//! Passes revisions on to peers.

use crate::catalog::replica::{REPEAT, Replica, WATCHERS};
use crate::catalog::{ReplicaEffect, Source};
use crate::peer::{PeerMessage, rank_key, rank_of};
use crate::prelude::*;

/// Age of a revision after which a peer that does not report it is sent the notes again.
const REPAIR: Duration = Duration::from_millis(400);
/// Further delay for each better placed peer that could send them as well.
const REPAIR_STEP: Duration = Duration::from_millis(300);

impl Replica {
    /// Peers to which a new revision is relayed at once: the own children in a binary tree over the
    /// domain, roots of the tree that do not watch, and entries of other domains that do not watch
    /// and for which this entry is one of the best placed to tell.
    pub(super) fn relays(&self, source: &Source) -> Vec<Name> {
        let near = self.ranked();
        let own = near.iter().position(|name| *name == self.cfg.name);
        let own = own.unwrap_or_default();
        let from_near = matches!(source, Source::Peer(from)
            if self.peers.get(from).is_some_and(|p| p.domain == self.cfg.domain));
        let children = near.iter().skip(2 * own + WATCHERS).take(WATCHERS);
        let roots = near.iter().take(WATCHERS).filter(|name| {
            let watching = self.peers.get(*name).is_some_and(|p| p.watching);
            !watching && (!from_near || own < WATCHERS)
        });
        let far = self.peers.iter().filter(|(name, peer)| {
            peer.domain != self.cfg.domain && !peer.watching && self.sender_rank(name) < WATCHERS
        });
        let mut relays: Vec<_> = children.chain(roots).cloned().collect();
        relays.extend(far.map(|(name, _)| name.clone()));
        relays.sort();
        relays.dedup();
        relays.retain(|name| {
            let behind = self.peers.get(name);
            let sender = matches!(source, Source::Peer(from) if from == name);
            !sender && behind.is_some_and(|p| p.revision < self.catalog.revision)
        });
        relays
    }

    /// Names of the domain's live entries with the own one, best ranked first.
    fn ranked(&self) -> Vec<Name> {
        let near = self.near().map(|(name, _)| name.clone());
        let mut names: Vec<_> = near.chain([self.cfg.name.clone()]).collect();
        names.sort_by_key(|name| rank_key(&self.cfg.domain, name));
        names
    }

    /// Rank of the own entry among those known to be able to bring `to` up to date.
    fn sender_rank(&self, to: &str) -> usize {
        let needed = self.peers.get(to).map_or(0, |p| p.revision);
        let able = self.peers.iter();
        let able = able.filter(|(name, p)| &***name != to && p.revision > needed);
        rank_of(to, &self.cfg.name, able.map(|(name, _)| &**name))
    }

    /// Sends the notes that `to` misses, or the last one when too many are missing; it then asks.
    pub(super) fn send_notes(
        &mut self,
        now: Timestamp,
        to: &Name,
        effects: &mut Vec<ReplicaEffect>,
    ) {
        let Some(peer) = self.peers.get_mut(to) else {
            return;
        };
        peer.sent = Some((self.catalog.revision, now));
        let covers = self
            .tail
            .front()
            .is_some_and(|n| n.against <= peer.revision);
        let missing = self.tail.iter().filter(|n| n.against >= peer.revision);
        let message = if covers {
            PeerMessage::Notes(missing.cloned().collect())
        } else if let Some(last) = self.tail.back() {
            PeerMessage::Notes(vec![last.clone()])
        } else {
            PeerMessage::WholeCatalog(self.catalog.clone())
        };
        let to = to.clone();
        effects.push(ReplicaEffect::Send { to, message });
    }

    /// Sends notes again to peers that still report an older revision.
    pub(super) fn repair(&mut self, now: Timestamp, effects: &mut Vec<ReplicaEffect>) {
        let revision = self.catalog.revision;
        let settled = now.saturating_sub(self.since);
        if revision == 0 || settled < REPAIR {
            return;
        }
        let due = self.peers.iter().filter(|(name, peer)| {
            let repeated = peer
                .sent
                .is_some_and(|(sent, at)| sent == revision && now < at + REPEAT);
            peer.revision < revision
                && !repeated
                && settled
                    >= REPAIR
                        + REPAIR_STEP * u32::try_from(self.sender_rank(name)).unwrap_or(u32::MAX)
        });
        for to in due.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            self.send_notes(now, &to, effects);
        }
    }
}
