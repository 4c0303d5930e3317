//! A peer that may relay connections, and what is known of it.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::gateway::relays::RelayPeer;
use crate::prelude::*;

/// Time for which a peer that did not answer is asked last.
const AVOID_TIME: Duration = Duration::from_secs(2);
/// Time for which a peer counts as cut off from most targets after it said so.
const CUT_OFF_TIME: Duration = Duration::from_secs(1);
/// Cost of a peer in another failure domain, in connections.
const OTHER_DOMAIN_COST: f64 = 2.0;
/// Processor share of a peer that states none, in thousandths.
const DEFAULT_CPU_MILLIS: u32 = 250;

/// A peer that may relay connections.
#[derive(Debug)]
pub struct RelayCandidate {
    /// The peer.
    pub peer: RelayPeer,
    /// Connections opened through it so far; the candidates share the load evenly by it.
    opened: AtomicUsize,
    avoid_until: Mutex<Timestamp>,
    cut_off_until: Mutex<Timestamp>,
}

impl RelayCandidate {
    pub(super) fn new(peer: RelayPeer) -> Self {
        Self {
            peer,
            opened: AtomicUsize::new(0),
            avoid_until: Mutex::default(),
            cut_off_until: Mutex::default(),
        }
    }

    /// Counts a connection opened through it.
    pub fn record_opened(&self) {
        self.opened.fetch_add(1, Ordering::Relaxed);
    }

    /// Forgets the connections opened through it.
    pub(super) fn reset_opened(&self) {
        self.opened.store(0, Ordering::Relaxed);
    }

    /// Records that it did not answer.
    pub fn record_silent(&self, now: Timestamp) {
        *lock(&self.avoid_until) = now + AVOID_TIME;
    }

    /// Records that it is cut off from most targets.
    pub fn record_cut_off(&self, now: Timestamp) {
        *lock(&self.cut_off_until) = now + CUT_OFF_TIME;
    }

    pub(super) fn is_cut_off(&self, now: Timestamp) -> bool {
        now < *lock(&self.cut_off_until)
    }

    /// Rank among the candidates of an entry in `domain`: the lowest is asked first.
    pub(super) fn rank(&self, now: Timestamp, domain: &str) -> (bool, f64) {
        let last = now < *lock(&self.avoid_until) || self.is_cut_off(now);
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
