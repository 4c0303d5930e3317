//! Transfers of a prompt's shared parts from and to context stores.

use std::net::SocketAddr;

use crate::context_store::PartKey;
use crate::context_store::directory::{StoreDirectory, TransferPlan};
use crate::prelude::*;
use crate::residency::AllowedDomains;

/// Time after which a save that no store has confirmed is requested again.
const SAVE_RETRY_DELAY: Duration = Duration::from_secs(3);
/// Shortest part that is worth a transfer, in tokens.
const MIN_SAVE_TOKENS: u32 = 256;
/// Number of requested saves on record at which those past [`SAVE_RETRY_DELAY`] are dropped.
const MAX_REQUESTED_SAVES: usize = 8_192;

impl StoreDirectory {
    /// Plans the transfers of a prompt's shared parts, given with their lengths in tokens; the plan
    /// has the same order. If `allowed` is given, only stores in those failure domains are used.
    /// Records the saves that it requests, so that later plans don't repeat them.
    pub fn plan_transfers(
        &mut self,
        now: Timestamp,
        scope: &Name,
        parts: &[(Name, u32)],
        allowed: Option<&AllowedDomains>,
    ) -> TransferPlan {
        let mut plan = TransferPlan::default();
        for (id, tokens) in parts {
            let part = PartKey {
                scope: scope.clone(),
                id: id.clone(),
            };
            let source = self.find_source(now, &part, allowed);
            let save = match source {
                None if *tokens >= MIN_SAVE_TOKENS && !self.is_retired(&part) => {
                    self.choose_store(now, &part, *tokens, allowed)
                }
                _ => None,
            };
            plan.fetch.push(source);
            plan.save.push(save);
        }
        plan
    }

    /// Failure domain of the store from which a part would be fetched, if any.
    #[must_use]
    pub fn domain_of(
        &self,
        now: Timestamp,
        scope: &Name,
        id: &Name,
        allowed: Option<&AllowedDomains>,
    ) -> Option<&Name> {
        let part = PartKey {
            scope: scope.clone(),
            id: id.clone(),
        };
        let store = self.stores.get(&self.find_source(now, &part, allowed)?);
        store.map(|s| &s.domain)
    }

    /// Store from which a part may be fetched: one that answers and holds the complete part. `None`
    /// for a retired part, and while this entry may not fetch at all.
    fn find_source(
        &self,
        now: Timestamp,
        part: &PartKey,
        allowed: Option<&AllowedDomains>,
    ) -> Option<SocketAddr> {
        if now >= self.fetch_until || self.is_retired(part) {
            return None;
        }
        let usable = self
            .stores
            .iter()
            .filter(|(_, s)| s.is_usable(now, allowed));
        let mut holders = usable.filter(|(_, s)| s.parts.contains(part));
        holders.next().map(|(addr, _)| *addr)
    }

    /// Chooses the store at which to save a part, among those that take it, by weighted rendezvous
    /// hashing (Schindelhauer and Schomaker 2005), so that all entries choose the same store.
    /// Records the save. `None` if no store takes it or a save was requested recently.
    fn choose_store(
        &mut self,
        now: Timestamp,
        part: &PartKey,
        tokens: u32,
        allowed: Option<&AllowedDomains>,
    ) -> Option<SocketAddr> {
        let requested = self.requested_saves.get(part);
        if requested.is_some_and(|at| now < *at + SAVE_RETRY_DELAY) {
            return None;
        }
        let usable = self
            .stores
            .iter()
            .filter(|(_, s)| s.is_usable(now, allowed));
        let candidates = usable.filter(|(_, s)| s.takes(now, tokens));
        let best = candidates.max_by(|(a, sa), (b, sb)| {
            let (score_a, score_b) = (
                rendezvous_score(**a, sa.capacity, part),
                rendezvous_score(**b, sb.capacity, part),
            );
            score_a.total_cmp(&score_b)
        });
        let addr = best.map(|(addr, _)| *addr)?;
        if self.requested_saves.len() >= MAX_REQUESTED_SAVES {
            self.requested_saves
                .retain(|_, at| now < *at + SAVE_RETRY_DELAY);
        }
        self.requested_saves.insert(part.clone(), now);
        Some(addr)
    }
}

/// Weighted rendezvous score of a store for a part. The store with the greatest score wins; each
/// store wins in proportion to its capacity.
fn rendezvous_score(addr: SocketAddr, capacity: u32, part: &PartKey) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(addr.to_string().as_bytes());
    hasher.update(part.scope.as_bytes()).update(&[0]);
    hasher.update(part.id.as_bytes());
    let bytes = hasher.finalize().as_bytes().first_chunk::<4>().copied();
    let hash = f64::from(u32::from_le_bytes(bytes.unwrap_or_default())) + 1.0;
    let uniform = hash / (f64::from(u32::MAX) + 2.0);
    -f64::from(capacity) / uniform.ln()
}
