//! Reach of all targets of one entry.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;
use crate::reachability::check::{Check, CheckConditions, TIMEOUTS_OF_HANGING};
use crate::reachability::{DialResult, Path, PathChange, TargetReach};

/// Longest time for which a target that goes on is silent.
const MAX_SILENCE: Duration = Duration::from_secs(2);
/// Cuts of one target within this time count as one that comes and goes.
const FLAP_WINDOW: Duration = Duration::from_secs(10);
/// Time for which a path that came and went stays relayed; doubled each time.
const FIRST_HOLD: Duration = Duration::from_secs(1);
/// Longest such time.
const MAX_HOLD: Duration = Duration::from_secs(8);
/// Checks that begin at once.
const MAX_CHECKS: usize = 8;
/// Checks that begin at once, of those that only look for the end of a cut, while the entry is cut
/// off from most targets.
const RETURN_CHECKS_WHILE_CUT_OFF: usize = 1;
/// Head start of an own connection before a peer is asked as well.
const HEAD_START: Duration = Duration::from_millis(80);
/// The same while other targets are reached through peers.
const SHORT_HEAD_START: Duration = Duration::from_millis(20);

/// A target that is not registered any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnlistedTarget {
    /// Name of the target.
    pub target: Name,
    /// Exchanges under way on own connections to it.
    pub exchanges: u32,
}

/// Reach of the registered targets, and of others as long as exchanges with them are under way.
#[derive(Clone, Debug, Default)]
pub struct ReachTable {
    targets: BTreeMap<Name, TargetReach>,
}

impl ReachTable {
    /// Sets the registered targets. New ones are taken to be reached directly. Returns those that are
    /// not registered any more.
    pub fn set_targets(&mut self, names: &BTreeSet<Name>) -> Vec<UnlistedTarget> {
        let mut unlisted = Vec::new();
        for (name, reach) in &mut self.targets {
            if std::mem::replace(&mut reach.listed, names.contains(name)) && !reach.listed {
                unlisted.push(UnlistedTarget {
                    target: name.clone(),
                    exchanges: reach.exchanges,
                });
            }
        }
        self.targets.retain(|_, reach| reach.is_in_use());
        for name in names {
            self.targets.entry(name.clone()).or_default().listed = true;
        }
        unlisted
    }

    /// Whether a target is registered or has exchanges under way.
    #[must_use]
    pub fn contains(&self, target: &str) -> bool {
        self.targets.contains_key(target)
    }

    /// Reach of the registered targets.
    fn listed(&self) -> impl Iterator<Item = (&Name, &TargetReach)> {
        self.targets.iter().filter(|(_, reach)| reach.listed)
    }

    /// Path of new connections to a target.
    #[must_use]
    pub fn path(&self, target: &str) -> Path {
        self.targets.get(target).map_or(Path::Direct, |t| t.path)
    }

    /// Head start of an own connection before a peer is asked as well.
    #[must_use]
    pub fn head_start(&self) -> Duration {
        if self.has_relayed() {
            SHORT_HEAD_START
        } else {
            HEAD_START
        }
    }

