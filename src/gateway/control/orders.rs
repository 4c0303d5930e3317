//! Orders to targets while this entry holds the lease.

use std::net::SocketAddr;

use async_io::Timer;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;

use crate::gateway::control::{Control, State};
use crate::prelude::*;
use crate::rollout::{RolloutEffect, RolloutEvent, WeightsOrder, WeightsOrderResult};

/// Longest wait for the answer to an order or a question.
const ANSWER_TIME: Duration = Duration::from_millis(600);
/// Time without progress after which a further entry in line competes for the lease.
const NEXT_IN_LINE: Duration = Duration::from_millis(2_500);
/// Entries in line that compete at once: one to hold the lease and one to take over.
const CANDIDATES: usize = 2;

/// What a target says of itself when asked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetStatus {
    /// Weight versions that it has, by model.
    pub weights: SmallVec<[(Name, u64); 1]>,
    /// Orders that it has accepted since its start.
    pub orders: u64,
    /// Whether an order is under way.
    pub busy: bool,
}

/// Orders and questions to targets.
pub trait TargetControl: Send + Sync {
    /// Orders a target to run other weights; `issuer` names this VM.
    fn order(&self, order: WeightsOrder, issuer: Name) -> Boxed<WeightsOrderResult>;
    /// Asks a target for its state; `None` without a readable answer.
    fn ask(&self, target: Name, address: SocketAddr) -> Boxed<Option<TargetStatus>>;
}

impl Control {
    /// Gives the rollout an event and carries out what it asks for.
    pub(crate) fn plan(&self, state: &mut State, event: RolloutEvent) {
        let mut effects = Vec::new();
        state.rollout.on(self.lease.now(), event, &mut effects);
        for effect in effects {
            let _ = self.shared.rollout.try_send(effect);
        }
    }

    /// Sends orders and questions, for ever.
    pub(crate) async fn run_orders(
        self: Arc<Self>,
        effects: async_channel::Receiver<RolloutEffect>,
    ) {
        while let Ok(effect) = effects.recv().await {
            match effect {
                RolloutEffect::Order(order) => {
                    self.executor.spawn(self.clone().order(order)).detach();
                }
                RolloutEffect::QueryStatus { target, address } => {
                    let ask = self.clone().ask(target, address);
                    self.executor.spawn(ask).detach();
                }
                RolloutEffect::Raise { fencing } => self.lease.raise_fencing_floor(fencing),
            }
        }
    }

    async fn order(self: Arc<Self>, order: WeightsOrder) {
        // The wait for this task may have been long, such as while the VM was paused.
        let held = self.lease.held();
        let in_time = held.is_some_and(|h| {
            h.fencing == order.fencing && self.lease.now() + ANSWER_TIME < h.until
        });
        let target = order.target.clone();
        let (version, fencing) = (order.version, order.fencing);
        let result = if in_time {
            let sent = self.targets.order(order, self.name.clone());
            let late = async {
                Timer::after(ANSWER_TIME).await;
                WeightsOrderResult::Unanswered
            };
            sent.or(late).await
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
        self.plan(&mut self.state(), RolloutEvent::Ended { target, result });
    }

    async fn ask(self: Arc<Self>, target: Name, address: SocketAddr) {
        let late = async {
            Timer::after(ANSWER_TIME).await;
            None
        };
        let answer = self.targets.ask(target.clone(), address).or(late).await;
        let Some(status) = answer else {
            return;
        };
        let mut state = self.state();
        let now = self.now();
        for (_, version) in &status.weights {
            state.told(now, &target, *version);
        }
        let event = RolloutEvent::TargetStatus {
            target,
            weights: status.weights,
            orders: status.orders,
            busy: status.busy,
        };
        self.plan(&mut state, event);
        self.push_targets(&mut state);
    }

    /// Competes for the lease while targets lack their weights, for ever.
    pub(crate) async fn run_lease(self: Arc<Self>) {
        loop {
            if self.competes() {
                self.lease.step().await;
            }
            let hold = self.lease.held();
            self.plan(&mut self.state(), RolloutEvent::Lease(hold));
            Self::spread_sleep(Duration::from_millis(100)).await;
        }
    }

    /// The first live entry by name competes at once, others when nothing gets done.
    fn competes(&self) -> bool {
        let state = self.state();
        if state.rollout.outdated_count() == 0 || self.shared.drain.is_draining() {
            return false;
        }
        let before = state.peers.iter().filter(|name| **name < self.name).count();
        let beyond = (before + 1).saturating_sub(CANDIDATES);
        let rank = u32::try_from(beyond).unwrap_or(u32::MAX);
        let patience = NEXT_IN_LINE.saturating_mul(rank);
        self.lease.held().is_some() || state.rollout.stalled_for(self.lease.now()) >= patience
    }
}
