//! The limits that targets set on the requests sent to them, as this entry knows them.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::gateway::ResponseInfo;
use crate::prelude::*;
use crate::rate_limit::{
    LimitChange, LimitObservation, LimitReport, LimitTable, NamedLimit, TargetLimit,
};

/// When a request was sent, and when the head of its response arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Exchange {
    /// Before the first byte was sent.
    pub sent: Timestamp,
    /// After the last byte of the head.
    pub received: Timestamp,
}

/// Time after a limit was first known from which every scheduler counts requests against it: entries
/// tell each other within that time.
const SPREADING_TIME: Duration = Duration::from_secs(1);

/// Known limits of targets, shared by the request and control tasks.
#[derive(Debug, Default)]
pub(crate) struct TargetLimits(Mutex<LimitTable>);

impl TargetLimits {
    /// Records what the head of a response says about the limit of its target.
    pub(crate) fn observe(&self, target: &Name, info: &ResponseInfo, exchange: Exchange) {
        let rate = match info.limit {
            NamedLimit::Rate(rate) => Some(rate),
            // Only the response to a request that ran shows that the target has no limit.
            NamedLimit::None if info.from_target => None,
            NamedLimit::None => return,
            NamedLimit::Unreadable => {
                log::warn!("event=target_limit_unreadable target={target}");
                return;
            }
        };
        let observation = LimitObservation {
            rate,
            sent: exchange.sent,
            received: exchange.received,
        };
        let change = self.lock().observe(target, observation);
        log_change(target, change, "own");
    }

    /// Replaces the listed targets and the starts of their processes.
    pub(crate) fn set_targets(
        &self,
        now: Timestamp,
        targets: impl IntoIterator<Item = (Name, u64)>,
    ) {
        self.lock().set_targets(now, targets);
    }

    /// Whether a target has a limit that every scheduler should know by now.
    pub(crate) fn binds_all(&self, now: Timestamp, target: &str) -> bool {
        let since = self.lock().since(target);
        since.is_some_and(|since| now >= since + SPREADING_TIME)
    }

    /// Whether a target has a limit.
    pub(crate) fn is_limited(&self, target: &str) -> bool {
        self.lock().rate(target).is_some()
    }

    /// The limits that are in force.
    pub(crate) fn in_force(&self) -> Vec<TargetLimit> {
        self.lock().in_force().collect()
    }

    /// Reports for the peers.
    pub(crate) fn reports(&self, now: Timestamp) -> Vec<LimitReport> {
        self.lock().reports(now)
    }

    /// Records the reports of a peer.
    pub(crate) fn merge(&self, now: Timestamp, peer: &str, reports: &[LimitReport]) {
        for report in reports {
            let changed = self.lock().merge(now, report);
            if let Some((target, change)) = changed {
                log_change(&target, change, peer);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, LimitTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs a change; `source` is `own` or the peer that reported it.
fn log_change(target: &Name, change: LimitChange, source: &str) {
    match change {
        LimitChange::None => {}
        LimitChange::Named(rate) => {
            log::info!("event=target_limit target={target} per_s={rate} source={source}");
        }
        LimitChange::Lifted => {
            log::info!("event=target_limit_lifted target={target} source={source}");
        }
    }
}