    /// Whether this entry reaches at least half of the targets through peers only, or none at all.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        let listed = self.listed().count();
        let mut paths = self.listed().map(|(_, reach)| reach.path);
        match self.relayed() {
            0 => listed > 0 && paths.all(|path| path == Path::None),
            relayed => relayed * 2 >= listed,
        }
    }

    /// Whether any target is reached through peers only.
    #[must_use]
    pub fn has_relayed(&self) -> bool {
        self.relayed() > 0
    }

    /// Another target, of those that this entry takes to be reached directly the one heard last: if
    /// it connects, this entry is not cut off.
    #[must_use]
    pub fn comparison(&self, target: &str) -> Option<Name> {
        let others = self.listed().filter(|(name, _)| ***name != *target);
        let direct = others.filter(|(_, t)| t.path == Path::Direct);
        let last = direct.max_by_key(|(_, t)| t.heard_at);
        last.map(|(name, _)| name.clone())
    }

    /// Number of targets that are reached through peers only.
    #[must_use]
    pub fn relayed(&self) -> usize {
        let relayed = self.listed().filter(|(_, t)| t.path == Path::Relayed);
        relayed.count()
    }

    /// Records that an exchange began on an own connection; the target may not be registered any
    /// more.
    pub fn begin_exchange(&mut self, now: Timestamp, target: &str) {
        let reach = self.targets.entry(target.into()).or_default();
        if reach.exchanges == 0 {
            reach.exchanges_since = now;
        }
        reach.exchanges += 1;
    }

    /// Records that an exchange on an own connection ended.
    pub fn end_exchange(&mut self, target: &str) {
        let Some(reach) = self.targets.get_mut(target) else {
            return;
        };
        reach.exchanges = reach.exchanges.saturating_sub(1);
        if !reach.is_in_use() {
            self.targets.remove(target);
        }
    }

    /// Records bytes that arrived on an own connection. They say nothing of new ones, which may be
    /// refused meanwhile.
    pub fn record_bytes(&mut self, now: Timestamp, target: &str) {
        if let Some(reach) = self.targets.get_mut(target) {
            reach.record_heard(now);
        }
    }

    /// Records the result of an own attempt to connect, which began at `began`.
    pub fn record_dial(
        &mut self,
        now: Timestamp,
        target: &str,
        began: Timestamp,
        result: DialResult,
    ) -> Option<PathChange> {
        let reach = self.targets.get_mut(target)?;
        match result {
            DialResult::Connected => {
                reach.record_heard(now);
                if std::mem::take(&mut reach.path) == Path::Direct {
                    return None;
                }
                reach.restored_at = Some(now);
                Some(PathChange::Restored)
            }
            DialResult::Refused => {
                reach.timeouts = 0;
                None
            }
            DialResult::TimedOut => {
                if reach.timeouts == 0 {
                    reach.timeouts_since = began;
                }
                reach.timeouts += 1;
                reach.find_hanging()
            }
        }
    }

    /// Records that a peer connected to a target to which an own connection failed, or was not made
    /// yet.
    pub fn record_reached_by_peer(&mut self, now: Timestamp, target: &str) -> Option<PathChange> {
        let reach = self.targets.get_mut(target)?;
        reach.silent_since = None;
        if std::mem::replace(&mut reach.path, Path::Relayed) == Path::Relayed {
            return reach.find_hanging();
        }
        let flapped = reach.restored_at.is_some_and(|at| now < at + FLAP_WINDOW);
        reach.flaps = if flapped { reach.flaps + 1 } else { 0 };
        if reach.flaps > 0 {
            let hold = FIRST_HOLD.saturating_mul(1 << reach.flaps.min(8));
            reach.held_until = now + hold.min(MAX_HOLD);
        }
        Some(PathChange::CutOff)
    }

    /// Records that connections to a target time out wherever they are tried; returns whether it may
    /// still go on.
    pub fn record_silent(&mut self, now: Timestamp, target: &str) -> bool {
        let Some(reach) = self.targets.get_mut(target) else {
            return false;
        };
        let since = *reach.silent_since.get_or_insert(now);
        now < since + MAX_SILENCE
    }

    /// Records that neither this entry nor a peer connects to a target.
    pub fn record_unreached(&mut self, target: &str) {
        if let Some(reach) = self.targets.get_mut(target) {
            reach.path = Path::None;
        }
    }

    /// Registered targets to which an own connection is to be tried now; counts them as checked.
    pub fn take_checks(&mut self, now: Timestamp) -> Vec<Name> {
        let cut_off = self.is_cut_off();
        let conditions = CheckConditions {
            now,
            cut_off,
            has_relayed: self.has_relayed(),
            heard_at: self.targets.values().map(|t| t.heard_at).max(),
        };
        let (mut doubted, mut returns) = (Vec::new(), Vec::new());
        for (name, reach) in self.listed() {
            match conditions.due_check(reach) {
                Some(Check::Doubt) => doubted.push((reach.checked_at, name.clone())),
                Some(Check::Return) => returns.push((reach.checked_at, name.clone())),
                None => {}
            }
        }
        doubted.sort_unstable();
        returns.sort_unstable();
        if cut_off {
            returns.truncate(RETURN_CHECKS_WHILE_CUT_OFF);
        }
        let due = doubted.into_iter().chain(returns).take(MAX_CHECKS);
        let names: Vec<Name> = due.map(|(_, name)| name).collect();
        for name in &names {
            if let Some(reach) = self.targets.get_mut(name) {
                reach.checked_at = Some(now);
            }
        }
        names
    }
}

impl TargetReach {
    /// Whether open connections are now found to hang: own ones time out and nothing has arrived
    /// since, while a peer reaches the target.
    fn find_hanging(&mut self) -> Option<PathChange> {
        let silent = self.heard_at < self.timeouts_since;
        let found = self.path == Path::Relayed
            && self.timeouts >= TIMEOUTS_OF_HANGING
            && silent
            && !self.hanging;
        self.hanging |= found;
        found.then_some(PathChange::Hanging)
    }
}
