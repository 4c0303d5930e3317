//! What entries tell each other.

use crate::context_store::RetiredVersions;
use crate::gateway::control::{Control, State};
use crate::gateway::{PeerObject, TargetLoad, Watched};
use crate::name_hash::name_hash;
use crate::peer::{GatewayStatus, Mesh, PeerInfo, PeerLinks, PeerMessage};
use crate::prefix_keys::BlockKey;
use crate::prelude::*;
use crate::scheduler::{Event, Signal};

/// Time without the store after which peers are asked.
const AWAY: Duration = Duration::from_millis(300);
/// Pause before peers are asked again.
const ASK_PAUSE: Duration = Duration::from_millis(400);

impl Control {
    /// What this entry tells of itself.
    pub(crate) fn own_word(&self, state: &mut State) -> GatewayStatus {
        let own = self.shared.scheduler.own_loads();
        let now = self.now();
        let loads = own.iter().filter(|(_, load)| load.requests > 0);
        let retired = state.retirement.retired();
        GatewayStatus {
            revisions: state.revisions(),
            loads: loads
                .map(|(name, load)| {
                    let load = TargetLoad::of_tokens(load.requests, load.work, load.context);
                    (name_hash(name), load)
                })
                .collect(),
            cordoned_targets: state
                .rollout
                .cordoned_targets()
                .map(|name| name_hash(name))
                .collect(),
            unreachable_targets: {
                let lost = self.shared.scheduler.newly_unreachable();
                lost.iter().map(|name| name_hash(name)).collect()
            },
            target_versions: state.told_words(now),
            declared_versions: {
                let ages = state.versions.ages(now);
                ages.map(|(model, version, age)| (model, version, millis(age)))
                    .collect()
            },
            retired_below: (retired.all_below, retired.half_below),
        }
    }

    /// Tells all peers what this entry knows and does, as is done in a small system.
    pub(crate) fn tell_word(&self, mesh: &Mesh) {
        let word = self.own_word(&mut self.state());
        mesh.broadcast(&PeerMessage::Gateway(word));
    }

    /// Takes a peer's word.
    pub(crate) fn take_word(&self, peer: &PeerInfo, word: &GatewayStatus) {
        let now = self.now();
        let mut state = self.state();
        if state.is_crowded() && peer.domain == self.domain {
            state.gatherer.take_word(now, &peer.name, word.clone());
        }
        state.loads.take(now, &peer.name, word.loads.clone());
        state
            .retirement
            .record_status(now, &peer.name, retired(word.retired_below));
        self.take_common(&mut state, &peer.name, word);
    }

    /// Takes what is the same in an entry's word and a hub's digest.
    pub(crate) fn take_common(&self, state: &mut State, peer: &Name, word: &GatewayStatus) {
        let now = self.now();
        let mut news = state.take_held(now, peer, &word.cordoned_targets);
        for (key, version) in &word.target_versions {
            news |= state.told_key(now, *key, *version);
        }
        if news {
            self.push_targets(state);
        }
        for target in state.named_by(&word.unreachable_targets) {
            let signal = Signal::ReportedUnreachable;
            self.shared
                .scheduler
                .submit(Event::Signal { target, signal });
        }
        for (model, version, age) in &word.declared_versions {
            let age = Duration::from_millis(*age);
            state.versions.take_age(now, *model, *version, age);
        }
        for watched in Watched::ALL {
            let n = watched.index();
            let away = state.away[n].is_some_and(|since| now >= since + AWAY);
            let behind = word.revisions[n] > state.books[n].revision();
            let asked = state.asked[n].is_some_and(|at| now < at + ASK_PAUSE);
            if away && behind && !asked {
                state.asked[n] = Some(now);
                self.send(peer, PeerMessage::WantObjects { kind: n });
            }
        }
    }

    /// Tells a peer the objects of one kind.
    pub(crate) fn tell_objects(&self, peer: &str, kind: usize) {
        let state = self.state();
        let Some(book) = state.books.get(kind).filter(|book| book.revision() > 0) else {
            return;
        };
        let message = PeerMessage::Objects {
            kind,
            revision: book.revision(),
            objects: book.tell(),
        };
        drop(state);
        self.send(peer, message);
    }

    /// Takes a peer's objects while the store is away.
    pub(crate) fn adopt_objects(
        self: &Arc<Self>,
        peer: &str,
        kind: usize,
        revision: u64,
        objects: Vec<PeerObject>,
    ) {
        let Some(watched) = Watched::ALL.get(kind).copied() else {
            return;
        };
        let mut state = self.state();
        if state.away[kind].is_none() || !state.books[kind].adopt(revision, objects) {
            return;
        }
        let kind = watched.as_str();
        log::info!("event=objects_adopted kind={kind} peer={peer} revision={revision}");
        self.changed(&mut state, watched);
    }

    /// Takes the peers that are live now.
    pub(crate) fn take_peers(&self, live: &[PeerInfo]) {
        let mut state = self.state();
        let staying = live.iter().filter(|p| !p.draining);
        let names: Vec<Name> = staying.clone().map(|p| p.name.clone()).collect();
        for lost in state.peers.iter().filter(|n| !names.contains(n)) {
            log::info!("event=peer_lost peer={lost}");
        }
        for found in names.iter().filter(|n| !state.peers.contains(n)) {
            log::info!("event=peer_found peer={found}");
        }
        // Entries that are only cut off from this one take their part of the retries as well.
        let entries = state.entries().max(names.len() + 1);
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        let live = i64::try_from(names.len()).unwrap_or(i64::MAX);
        self.shared
            .quarantine_notices
            .retain_peers(|name| names.iter().any(|n| **n == *name));
        self.shared.metrics.peers.set(live);
        state.peers = names;
        state.set_hub_peers(staying.cloned().collect());
        drop(state);
        self.shared.scheduler.submit(Event::EntryCount(entries));
    }

    /// Tells all peers of a request that takes down targets.
    pub(crate) fn tell_quarantine(
        &self,
        fingerprint: &BlockKey,
        victims: Vec<Name>,
        ttl: Duration,
    ) {
        let Some(mesh) = self.mesh.get() else {
            return;
        };
        log::warn!(
            "event=request_suspected fingerprint={fingerprint} victims={victims:?} ttl_ms={}",
            ttl.as_millis()
        );
        let peers = mesh.live().into_iter().map(|peer| peer.name);
        let fingerprint = Name::from(fingerprint.to_string());
        let word = self
            .shared
            .quarantine_notices
            .record_sent(fingerprint, victims, ttl, peers);
        mesh.broadcast(&PeerMessage::Quarantine {
            seq: word.seq,
            fingerprint: word.fingerprint,
            victims: word.victims,
            ttl_ms: millis(word.ttl),
        });
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Reads what an entry holds for retired.
pub(crate) fn retired((all_below, half_below): (u64, u64)) -> RetiredVersions {
    RetiredVersions {
        all_below,
        half_below,
    }
}
