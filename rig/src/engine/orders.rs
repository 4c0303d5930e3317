//! Handling of orders to load and unload weight versions.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_io::Timer;
use guavahold::prelude::Name;
use guavahold::target::{Order, OrderRequest, OrderResponse, STALE_ORDER_STATUS};
use http_types::{Response, StatusCode};

use crate::{Engine, response};

/// Bandwidth-limited source of weights that engines share.
#[derive(Debug)]
pub struct WeightStore {
    full_speed_limit: usize,
    active_loads: AtomicUsize,
    peak_loads: AtomicUsize,
}

impl WeightStore {
    /// Creates a store that serves up to `full_speed_limit` concurrent loads at full speed.
    ///
    /// With more, the load that starts takes proportionally longer.
    #[must_use]
    pub fn new(full_speed_limit: usize) -> Self {
        Self {
            full_speed_limit,
            active_loads: AtomicUsize::new(0),
            peak_loads: AtomicUsize::new(0),
        }
    }

    /// Highest number of concurrent loads so far.
    #[must_use]
    pub fn peak_loads(&self) -> usize {
        self.peak_loads.load(Ordering::Relaxed)
    }

    async fn load(&self, unshared_time: Duration) {
        let active = self.active_loads.fetch_add(1, Ordering::Relaxed) + 1;
        self.peak_loads.fetch_max(active, Ordering::Relaxed);
        let slowdown = active.div_ceil(self.full_speed_limit.max(1));
        Timer::after(unshared_time * u32::try_from(slowdown).unwrap_or(1)).await;
        self.active_loads.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Engine {
    /// Handles `POST /orders`.
    pub(crate) fn handle_order(self: &Arc<Self>, body: &[u8]) -> Response {
        let Ok(req) = serde_json::from_slice::<OrderRequest>(body) else {
            return response::message(StatusCode::BadRequest, "not an order");
        };
        let stale = self.with_state(|s| self.cfg.checks_fencing && req.fencing < s.load.fencing);
        if stale {
            self.with_state(|s| s.stats.stale_orders += 1);
            return response::json(STALE_ORDER_STATUS, &OrderResponse::Stale);
        }
        self.with_state(|s| s.stats.orders += 1);
        self.update_load(|load| load.fencing = load.fencing.max(req.fencing));
        match req.order {
            Order::Load { weights } => self.load_weights(weights),
            Order::Unload { weights } => {
                self.update_load(|load| load.weights.retain(|w| *w != weights));
            }
        }
        response::json(StatusCode::Ok, &OrderResponse::Accepted)
    }

    fn load_weights(self: &Arc<Self>, weights: Name) {
        let present = self.with_state(|s| {
            s.load.weights.contains(&weights) || s.load.loading.as_ref() == Some(&weights)
        });
        if present {
            return;
        }
        self.update_load(|load| load.loading = Some(weights.clone()));
        let this = self.clone();
        self.spawn(async move {
            let time = this.cfg.weight_load_time.mul_f64(this.faults.slowdown());
            this.cfg.weight_store.load(time).await;
            this.update_load(|load| {
                if load.loading.as_ref() == Some(&weights) {
                    load.loading = None;
                }
                load.weights.push(weights);
            });
        });
    }
}
