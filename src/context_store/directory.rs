//! Directory of the parts that context stores hold.

mod held_parts;
mod transfers;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::context_store::directory::held_parts::HeldParts;
use crate::context_store::{FETCH_TIMEOUT, PartKey, RetiredVersions, StoreChange, StoreUpdate};
use crate::prelude::*;
use crate::residency::AllowedDomains;
use crate::route::scope_version;

/// Time after a store's last answer during which the store is used. Nothing is fetched from a store
/// that has been silent for longer, since it may have restarted and may be writing the same parts
/// again; nothing is saved or freed there either.
const STORE_ANSWER_TTL: Duration = Duration::from_millis(1_200);
/// Time in which the changes of a store reach entries that do not watch it themselves.
const RELAY_TIME: Duration = Duration::from_millis(300);
/// Time for which nothing is saved at a store after its restart was noticed. Entries that have not
/// noticed it yet fetch what it held before, and would get parts that are being written.
const RESTART_SAVE_DELAY: Duration = STORE_ANSWER_TTL
    .saturating_add(RELAY_TIME)
    .saturating_add(FETCH_TIMEOUT);
/// Fraction of a store's capacity up to which parts are saved.
const MAX_FILL: f64 = 0.97;

/// A context store as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreInfo {
    /// Address.
    pub address: SocketAddr,
    /// Capacity, in tokens.
    pub capacity: u32,
    /// Failure domain.
    pub domain: Name,
}

#[derive(Clone, Debug)]
struct Store {
    capacity: u32,
    domain: Name,
    /// Boot epoch in the last update; zero before the first.
    epoch: u64,
    /// Earliest time at which parts are saved.
    saves_from: Timestamp,
    /// Sequence number of the next change.
    next_seq: u64,
    used_tokens: u32,
    parts: HeldParts,
    /// Time of the last answer; `None` while the contents are unknown or possibly outdated.
    answered_at: Option<Timestamp>,
}

impl Store {
    fn is_fresh(&self, now: Timestamp) -> bool {
        self.answered_at
            .is_some_and(|at| now < at + STORE_ANSWER_TTL)
    }

    /// Whether the store answers and is in one of the failure domains `allowed`, if any are named.
    fn is_usable(&self, now: Timestamp, allowed: Option<&AllowedDomains>) -> bool {
        self.is_fresh(now) && allowed.is_none_or(|allowed| allowed.contains(&self.domain))
    }

    /// Whether a part may be saved: there is room, and no other entry may take the store for what it
    /// was before its last restart.
    fn takes(&self, now: Timestamp, tokens: u32) -> bool {
        now >= self.saves_from && self.has_room(tokens)
    }

    /// Records the boot epoch of an update.
    fn record_epoch(&mut self, now: Timestamp, update: &StoreUpdate) {
        if self.epoch == update.epoch {
            return;
        }
        // All entries wait after a restart, so a store that holds parts has run for longer. Only an
        // entry that has just started meets such a store unknown.
        let holds_parts = update.gap || update.changes.iter().any(|change| change.tokens > 0);
        let runs_for_long = self.epoch == 0 && holds_parts;
        self.epoch = update.epoch;
        self.saves_from = if runs_for_long {
            now
        } else {
            now + RESTART_SAVE_DELAY
        };
    }

    fn has_room(&self, tokens: u32) -> bool {
        f64::from(self.used_tokens.saturating_add(tokens)) < f64::from(self.capacity) * MAX_FILL
    }

    fn apply(&mut self, change: StoreChange) {
        let tokens = change.tokens;
        let old = self.parts.apply(change).unwrap_or_default();
        self.used_tokens = self.used_tokens.saturating_sub(old);
        self.used_tokens = self.used_tokens.saturating_add(tokens);
    }
}

/// Transfers that go with a request to a target: one item for each shared part of the prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TransferPlan {
    /// Store to fetch the part from, if any.
    pub fetch: SmallVec<[Option<SocketAddr>; 4]>,
    /// Store to save the part at, if any.
    pub save: SmallVec<[Option<SocketAddr>; 4]>,
}

