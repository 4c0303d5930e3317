//! Weight orders and status queries to targets, and the lease that orders require.

use std::net::SocketAddr;

use async_io::Timer;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;

use crate::gateway::control::{Control, State};
use crate::prelude::*;
use crate::rollout::{RolloutEffect, RolloutEvent, WeightsOrder, WeightsOrderResult};

/// Timeout of an order or a status query.
const TARGET_RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without rollout progress after which one more entry competes for the lease.
const LEASE_CANDIDATE_DELAY: Duration = Duration::from_millis(2_500);
/// Time limit for giving the lease back, within what is left of the termination grace period.
const LEASE_RELEASE_TIMEOUT: Duration = Duration::from_millis(250);
/// Entries that compete from the start: one to hold the lease and one to take it over.
const INITIAL_LEASE_CANDIDATES: usize = 2;

/// Response of a target to a status query.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetStatus {
    /// Weight versions that the target has loaded, by model; those that could be read.
    pub weights: SmallVec<[(Name, u64); 1]>,
    /// Number of orders that the target has accepted since its start, if it could be read.
    pub orders: Option<u64>,
    /// Whether the target may be executing an order.
    pub busy: bool,
}

/// Client for weight orders and status queries to targets.
pub trait TargetControl: Send + Sync {
    /// Orders a target to change its weights; `issuer` is the name of this entry.
    fn order(&self, order: WeightsOrder, issuer: Name) -> Boxed<WeightsOrderResult>;
    /// Queries a target's status; `None` without a valid response.
    fn query_status(&self, target: Name, address: SocketAddr) -> Boxed<Option<TargetStatus>>;
}

impl Control {
    /// Passes an event to the rollout planner and queues the resulting effects.
    pub(crate) fn plan_rollout(&self, state: &mut State, event: RolloutEvent) {
        let mut effects = Vec::new();
        state.rollout.on(self.lease.now(), event, &mut effects);
        for effect in effects {
            let _ = self.shared.rollout.try_send(effect);
        }
    }

    /// Executes the rollout planner's effects; never returns while the gateway runs.
    pub(crate) async fn run_orders(
        self: Arc<Self>,
        effects: async_channel::Receiver<RolloutEffect>,
    ) {
        while let Ok(effect) = effects.recv().await {
            match effect {
                RolloutEffect::Order(order) => {
                    let send = self.clone().send_order(order);
                    self.supervisor.spawn("order", send);
                }
                RolloutEffect::QueryStatus { target, address } => {
                    let query = self.clone().query_status(target, address);
                    self.supervisor.spawn("status_query", query);
                }
                RolloutEffect::Raise { fencing } => self.lease.raise_fencing_floor(fencing),
            }
        }
    }

    async fn send_order(self: Arc<Self>, order: WeightsOrder) {
        // Time may have passed since the order was queued, such as when the VM was paused.
        let lease = self.lease.held();
        let in_time = lease.is_some_and(|h| {
            h.fencing == order.fencing && self.lease.now() + TARGET_RESPONSE_TIMEOUT < h.until
        });
        let target = order.target.clone();
        let (version, fencing) = (order.version, order.fencing);
        let result = if in_time {
            self.lease.record_use();
            let sent = self.targets.order(order, self.name.clone());
            let timeout = async {
                Timer::after(TARGET_RESPONSE_TIMEOUT).await;
                WeightsOrderResult::Unanswered
            };
            sent.or(timeout).await
        } else {
            WeightsOrderResult::Unanswered
        };
        let label = format!("{result:?}").to_ascii_lowercase();
        self.shared
            .metrics
            .orders
            .with_label_values(&[&label])
            .inc();
        log::info!(
            "event=order target={target} version={version} fencing={fencing} sent={in_time} result={label}"
        );
        self.plan_rollout(&mut self.state(), RolloutEvent::Ended { target, result });
    }

    async fn query_status(self: Arc<Self>, target: Name, address: SocketAddr) {
        let timeout = async {
            Timer::after(TARGET_RESPONSE_TIMEOUT).await;
            None
        };
        let response = self
            .targets
            .query_status(target.clone(), address)
            .or(timeout)
            .await;
        let Some(status) = response else {
            return;
        };
        let mut state = self.state();
        let now = self.now();
        for (_, version) in &status.weights {
            state.record_reported_version(now, &target, *version);
        }
        let event = RolloutEvent::TargetStatus {
            target,
            weights: status.weights,
            orders: status.orders,
            busy: status.busy,
        };
        self.plan_rollout(&mut state, event);
        self.submit_targets(&mut state);
    }

    /// Competes for the lease while targets have outdated weights; never returns.
    pub(crate) async fn run_lease(self: Arc<Self>) {
        let mut known = (None, false);
        loop {
            if self.competes_for_lease() {
                self.lease.step().await;
            }
            let lease = self.lease.held();
            let owned = self.lease.owned().map(|lease| lease.fencing);
            let usable = lease.is_some();
            if known != (owned, usable) {
                log::info!("event=lease_changed fencing={owned:?} usable={usable}");
                known = (owned, usable);
            }
            self.plan_rollout(&mut self.state(), RolloutEvent::Lease(lease));
            Self::sleep_with_jitter(Duration::from_millis(100)).await;
        }
    }

    /// Gives the lease back before this process ends, so that another entry can go on with a rollout.
    pub(crate) async fn release_lease(&self) {
        if let Some(confirmed) = self.lease.release_within(LEASE_RELEASE_TIMEOUT).await {
            log::info!("event=lease_released confirmed={confirmed}");
        }
    }

    /// Whether to compete for the lease, which entries do only while targets have outdated weights,
    /// and unless they do not reach all targets while peers do: orders are not relayed, since targets
    /// must get them from the holder itself. The first [`INITIAL_LEASE_CANDIDATES`] live entries by
    /// name compete at once, each further one after another [`LEASE_CANDIDATE_DELAY`] without rollout
    /// progress, and those that drain after all others: all entries may be restarted at about the same
    /// time. The holder of the lease continues to compete, also while it drains: nobody else may give
    /// orders until the lease has run out.
    fn competes_for_lease(&self) -> bool {
        let state = self.state();
        if state.rollout.outdated_count() == 0 {
            return false;
        }
        if self.shared.paths.has_relayed() && self.shared.relays.has_reaching_peer() {
            return false;
        }
        if self.lease.owned().is_some() {
            return true;
        }
        let behind = if self.shared.drain.is_draining() {
            state.peers.len() + 1
        } else {
            let ahead = state.peers.iter().filter(|name| **name < self.name).count();
            (ahead + 1).saturating_sub(INITIAL_LEASE_CANDIDATES)
        };
        let rank = u32::try_from(behind).unwrap_or(u32::MAX);
        let delay = LEASE_CANDIDATE_DELAY.saturating_mul(rank);
        state.rollout.stalled_for(self.lease.now()) >= delay
    }
}
