//! Peers through which targets are reached that this entry does not reach itself.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

use futures_lite::FutureExt;

use crate::clock::{coarse_sleep, time_since_boot};
use crate::gateway::target_stream::TargetStream;
use crate::name_hash::name_hash;
use crate::peer::{Mesh, RelayError, RelayFailure};
use crate::prelude::*;

/// Most peers that are asked for one connection.
const MAX_TRIES: usize = 6;
/// Longest time for all of them together.
const TOTAL_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for which a peer that did not answer is asked last.
const AVOID_TIME: Duration = Duration::from_secs(2);
/// Time for which a peer counts as cut off from most targets after it said so.
const CUT_OFF_TIME: Duration = Duration::from_secs(1);
/// Cost of a peer in another failure domain, in connections.
const OTHER_DOMAIN_COST: f64 = 2.0;
/// Processor share of a peer that states none, in thousandths.
const DEFAULT_CPU_MILLIS: u32 = 250;

/// A live peer, as a relay.
#[derive(Clone, Debug)]
pub(crate) struct RelayPeer {
    /// Name of the entry.
    pub name: Name,
    /// Failure domain of the entry.
    pub domain: Name,
    /// Address on which it listens for peers.
    pub address: SocketAddr,
    /// Processor share in thousandths; zero when unknown.
    pub cpu_millis: u32,
}

/// Why no peer connects to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoRelay {
    /// Peers that reach other targets find it refusing connections.
    Refused,
    /// Connections of such a peer time out.
    TimedOut,
    /// No peer could tell.
    Unknown,
    /// There is no other entry.
    Alone,
}

#[derive(Debug)]
struct Candidate {
    peer: RelayPeer,
    /// Connections opened through it so far; the candidates share the load evenly by it.
    opened: AtomicUsize,
    avoid_until: Mutex<Timestamp>,
    cut_off_until: Mutex<Timestamp>,
}

impl Candidate {
    fn new(peer: RelayPeer) -> Self {
        Self {
            peer,
            opened: AtomicUsize::new(0),
            avoid_until: Mutex::default(),
            cut_off_until: Mutex::default(),
        }
    }

    /// Rank among the candidates: the lowest is asked first.
    fn rank(&self, now: Timestamp, domain: &str) -> (bool, f64) {
        let last = now < *lock(&self.avoid_until) || now < *lock(&self.cut_off_until);
        let cpu_millis = match self.peer.cpu_millis {
            0 => DEFAULT_CPU_MILLIS,
            cpu_millis => cpu_millis,
        };
        let far = if *self.peer.domain == *domain {
            0.0
        } else {
            OTHER_DOMAIN_COST
        };
        let opened = u32::try_from(self.opened.load(Ordering::Relaxed)).unwrap_or(u32::MAX);
        let load = f64::from(opened) * f64::from(DEFAULT_CPU_MILLIS) / f64::from(cpu_millis);
        (last, load + far + fastrand::f64())
    }
}

/// The peers that may relay connections to targets.
pub(crate) struct Relays {
    domain: Name,
    mesh: OnceLock<Arc<Mesh>>,
    candidates: Mutex<Vec<Arc<Candidate>>>,
}

impl Relays {
    /// Makes an empty set for an entry of a failure domain.
    pub(crate) fn new(domain: Name) -> Self {
        Self {
            domain,
            mesh: OnceLock::new(),
            candidates: Mutex::default(),
        }
    }

    /// Sets the mesh whose identity the connections use; only the first call has an effect.
    pub(crate) fn set_mesh(&self, mesh: Arc<Mesh>) {
        let _ = self.mesh.set(mesh);
    }

    /// Replaces the live peers; what is known of those that stay is kept.
    pub(crate) fn set_peers(&self, peers: Vec<RelayPeer>) {
        let mut candidates = lock(&self.candidates);
        let known = std::mem::take(&mut *candidates);
        let same = |peer: &RelayPeer| {
            let mut known = known.iter();
            known.find(|c| c.peer.name == peer.name && c.peer.address == peer.address)
        };
        let next = peers.into_iter().map(|peer| match same(&peer) {
            Some(candidate) => candidate.clone(),
            None => Arc::new(Candidate::new(peer)),
        });
        *candidates = next.collect();
        // Counts start anew, so that a peer that has joined is not asked for all connections.
        for candidate in &*candidates {
            candidate.opened.store(0, Ordering::Relaxed);
        }
    }

    /// Records peers that say that they are cut off from most targets, by the hashes of their names.
    pub(crate) fn record_cut_off(&self, names: &[u32]) {
        if names.is_empty() {
            return;
        }
        let until = time_since_boot() + CUT_OFF_TIME;
        for candidate in &*lock(&self.candidates) {
            if names.contains(&name_hash(&candidate.peer.name)) {
                *lock(&candidate.cut_off_until) = until;
            }
        }
    }

    /// Whether there is a live peer that did not say that it is cut off from most targets.
    pub(crate) fn has_reaching_peer(&self) -> bool {
        let now = time_since_boot();
        let candidates = lock(&self.candidates);
        candidates.iter().any(|c| now >= *lock(&c.cut_off_until))
    }

    /// Connects to a target through a peer.
    pub(crate) async fn open(&self, target: &Name) -> Result<TargetStream, NoRelay> {
        let timeout = async {
            coarse_sleep(TOTAL_TIMEOUT).await;
            Err(NoRelay::Unknown)
        };
        self.open_without_timeout(target).or(timeout).await
    }

    async fn open_without_timeout(&self, target: &Name) -> Result<TargetStream, NoRelay> {
        let candidates = self.ranked();
        let Some(mesh) = self.mesh.get().filter(|_| !candidates.is_empty()) else {
            return Err(NoRelay::Alone);
        };
        for candidate in candidates.into_iter().take(MAX_TRIES) {
            let peer = &candidate.peer;
            candidate.opened.fetch_add(1, Ordering::Relaxed);
            let err = match mesh.open_relay(peer.address, target).await {
                Ok(stream) => {
                    let peer = peer.name.clone();
                    return Ok(TargetStream::Relayed { peer, stream });
                }
                Err(err) => err,
            };
            log::debug!(
                "event=relay_failed target={target} peer={} error={err:?}",
                peer.name
            );
            let now = time_since_boot();
            match err {
                RelayError::Peer => *lock(&candidate.avoid_until) = now + AVOID_TIME,
                RelayError::Target(RelayFailure::CutOff) => {
                    *lock(&candidate.cut_off_until) = now + CUT_OFF_TIME;
                }
                // They come from a peer that has just reached another target.
                RelayError::Target(RelayFailure::Refused) => return Err(NoRelay::Refused),
                RelayError::Target(RelayFailure::TimedOut) => return Err(NoRelay::TimedOut),
                RelayError::Target(RelayFailure::Unavailable) => {}
            }
        }
        Err(NoRelay::Unknown)
    }

    /// The candidates in the order in which they are asked.
    fn ranked(&self) -> Vec<Arc<Candidate>> {
        let now = time_since_boot();
        let candidates = lock(&self.candidates).clone();
        let mut ranked: Vec<_> = candidates
            .into_iter()
            .map(|c| (c.rank(now, &self.domain), c))
            .collect();
        ranked.sort_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        ranked.into_iter().map(|(_, c)| c).collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
