//! Paths to the targets, shared by the request and control tasks.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::latch::Latch;
use crate::prelude::*;
use crate::reachability::{DialResult, Path, PathChange, ReachTable, UnlistedTarget};

/// Paths by which this entry reaches the targets.
#[derive(Default)]
pub(crate) struct TargetPaths {
    table: Mutex<ReachTable>,
    /// Set when this entry's open connections to a target are found to hang.
    hanging: Mutex<HashMap<Name, Latch>>,
}

impl TargetPaths {
    /// Sets the registered targets. Exchanges under way with others go on: they may be leaving.
    pub(crate) fn set_targets(&self, names: &BTreeSet<Name>) {
        let mut table = self.table();
        for UnlistedTarget { target, exchanges } in table.set_targets(names) {
            log::info!("event=target_unlisted target={target} exchanges={exchanges}");
        }
        lock(&self.hanging).retain(|name, _| table.contains(name));
    }

    /// Path of new connections to a target.
    pub(crate) fn path(&self, target: &str) -> Path {
        self.table().path(target)
    }

    /// Head start of an own connection before a peer is asked as well.
    pub(crate) fn head_start(&self) -> Duration {
        self.table().head_start()
    }

    /// Whether this entry reaches at least half of the targets through peers only, or none at all.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.table().is_cut_off()
    }

    /// Whether any target is reached through peers only.
    pub(crate) fn has_relayed(&self) -> bool {
        self.table().has_relayed()
    }

    /// Another target, by which it can be tried whether this entry is cut off.
    pub(crate) fn comparison(&self, target: &str) -> Option<Name> {
        self.table().comparison(target)
    }

    /// Targets to which an own connection is to be tried now.
    pub(crate) fn take_checks(&self, now: Timestamp) -> Vec<Name> {
        self.table().take_checks(now)
    }

    /// Records bytes that arrived on an own connection.
    pub(crate) fn record_bytes(&self, now: Timestamp, target: &str) {
        self.table().record_bytes(now, target);
    }

    /// Records the result of an own attempt to connect; returns what follows from it.
    pub(crate) fn record_dial(
        &self,
        now: Timestamp,
        target: &Name,
        began: Timestamp,
        result: DialResult,
    ) -> Option<PathChange> {
        let change = self.table().record_dial(now, target, began, result);
        self.announce(target, change)
    }

    /// Records that a peer connected to a target; returns what follows from it.
    pub(crate) fn record_reached_by_peer(
        &self,
        now: Timestamp,
        target: &Name,
    ) -> Option<PathChange> {
        let change = self.table().record_reached_by_peer(now, target);
        self.announce(target, change)
    }

    /// Records that connections to a target time out wherever they are tried; returns whether it may
    /// still go on.
    pub(crate) fn record_silent(&self, now: Timestamp, target: &str) -> bool {
        self.table().record_silent(now, target)
    }

    /// Records that neither this entry nor a peer connects to a target.
    pub(crate) fn record_unreached(&self, target: &str) {
        self.table().record_unreached(target);
    }

    /// Counts an exchange on an own connection until the guard is dropped.
    pub(crate) fn begin_exchange(self: &Arc<Self>, now: Timestamp, target: &Name) -> ExchangeGuard {
        self.table().begin_exchange(now, target);
        let hanging = lock(&self.hanging)
            .entry(target.clone())
            .or_default()
            .clone();
        ExchangeGuard {
            paths: self.clone(),
            target: target.clone(),
            hanging,
        }
    }

    /// Logs a change, and tells the exchanges on connections that hang.
    fn announce(&self, target: &Name, change: Option<PathChange>) -> Option<PathChange> {
        let change = change?;
        let path = match change {
            PathChange::CutOff => "relayed",
            PathChange::Hanging => "hanging",
            PathChange::Restored => "direct",
        };
        let relayed = self.table().relayed();
        log::info!("event=target_path target={target} path={path} relayed_targets={relayed}");
        if change == PathChange::Hanging {
            // Exchanges that begin later use other connections.
            if let Some(hanging) = lock(&self.hanging).remove(target) {
                hanging.set();
            }
        }
        Some(change)
    }

    fn table(&self) -> MutexGuard<'_, ReachTable> {
        lock(&self.table)
    }
}

/// Counts an exchange on an own connection until it is dropped.
pub(crate) struct ExchangeGuard {
    paths: Arc<TargetPaths>,
    target: Name,
    hanging: Latch,
}

impl ExchangeGuard {
    /// Records bytes that arrived.
    pub(crate) fn record_bytes(&self, now: Timestamp) {
        self.paths.record_bytes(now, &self.target);
    }

    /// Completes when the connection is found to hang.
    pub(crate) async fn until_hanging(&self) {
        self.hanging.wait().await;
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        let mut table = self.paths.table();
        table.end_exchange(&self.target);
        if !table.contains(&self.target) {
            lock(&self.paths.hanging).remove(&self.target);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
