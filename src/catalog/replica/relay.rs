//! Relays new revisions to peers, and sends them again to peers that did not get them.

use crate::catalog::replica::{RESEND_INTERVAL, Replica, WATCHERS_PER_DOMAIN};
use crate::catalog::{ReplicaEffect, RevisionSource};
use crate::peer::{PeerMessage, rendezvous_key, rendezvous_rank};
use crate::prelude::*;

/// Age of the revision in force from which peers that do not report it are sent its notes again.
const REPAIR_DELAY: Duration = Duration::from_millis(400);
/// Further delay for each better ranked entry that could send them as well, so that usually only
/// one does.
const REPAIR_DELAY_PER_RANK: Duration = Duration::from_millis(300);

impl Replica {
    /// Peers to which a new revision is relayed at once:
    ///
    /// - the children of this entry in a binary tree over the ranked entries of its domain, whose
    ///   roots are the first [`WATCHERS_PER_DOMAIN`] entries;
    /// - roots of that tree that do not watch the platform, unless the revision came from a peer of
    ///   the domain and this entry is no root;
    /// - entries of other domains that do not watch the platform, if this entry is one of the best
    ///   ranked senders for them.
    pub(super) fn relay_targets(&self, source: &RevisionSource) -> Vec<Name> {
        let ranked = self.ranked_names();
        let own = ranked.iter().position(|name| *name == self.cfg.name);
        let own = own.unwrap_or_default();
        let from_domain_peer = matches!(source, RevisionSource::Peer(from)
            if self.peers.get(from).is_some_and(|p| p.domain == self.cfg.domain));
        let children = ranked
            .iter()
            .skip(2 * own + WATCHERS_PER_DOMAIN)
            .take(WATCHERS_PER_DOMAIN);
        let roots = ranked.iter().take(WATCHERS_PER_DOMAIN).filter(|name| {
            let watching = self.peers.get(*name).is_some_and(|p| p.watching);
            !watching && (!from_domain_peer || own < WATCHERS_PER_DOMAIN)
        });
        let other_domains = self.peers.iter().filter(|(name, peer)| {
            peer.domain != self.cfg.domain
                && !peer.watching
                && self.sender_rank(name) < WATCHERS_PER_DOMAIN
        });
        let mut targets: Vec<_> = children.chain(roots).cloned().collect();
        targets.extend(other_domains.map(|(name, _)| name.clone()));
        targets.sort();
        targets.dedup();
        targets.retain(|name| {
            let peer = self.peers.get(name);
            let is_sender = matches!(source, RevisionSource::Peer(from) if from == name);
            !is_sender && peer.is_some_and(|p| p.revision < self.catalog.revision)
        });
        targets
    }

    /// Names of the live entries of this domain, this one included, best ranked first.
    fn ranked_names(&self) -> Vec<Name> {
        let peers = self.domain_peers().map(|(name, _)| name.clone());
        let mut names: Vec<_> = peers.chain([self.cfg.name.clone()]).collect();
        names.sort_by_key(|name| rendezvous_key(&self.cfg.domain, name));
        names
    }

    /// Rank of this entry among those known to have a newer revision than `to`.
    fn sender_rank(&self, to: &str) -> usize {
        let needed = self.peers.get(to).map_or(0, |p| p.revision);
        let able = self.peers.iter();
        let able = able.filter(|(name, p)| &***name != to && p.revision > needed);
        rendezvous_rank(to, &self.cfg.name, able.map(|(name, _)| &**name))
    }

    /// Sends `to` the notes that it lacks, or only the last one when the tail does not reach back
    /// far enough, upon which `to` requests the full catalog. Sends the full catalog when there are
    /// no notes.
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

    /// Sends notes again to peers that still report an older revision: better ranked senders begin
    /// earlier, and each waits [`RESEND_INTERVAL`] before it repeats a revision to a peer.
    pub(super) fn repair(&mut self, now: Timestamp, effects: &mut Vec<ReplicaEffect>) {
        let revision = self.catalog.revision;
        let age = now.saturating_sub(self.since);
        if revision == 0 || age < REPAIR_DELAY {
            return;
        }
        let due = self.peers.iter().filter(|(name, peer)| {
            let sent_recently = peer
                .sent
                .is_some_and(|(sent, at)| sent == revision && now < at + RESEND_INTERVAL);
            peer.revision < revision
                && !sent_recently
                && age
                    >= REPAIR_DELAY
                        + REPAIR_DELAY_PER_RANK
                            * u32::try_from(self.sender_rank(name)).unwrap_or(u32::MAX)
        });
        for to in due.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            self.send_notes(now, &to, effects);
        }
    }
}
