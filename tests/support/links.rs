//! Links between the claim tables of simulated entries in one process.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;

use futures_lite::future::Boxed;
use guavahold::claim::{ClaimError, ClaimRequest, ClaimTable, ClaimVerdict};
use guavahold::peer::{PeerInfo, PeerLinks, PeerMessage};
use guavahold::prelude::*;

/// An entry without peers.
pub struct NoPeers;

impl PeerLinks for NoPeers {
    fn live(&self) -> Vec<PeerInfo> {
        Vec::new()
    }

    fn send(&self, _: &str, _: PeerMessage) -> bool {
        false
    }

    fn broadcast(&self, _: &PeerMessage) {}

    fn claim(
        &self,
        _: &str,
        _: Name,
        _: ClaimRequest,
    ) -> Boxed<Option<Result<ClaimVerdict, ClaimError>>> {
        Box::pin(async { None })
    }
}

/// The links of all simulated entries; tests cut them and drop replies.
#[derive(Default)]
pub struct LocalNet(Mutex<State>);

#[derive(Default)]
struct State {
    tables: BTreeMap<Name, (Name, ClaimTable)>,
    cut: BTreeSet<Name>,
    lose_replies: u32,
}

impl LocalNet {
    /// Adds an entry with its failure domain and claim table.
    pub fn add(&self, name: &str, domain: &str, table: ClaimTable) {
        let mut state = self.0.lock().unwrap();
        state.tables.insert(name.into(), (domain.into(), table));
    }

    /// Cuts or restores all links of an entry.
    pub fn cut(&self, name: &str, cut: bool) {
        let mut state = self.0.lock().unwrap();
        if cut {
            state.cut.insert(name.into());
        } else {
            state.cut.remove(name);
        }
    }

    /// Drops the next `count` replies to forwarded claims.
    pub fn lose_replies(&self, count: u32) {
        self.0.lock().unwrap().lose_replies = count;
    }

    fn linked_table(&self, from: &str, to: &str) -> Option<ClaimTable> {
        let state = self.0.lock().unwrap();
        if state.cut.contains(from) || state.cut.contains(to) {
            return None;
        }
        state.tables.get(to).map(|(_, table)| table.clone())
    }

    fn peer_info(&self, name: &str) -> Option<PeerInfo> {
        let state = self.0.lock().unwrap();
        let (domain, _) = state.tables.get(name)?;
        Some(PeerInfo {
            name: name.into(),
            domain: domain.clone(),
            revision: 0,
            since_ms: 0,
            draining: false,
        })
    }

    fn drops_next_reply(&self) -> bool {
        let mut state = self.0.lock().unwrap();
        let drops = state.lose_replies > 0;
        state.lose_replies = state.lose_replies.saturating_sub(1);
        drops
    }
}

/// The links of one entry.
pub struct LocalLinks {
    pub net: Arc<LocalNet>,
    pub own: Name,
}

impl PeerLinks for LocalLinks {
    fn live(&self) -> Vec<PeerInfo> {
        let names: Vec<Name> = self.net.0.lock().unwrap().tables.keys().cloned().collect();
        let peers = names.iter().filter(|name| **name != self.own);
        let linked = peers.filter(|name| self.net.linked_table(&self.own, name).is_some());
        linked.filter_map(|name| self.net.peer_info(name)).collect()
    }

    fn send(&self, to: &str, message: PeerMessage) -> bool {
        let (table, from) = (
            self.net.linked_table(&self.own, to),
            self.net.peer_info(&self.own),
        );
        let Some((table, from)) = table.zip(from) else {
            return false;
        };
        table.on_message(&from, &message)
    }

    fn broadcast(&self, _: &PeerMessage) {}

    fn claim(
        &self,
        owner: &str,
        claimant: Name,
        req: ClaimRequest,
    ) -> Boxed<Option<Result<ClaimVerdict, ClaimError>>> {
        let table = self.net.linked_table(&self.own, owner);
        let net = self.net.clone();
        Box::pin(async move {
            let verdict = table?.claim_for_peer(claimant, req).await;
            (!net.drops_next_reply()).then_some(verdict)
        })
    }
}
