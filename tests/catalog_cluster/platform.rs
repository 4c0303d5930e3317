//! The simulated platform: accepted notes, watches of its head and reads of snapshots.

use std::sync::Arc;
use std::time::Duration;

use guavahold::catalog::{
    CatalogHead, Declarations, Policy, ReleaseNote, ReplicaEvent, SnapshotRef, Trust,
};

use super::{Cluster, Delivery, LATENCY};

/// Time after which an attempt to open a watch fails when the platform is unreachable.
const WATCH_OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that an answer of the slow platform takes.
const SLOW_LATENCY: Duration = Duration::from_millis(1500);

impl Cluster {
    pub(super) fn accept_note(&mut self) {
        if self.down {
            return;
        }
        let base = self.catalogs.last().unwrap().clone();
        let note = note(base.revision, "shift");
        let next = Arc::new(base.apply(&note).unwrap());
        let mut head = self.heads.last().unwrap().clone();
        head.revision = next.revision;
        head.tail.push(note);
        if head.tail.len() > CatalogHead::MAX_NOTES_SINCE_SNAPSHOT {
            head.snapshot = SnapshotRef {
                revision: next.revision,
                id: next.revision.to_string().into(),
                parts: 1,
            };
            head.tail
                .drain(..head.tail.len() - CatalogHead::TAIL_AFTER_SNAPSHOT);
        }
        self.heads.push(head.clone());
        self.catalogs.push(next);
        self.accepted_at.push(self.now);
        for n in 0..self.nodes.len() {
            if self.nodes[n].watch == Some(true) {
                self.nodes[n].seen_revision = head.revision;
                self.post(LATENCY, n, ReplicaEvent::Head(head.clone()));
            }
        }
    }

    /// Accepts one of two notes for the same revision; the other one must not apply any more.
    pub(super) fn race(&mut self) {
        let before = self.catalogs.len();
        self.accept_note();
        let refused = note(self.catalogs[before - 1].revision, "other");
        let current = self.catalogs.last().unwrap();
        assert!(self.down || current.apply(&refused).is_err());
    }

    pub(super) fn go_down(&mut self) {
        self.change_faults(|c| c.down = true);
        for n in 0..self.nodes.len() {
            if self.nodes[n].watch.take().is_some() {
                self.post(LATENCY, n, ReplicaEvent::WatchFailed);
            }
        }
    }

    pub(super) fn silence(&mut self, domain: usize) {
        let nodes = self.nodes.iter_mut().filter(|n| n.domain == domain);
        for node in nodes.filter(|n| n.watch.is_some()) {
            node.watch = Some(false);
        }
    }

    pub(super) fn old_event(&mut self, n: usize, back: u8) {
        let newest = self.heads.len() - 1;
        let old = self.heads[newest.saturating_sub(usize::from(back))].clone();
        self.post(LATENCY, n, ReplicaEvent::Head(old));
    }

    pub(super) fn open_watch(&mut self, n: usize) {
        self.watch_opens += 1;
        if self.down {
            self.post(LATENCY, n, ReplicaEvent::WatchFailed);
        } else if !self.reaches_platform(n) {
            self.post(WATCH_OPEN_TIMEOUT, n, ReplicaEvent::WatchFailed);
        } else {
            let answer = if self.slow { SLOW_LATENCY } else { LATENCY };
            let at = (self.now + answer, self.sequence);
            let incarnation = self.incarnation(n);
            self.queue.insert(at, Delivery::Opened(n, incarnation));
            self.sequence += 1;
        }
    }

    pub(super) fn on_opened(&mut self, n: usize) {
        if self.down {
            self.handle(n, ReplicaEvent::WatchFailed);
            return;
        }
        self.nodes[n].watch = Some(self.reaches_platform(n));
        let head = self.heads.last().unwrap().clone();
        if self.nodes[n].seen_revision != head.revision {
            self.nodes[n].seen_revision = head.revision;
            self.handle(n, ReplicaEvent::Head(head));
        }
        self.handle(n, ReplicaEvent::WatchOpened);
    }

    pub(super) fn read_snapshot(&mut self, n: usize, at: &SnapshotRef) {
        let reachable = !self.down && self.reaches_platform(n);
        let catalog = self.catalogs[usize::try_from(at.revision).unwrap()].clone();
        let read = reachable.then_some(catalog);
        self.post(LATENCY, n, ReplicaEvent::Snapshot(read));
    }

    pub(super) fn reaches_platform(&self, n: usize) -> bool {
        let domain = self.nodes[n].domain;
        !self.cut_platform.contains(&domain) && !self.cut_entries.contains(&n)
    }
}

/// The first note adds a policy, the second one trust in a target; later ones change that trust.
fn note(against: u64, by: &str) -> ReleaseNote {
    let trust = |checks_fencing| Declarations {
        trust: [("engine-1".into(), Trust { checks_fencing })].into(),
        ..Declarations::default()
    };
    let mut note = ReleaseNote {
        against,
        by: by.into(),
        id: format!("{by}-{against}").into(),
        ..ReleaseNote::default()
    };
    match against {
        0 => note.added.policies = [("quick".into(), Policy::default())].into(),
        1 => note.added = trust(false),
        n => note.changed = trust(n % 2 == 0),
    }
    note
}
