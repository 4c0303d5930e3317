//! Orders to load and unload weight versions.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_io::Timer;
use guavahold::prelude::Name;
use guavahold::target::{Order, OrderRequest, OrderResponse, STALE_ORDER_STATUS};
use http_types::{Response, StatusCode};

use crate::{Engine, reply};

/// The rate-limited source of weights that engines share.
#[derive(Debug)]
pub struct WeightStore {
    at_full_speed: usize,
    loading: AtomicUsize,
    most: AtomicUsize,
}

impl WeightStore {
    /// Makes a store that serves `at_full_speed` loads at once; more slow each other down.
    #[must_use]
    pub fn new(at_full_speed: usize) -> Self {
        Self {
            at_full_speed,
            loading: AtomicUsize::new(0),
            most: AtomicUsize::new(0),
        }
    }

    /// Most loads seen at once.
    #[must_use]
    pub fn most_at_once(&self) -> usize {
        self.most.load(Ordering::Relaxed)
    }

    async fn load(&self, time: Duration) {
        let now = self.loading.fetch_add(1, Ordering::Relaxed) + 1;
        self.most.fetch_max(now, Ordering::Relaxed);
        let excess = now.div_ceil(self.at_full_speed.max(1));
        Timer::after(time * u32::try_from(excess).unwrap_or(1)).await;
        self.loading.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Engine {
    /// Answers `POST /orders`.
    pub(crate) fn order(self: &Arc<Self>, body: &[u8]) -> Response {
        let Ok(req) = serde_json::from_slice::<OrderRequest>(body) else {
            return reply::message(StatusCode::BadRequest, "not an order");
        };
        let stale = self.with(|s| self.cfg.checks_fencing && req.fencing < s.load.fencing);
        if stale {
            self.with(|s| s.stats.stale_orders += 1);
            return reply::json(STALE_ORDER_STATUS, &OrderResponse::Stale);
        }
        self.with(|s| s.stats.orders += 1);
        self.change_load(|load| load.fencing = load.fencing.max(req.fencing));
        match req.order {
            Order::Load { weights } => self.load_weights(weights),
            Order::Unload { weights } => {
                self.change_load(|load| load.weights.retain(|w| *w != weights));
            }
        }
        reply::json(StatusCode::Ok, &OrderResponse::Accepted)
    }

    fn load_weights(self: &Arc<Self>, weights: Name) {
        let known = self.with(|s| {
            s.load.weights.contains(&weights) || s.load.loading.as_ref() == Some(&weights)
        });
        if known {
            return;
        }
        self.change_load(|load| load.loading = Some(weights.clone()));
        let this = self.clone();
        self.spawn(async move {
            let time = this.cfg.load_time.mul_f64(this.faults.slow());
            this.cfg.weight_store.load(time).await;
            this.change_load(|load| {
                if load.loading.as_ref() == Some(&weights) {
                    load.loading = None;
                }
                load.weights.push(weights);
            });
        });
    }
}
