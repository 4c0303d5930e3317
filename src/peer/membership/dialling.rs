//! Which addresses an entry dials.

use std::net::SocketAddr;

use super::Membership;
use crate::peer::BRIDGES_PER_DOMAIN;
use crate::prelude::*;

/// Failure domains up to which each is linked to all others; more form a ring with chords.
const MAX_MESHED_DOMAINS: usize = 8;
/// Number of linked failure domains below which a bridge dials all others.
const MIN_LINKED_DOMAINS: usize = 2;

impl Membership {
    /// Addresses to dial, each as soon as its redial delay is over.
    pub(super) fn dial_candidates(&self, now: Timestamp) -> Vec<SocketAddr> {
        let mut addrs = self.unlinked_seeds();
        if let Some(names) = self.candidates.get(&self.cfg.domain) {
            addrs.extend(self.unlinked_in_domain(now, names));
        }
        if self.is_bridge() {
            for domain in self.neighbour_domains(now) {
                addrs.extend(self.unlinked_bridges(now, domain, &self.candidates[domain]));
            }
        }
        addrs
    }

    /// Failure domains to which a bridge links.
    ///
    /// Up to [`MAX_MESHED_DOMAINS`] these are all. Otherwise they are the domains at distances of
    /// powers of two on the ring of domain names, as in Chord. From a peer timeout after the list
    /// changed they are all domains while fewer than [`MIN_LINKED_DOMAINS`] are linked.
    fn neighbour_domains(&self, now: Timestamp) -> Vec<&Name> {
        let own = &self.cfg.domain;
        let others = self.candidates.keys().filter(|domain| *domain != own);
        let mut ring: Vec<&Name> = others.chain([own]).collect();
        ring.sort();
        let len = ring.len();
        let own_index = ring.iter().position(|domain| *domain == own);
        let own_index = own_index.unwrap_or_default();
        let mut linked: Vec<_> = self.links.values().map(|l| &l.connection.domain).collect();
        linked.retain(|domain| *domain != own);
        linked.sort();
        linked.dedup();
        let too_few = linked.len() < MIN_LINKED_DOMAINS
            && now >= self.list_changed_at + self.cfg.peer_timeout;
        if len <= MAX_MESHED_DOMAINS || too_few {
            ring.retain(|domain| *domain != own);
            return ring;
        }
        let distances = (0..).map(|k| 1 << k).take_while(|distance| *distance < len);
        let mut chords: Vec<_> = distances
            .flat_map(|distance| {
                [
                    ring[(own_index + distance) % len],
                    ring[(own_index + len - distance) % len],
                ]
            })
            .collect();
        chords.sort();
        chords.dedup();
        chords
    }

    fn unlinked_seeds(&self) -> Vec<SocketAddr> {
        let seeds = self.cfg.seeds.iter().copied();
        let unlinked = seeds.filter(|addr| {
            let peer = self.dials.get(addr).and_then(|d| d.peer.as_ref());
            !peer.is_some_and(|name| *name == self.cfg.name || self.is_linked(name))
        });
        unlinked.collect()
    }

    /// Addresses of unlinked peers of the own domain. Of two entries the one with the lower name
    /// dials. If they are still not linked a peer timeout after the list changed, the first one has
    /// failed to link them and the other one dials as well.
    fn unlinked_in_domain(&self, now: Timestamp, names: &[Name]) -> Vec<SocketAddr> {
        let dial_all = now >= self.list_changed_at + self.cfg.peer_timeout;
        let names = names.iter().filter(|name| !self.is_linked(name));
        names
            .filter(|name| dial_all || self.cfg.name < **name)
            .map(|name| self.listed[name].address)
            .collect()
    }

    /// Addresses of the best ranked peers of another domain that are neither linked nor in their
    /// redial delay, as many as links to that domain are missing.
    fn unlinked_bridges(&self, now: Timestamp, domain: &Name, names: &[Name]) -> Vec<SocketAddr> {
        let links = self.links.values().map(|l| &l.connection);
        let linked = links.filter(|c| c.domain == *domain).count();
        let backing_off =
            |addr: &SocketAddr| self.dials.get(addr).is_some_and(|d| d.next_attempt > now);
        names
            .iter()
            .filter(|name| !self.is_linked(name))
            .map(|name| self.listed[name].address)
            .filter(|addr| !backing_off(addr))
            .take(BRIDGES_PER_DOMAIN.saturating_sub(linked))
            .collect()
    }
}