impl TransferPlan {
    /// Whether any part is fetched.
    #[must_use]
    pub fn fetches(&self) -> bool {
        self.fetch.iter().any(Option::is_some)
    }

    /// Whether any part is saved.
    #[must_use]
    pub fn saves(&self) -> bool {
        self.save.iter().any(Option::is_some)
    }
}

/// Result of applying an update that a peer relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    /// The update was applied and is to be relayed further.
    Applied,
    /// The update holds nothing new, or its store is not in use.
    AlreadyKnown,
    /// Changes before the update are missing; the full contents must be requested from the peer.
    Gap,
}

/// Contents of all context stores in use, as last reported by them.
#[derive(Clone, Debug, Default)]
pub struct StoreDirectory {
    stores: BTreeMap<SocketAddr, Store>,
    /// When a save of each part was last requested, until a store reports a change of the part.
    requested_saves: HashMap<PartKey, Timestamp>,
    retired: RetiredVersions,
    /// Until when parts may be fetched.
    fetch_until: Timestamp,
}

impl StoreDirectory {
    /// Sets the retired versions, whose parts are neither fetched nor saved, and until when anything
    /// may be fetched at all.
    pub fn restrict_fetches(&mut self, retired: RetiredVersions, fetch_until: Timestamp) {
        self.retired = retired;
        self.fetch_until = fetch_until;
    }

    fn is_retired(&self, part: &PartKey) -> bool {
        scope_version(&part.scope).is_some_and(|v| self.retired.covers(v, &part.id))
    }

    /// Sets the stores in use and returns the addresses of those added.
    pub fn set_stores(&mut self, stores: &[StoreInfo]) -> Vec<SocketAddr> {
        self.stores
            .retain(|addr, _| stores.iter().any(|s| s.address == *addr));
        let mut added = Vec::new();
        for info in stores {
            let store = self.stores.entry(info.address).or_insert_with(|| {
                added.push(info.address);
                Store {
                    capacity: info.capacity,
                    domain: info.domain.clone(),
                    epoch: 0,
                    saves_from: Timestamp::ZERO,
                    next_seq: 0,
                    used_tokens: 0,
                    parts: HeldParts::default(),
                    answered_at: None,
                }
            });
            store.capacity = info.capacity;
            store.domain.clone_from(&info.domain);
        }
        added
    }

    /// Sequence number from which to request a store's changes; `None` if the store is no longer in
    /// use.
    #[must_use]
    pub fn next_seq(&self, addr: SocketAddr) -> Option<u64> {
        self.stores.get(&addr).map(|s| s.next_seq)
    }

    /// Applies changes that a store reported. Returns true if the full list is needed instead,
    /// because the store has restarted or no longer has all changes.
    pub fn apply_changes(&mut self, now: Timestamp, addr: SocketAddr, update: StoreUpdate) -> bool {
        let Some(store) = self.stores.get_mut(&addr) else {
            return false;
        };
        if update.epoch != store.epoch || update.gap {
            // The first request asks for all changes since the store's boot, so no list is needed.
            let is_first = store.epoch == 0 && !update.gap;
            store.record_epoch(now, &update);
            store.next_seq = 0;
            if !is_first {
                store.answered_at = None;
                return true;
            }
        }
        if store.next_seq == 0 {
            // The changes are all since the store's boot.
            store.parts.clear();
            store.used_tokens = 0;
        }
        store.answered_at = Some(now);
        store.next_seq = update.next_seq;
        for change in update.changes {
            self.requested_saves.remove(&change.part);
            store.apply(change);
        }
        false
    }

