//! Which part of a prompt is whole at which store.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::kept::{Retired, StoreChange, StoreNews, StorePart};
use crate::prelude::*;

/// Age of a store's last answer from which nothing is fetched there: it may have started anew and
/// may be writing the same parts again.
const FRESH: Duration = Duration::from_millis(1_200);
/// Time after which a save that was asked for and not confirmed is asked for again.
const SAVE_AGAIN: Duration = Duration::from_secs(3);
/// Part of a store that is filled.
const FILL: f64 = 0.97;
/// Shortest part that is worth a transfer, in tokens.
const SHORTEST: u32 = 256;
/// Saves noted at most before old ones are dropped.
const MOST_ASKED: usize = 8_192;

/// A store of context as the configuration names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreInfo {
    /// Address.
    pub address: SocketAddr,
    /// Tokens that it holds.
    pub capacity: u32,
    /// Its failure domain.
    pub domain: Name,
}

#[derive(Clone, Debug)]
struct Store {
    capacity: u32,
    domain: Name,
    epoch: u64,
    next: u64,
    used: u32,
    parts: HashMap<StorePart, u32>,
    answered: Option<Timestamp>,
}

impl Store {
    fn is_fresh(&self, now: Timestamp) -> bool {
        self.answered.is_some_and(|at| now < at + FRESH)
    }

    fn has_room(&self, tokens: u32) -> bool {
        f64::from(self.used.saturating_add(tokens)) < f64::from(self.capacity) * FILL
    }

    fn apply(&mut self, change: StoreChange) {
        let old = if change.tokens == 0 {
            self.parts.remove(&change.part)
        } else {
            self.parts.insert(change.part, change.tokens)
        };
        self.used = self.used.saturating_sub(old.unwrap_or_default());
        self.used = self.used.saturating_add(change.tokens);
    }
}

/// What a request asks of stores, by part of its prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeptPlan {
    /// Stores that have the part whole.
    pub fetch: SmallVec<[Option<SocketAddr>; 4]>,
    /// Stores that are to keep the part.
    pub save: SmallVec<[Option<SocketAddr>; 4]>,
}

impl KeptPlan {
    /// Whether anything is fetched.
    #[must_use]
    pub fn fetches(&self) -> bool {
        self.fetch.iter().any(Option::is_some)
    }

    /// Whether anything is saved.
    #[must_use]
    pub fn saves(&self) -> bool {
        self.save.iter().any(Option::is_some)
    }
}

/// What came of changes that a peer passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relayed {
    /// They are taken.
    Taken,
    /// They were known.
    Known,
    /// Changes before them are missing, so that everything is to be asked for.
    Missing,
}

/// What all stores keep, as far as their changes tell.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    stores: BTreeMap<SocketAddr, Store>,
    asked: HashMap<StorePart, Timestamp>,
    retired: Retired,
    may_fetch: bool,
}

impl Directory {
    /// Sets what is not fetched any more, and whether anything may be fetched.
    pub fn set_usable(&mut self, retired: Retired, may_fetch: bool) {
        self.retired = retired;
        self.may_fetch = may_fetch;
    }

    fn is_retired(&self, part: &StorePart) -> bool {
        scope_version(&part.scope).is_some_and(|v| self.retired.covers(v, &part.id))
    }

    /// Takes the stores in use; tells which are new.
    pub fn take_stores(&mut self, stores: &[StoreInfo]) -> Vec<SocketAddr> {
        self.stores
            .retain(|addr, _| stores.iter().any(|s| s.address == *addr));
        let mut fresh = Vec::new();
        for info in stores {
            let known = self.stores.entry(info.address).or_insert_with(|| {
                fresh.push(info.address);
                Store {
                    capacity: info.capacity,
                    domain: info.domain.clone(),
                    epoch: 0,
                    next: 0,
                    used: 0,
                    parts: HashMap::new(),
                    answered: None,
                }
            });
            known.capacity = info.capacity;
            known.domain.clone_from(&info.domain);
        }
        fresh
    }

    /// Number of the change that a store is asked from next; `None` for a store no longer in use.
    #[must_use]
    pub fn next(&self, addr: SocketAddr) -> Option<u64> {
        self.stores.get(&addr).map(|s| s.next)
    }

    /// Takes changes of a store; tells whether the whole list is needed.
    pub fn take_changes(&mut self, now: Timestamp, addr: SocketAddr, news: StoreNews) -> bool {
        let Some(store) = self.stores.get_mut(&addr) else {
            return false;
        };
        if news.epoch != store.epoch || news.gap {
            let first = store.epoch == 0 && !news.gap;
            store.parts.clear();
            store.used = 0;
            store.epoch = news.epoch;
            store.next = 0;
            if !first {
                store.answered = None;
                return true;
            }
        }
        store.answered = Some(now);
        store.next = news.next;
        for change in news.changes {
            self.asked.remove(&change.part);
            store.apply(change);
        }
        false
    }

    /// Takes everything that a store keeps.
    pub fn take_list(&mut self, now: Timestamp, addr: SocketAddr, news: StoreNews) {
        let Some(store) = self.stores.get_mut(&addr) else {
            return;
        };
        store.epoch = news.epoch;
        store.next = news.next;
        store.parts.clear();
        store.used = 0;
        store.answered = Some(now);
        for change in news.changes {
            store.apply(change);
        }
    }