    /// Replaces the contents of a store by its full list.
    pub fn apply_list(&mut self, now: Timestamp, addr: SocketAddr, update: StoreUpdate) {
        let Some(store) = self.stores.get_mut(&addr) else {
            return;
        };
        store.record_epoch(now, &update);
        store.next_seq = update.next_seq;
        store.answered_at = Some(now);
        store.parts.replace(update.changes);
        store.used_tokens = store.parts.tokens();
    }

    /// Applies an update that a peer relays: changes from sequence number `from` on, or the full
    /// list if `from` is zero.
    pub fn apply_relayed(
        &mut self,
        now: Timestamp,
        addr: SocketAddr,
        from: u64,
        update: StoreUpdate,
    ) -> RelayOutcome {
        let Some(store) = self.stores.get_mut(&addr) else {
            return RelayOutcome::AlreadyKnown;
        };
        let same_epoch = update.epoch == store.epoch;
        if from == 0 {
            if same_epoch && update.next_seq < store.next_seq {
                return RelayOutcome::AlreadyKnown;
            }
            self.apply_list(now, addr, update);
            return RelayOutcome::Applied;
        }
        if !same_epoch || from > store.next_seq {
            store.answered_at = None;
            return RelayOutcome::Gap;
        }
        if update.next_seq < store.next_seq {
            // Two entries relay each store's changes; the other one was faster.
            return RelayOutcome::AlreadyKnown;
        }
        // An update without changes is not known: it shows that the store still answers.
        let already_known = update.next_seq == store.next_seq && !update.changes.is_empty();
        self.apply_changes(now, addr, update);
        if already_known {
            RelayOutcome::AlreadyKnown
        } else {
            RelayOutcome::Applied
        }
    }

    /// The full list of a store, to be sent to a peer; `None` if the store has not answered lately.
    #[must_use]
    pub fn snapshot(&self, now: Timestamp, addr: SocketAddr) -> Option<StoreUpdate> {
        let store = self.stores.get(&addr).filter(|s| s.is_fresh(now))?;
        let parts = store.parts.iter();
        Some(StoreUpdate {
            epoch: store.epoch,
            next_seq: store.next_seq,
            gap: false,
            changes: parts
                .map(|(scope, id, tokens)| StoreChange {
                    part: PartKey {
                        scope: scope.clone(),
                        id: id.clone(),
                    },
                    tokens,
                })
                .collect(),
            clock_ms: None,
        })
    }

    /// Stops the use of a store that does not answer, until it answers again.
    pub fn mark_unreachable(&mut self, addr: SocketAddr) {
        if let Some(store) = self.stores.get_mut(&addr) {
            store.answered_at = None;
        }
    }

    /// Stored parts that `freeable` covers, by store, with the store's boot epoch; only stores that
    /// answer.
    #[must_use]
    pub fn freeable_parts(
        &self,
        now: Timestamp,
        freeable: RetiredVersions,
    ) -> Vec<(SocketAddr, u64, Vec<PartKey>)> {
        let is_freeable = |scope: &str, id: &str| {
            scope_version(scope).is_some_and(|version| freeable.covers(version, id))
        };
        let stores = self.stores.iter().filter(|(_, s)| s.is_fresh(now));
        let parts_by_store = stores.map(|(addr, store)| {
            let parts = store.parts.iter();
            let parts = parts.filter(|(scope, id, _)| is_freeable(scope, id));
            let parts: Vec<PartKey> = parts
                .map(|(scope, id, _)| PartKey {
                    scope: scope.clone(),
                    id: id.clone(),
                })
                .collect();
            (*addr, store.epoch, parts)
        });
        parts_by_store
            .filter(|(_, _, parts)| !parts.is_empty())
            .collect()
    }

    /// Tokens stored and capacity in tokens, summed over all stores that answer.
    #[must_use]
    pub fn usage(&self, now: Timestamp) -> (u64, u64) {
        let fresh = self.stores.values().filter(|s| s.is_fresh(now));
        fresh.fold((0, 0), |(used, capacity), s| {
            (
                used + u64::from(s.used_tokens),
                capacity + u64::from(s.capacity),
            )
        })
    }
}