    /// Takes changes that a peer passes on.
    pub fn take_relayed(
        &mut self,
        now: Timestamp,
        addr: SocketAddr,
        from: u64,
        news: StoreNews,
    ) -> Relayed {
        let Some(store) = self.stores.get_mut(&addr) else {
            return Relayed::Known;
        };
        let same_start = news.epoch == store.epoch;
        if from == 0 {
            if same_start && news.next < store.next {
                return Relayed::Known;
            }
            self.take_list(now, addr, news);
            return Relayed::Taken;
        }
        if !same_start || from > store.next {
            store.answered = None;
            return Relayed::Missing;
        }
        if news.next < store.next {
            // Another follower was faster.
            return Relayed::Known;
        }
        let known = news.next == store.next && !news.changes.is_empty();
        self.take_changes(now, addr, news);
        if known {
            Relayed::Known
        } else {
            Relayed::Taken
        }
    }

    /// Everything known of a store that answered.
    #[must_use]
    pub fn known(&self, now: Timestamp, addr: SocketAddr) -> Option<StoreNews> {
        let store = self.stores.get(&addr).filter(|s| s.is_fresh(now))?;
        let parts = store.parts.iter();
        Some(StoreNews {
            epoch: store.epoch,
            next: store.next,
            gap: false,
            changes: parts
                .map(|(part, tokens)| StoreChange {
                    part: part.clone(),
                    tokens: *tokens,
                })
                .collect(),
            clock_ms: None,
        })
    }

    /// Takes note that a store does not answer.
    pub fn lost(&mut self, addr: SocketAddr) {
        if let Some(store) = self.stores.get_mut(&addr) {
            store.answered = None;
        }
    }

    /// Plans the transfers of a prompt's shared parts, in their order.
    pub fn plan(&mut self, now: Timestamp, scope: &Name, parts: &[(Name, u32)]) -> KeptPlan {
        let mut plan = KeptPlan::default();
        for (id, tokens) in parts {
            let part = StorePart {
                scope: scope.clone(),
                id: id.clone(),
            };
            let kept = self.find(now, &part);
            let save = match kept {
                None if *tokens >= SHORTEST && !self.is_retired(&part) => {
                    self.place(now, &part, *tokens)
                }
                _ => None,
            };
            plan.fetch.push(kept);
            plan.save.push(save);
        }
        plan
    }

    /// Failure domain of the store from which a part can be fetched, if there is one.
    #[must_use]
    pub fn domain_of(&self, now: Timestamp, scope: &Name, id: &Name) -> Option<&Name> {
        let part = StorePart {
            scope: scope.clone(),
            id: id.clone(),
        };
        let store = self.stores.get(&self.find(now, &part)?);
        store.map(|s| &s.domain)
    }

    /// A store that answers and has the part whole.
    fn find(&self, now: Timestamp, part: &StorePart) -> Option<SocketAddr> {
        if !self.may_fetch || self.is_retired(part) {
            return None;
        }
        let fresh = self.stores.iter().filter(|(_, s)| s.is_fresh(now));
        let mut holding = fresh.filter(|(_, s)| s.parts.contains_key(part));
        holding.next().map(|(addr, _)| *addr)
    }

    /// The store that is to keep a part: of those with room the first by weighted rendezvous
    /// (Schindelhauer and Schomaker 2005), so that all entries choose alike.
    fn place(&mut self, now: Timestamp, part: &StorePart, tokens: u32) -> Option<SocketAddr> {
        let asked = self.asked.get(part);
        if asked.is_some_and(|at| now < *at + SAVE_AGAIN) {
            return None;
        }
        let usable = self.stores.iter().filter(|(_, s)| s.is_fresh(now));
        let roomy = usable.filter(|(_, s)| s.has_room(tokens));
        let best = roomy.max_by(|(a, sa), (b, sb)| {
            let (wa, wb) = (
                weight(**a, sa.capacity, part),
                weight(**b, sb.capacity, part),
            );
            wa.total_cmp(&wb)
        });
        let addr = best.map(|(addr, _)| *addr)?;
        if self.asked.len() >= MOST_ASKED {
            self.asked.retain(|_, at| now < *at + SAVE_AGAIN);
        }
        self.asked.insert(part.clone(), now);
        Some(addr)
    }

    /// Parts that nobody uses any more, by store.
    #[must_use]
    pub fn unused(&self, now: Timestamp, freed: Retired) -> Vec<(SocketAddr, u64, Vec<StorePart>)> {
        let unused = |part: &StorePart| {
            scope_version(&part.scope).is_some_and(|version| freed.covers(version, &part.id))
        };
        let stores = self.stores.iter().filter(|(_, s)| s.is_fresh(now));
        let unused = stores.map(|(addr, store)| {
            let parts = store.parts.keys().filter(|p| unused(p));
            (*addr, store.epoch, parts.cloned().collect::<Vec<_>>())
        });
        unused.filter(|(_, _, parts)| !parts.is_empty()).collect()
    }

    /// Tokens kept and tokens that fit, over all stores that answer.
    #[must_use]
    pub fn fill(&self, now: Timestamp) -> (u64, u64) {
        let fresh = self.stores.values().filter(|s| s.is_fresh(now));
        fresh.fold((0, 0), |(used, all), s| {
            (used + u64::from(s.used), all + u64::from(s.capacity))
        })
    }
}

/// The weight version in a scope of cached context.
fn scope_version(scope: &str) -> Option<u64> {
    scope.split('.').next()?.parse().ok()
}

/// Weighted rendezvous score: the greatest wins, in proportion to the capacities.
fn weight(addr: SocketAddr, capacity: u32, part: &StorePart) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(addr.to_string().as_bytes());
    hasher.update(part.scope.as_bytes()).update(&[0]);
    hasher.update(part.id.as_bytes());
    let word = hasher.finalize().as_bytes().first_chunk::<4>().copied();
    let draw = f64::from(u32::from_le_bytes(word.unwrap_or_default())) + 1.0;
    let uniform = draw / (f64::from(u32::MAX) + 2.0);
    -f64::from(capacity) / uniform.ln()
}
