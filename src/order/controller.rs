//! Sends the orders of one failure domain while this entry holds the domain's lease.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_executor::Executor;
use async_io::Timer;
use futures_lite::FutureExt;
use http_types::{Method, Request, StatusCode, Url};
use log::Level;

use crate::catalog::CatalogCell;
use crate::http::Pool;
use crate::lease::{LeaseClient, LeaseSettings};
use crate::order::{OrderEffect, OrderEvent, OrderPlanner, OrderResult};
use crate::peer::PeerLinks;
use crate::platform::Platform;
use crate::prelude::*;
use crate::scheduler::TargetInfo;
use crate::target::{LoadReport, OrderRequest, STALE_ORDER_STATUS};
use crate::telemetry::log_event;

/// Duration of the lease, from each write.
const LEASE_DURATION: Duration = Duration::from_secs(6);
/// Time beyond the lease's duration before a candidate takes over.
const TAKEOVER_MARGIN: Duration = Duration::from_secs(1);
/// Timeout of sending an order. An order is sent only if this much time is left before the lease
/// expires.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for giving the lease back when the entry shuts down.
const LEASE_RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which the lease is advanced and the planner is given catalog and lease.
const STEP_INTERVAL: Duration = Duration::from_millis(200);
/// Number of entries of a domain that compete for its lease: one to hold it and one to take over.
const LEASE_CANDIDATES: usize = 2;
/// Longest accepted answer to an order, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Controller that competes for the lease of a failure domain and sends the domain's orders while
/// it holds it. Clones share one state.
#[derive(Clone)]
pub struct OrderController(Arc<Inner>);

struct Inner {
    pool: Arc<Pool>,
    entry: Name,
    domain: Name,
    cell: Arc<CatalogCell>,
    links: Arc<dyn PeerLinks>,
    executor: Arc<Executor<'static>>,
    lease: LeaseClient,
    planner: Mutex<OrderPlanner>,
}

impl OrderController {
    /// Creates the controller of one entry; its tasks run on `executor`.
    #[must_use]
    pub fn new(
        platform: Arc<dyn Platform>,
        pool: Arc<Pool>,
        entry: Name,
        domain: Name,
        cell: Arc<CatalogCell>,
        links: Arc<dyn PeerLinks>,
        executor: Arc<Executor<'static>>,
    ) -> Self {
        let cfg = LeaseSettings {
            holder: format!("{entry}.{:x}", fastrand::u64(..)).into(),
            duration: LEASE_DURATION,
            takeover_margin: TAKEOVER_MARGIN,
        };
        let name = format!("orders-{domain}").into();
        let unchecked_wait = LEASE_DURATION + TAKEOVER_MARGIN + ORDER_TIMEOUT;
        Self(Arc::new(Inner {
            pool,
            planner: Mutex::new(OrderPlanner::new(
                entry.clone(),
                domain.clone(),
                unchecked_wait,
            )),
            entry,
            domain,
            cell,
            links,
            executor,
            lease: LeaseClient::new(platform, name, cfg),
        }))
    }

    /// Passes the platform's list of targets and their last load reports to the planner.
    pub fn observe(&self, targets: &[TargetInfo], reports: &HashMap<Name, LoadReport>) {
        self.0.submit(OrderEvent::Targets(targets.to_vec()));
        for (target, report) in reports {
            self.0.submit(OrderEvent::Report {
                target: target.clone(),
                report: report.clone(),
            });
        }
    }

    /// Competes for the lease and sends orders; never returns.
    pub async fn run(&self) {
        let lease = self.0.clone().run_lease();
        lease.or(self.submit_changes()).await;
    }

    async fn submit_changes(&self) {
        loop {
            // A panic must not drop a lease call that is in flight, whose end would never be known.
            let _ = catch_unwind(AssertUnwindSafe(|| {
                self.0.submit(OrderEvent::Catalog(self.0.cell.current()));
                self.0.submit(OrderEvent::Lease(self.0.lease.held()));
            }));
            Timer::after(STEP_INTERVAL).await;
        }
    }

    /// Gives the lease back, if this entry has it, so that another entry can go on with a rollout. No
    /// orders are sent from then on.
    pub async fn release_lease(&self) {
        if let Some(confirmed) = self.0.lease.release_within(LEASE_RELEASE_TIMEOUT).await {
            log_event(Level::Info, "lease_released", &[("confirmed", &confirmed)]);
        }
    }

    /// Fencing token of the lease while this entry holds it.
    #[must_use]
    pub fn fencing(&self) -> Option<u64> {
        self.0.lease.held().map(|lease| lease.fencing)
    }
}

impl Inner {
    fn planner(&self) -> MutexGuard<'_, OrderPlanner> {
        self.planner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn submit(self: &Arc<Self>, event: OrderEvent) {
        let mut effects = Vec::new();
        let now = self.lease.now();
        self.planner().on(now, event, &mut effects);
        for effect in effects {
            match effect {
                OrderEffect::Send {
                    target,
                    address,
                    request,
                } => {
                    let send = self.clone().send(target, address, request);
                    self.executor.spawn(send).detach();
                }
                OrderEffect::Raise { fencing } => self.lease.raise_fencing_floor(fencing),
            }
        }
    }

    async fn run_lease(self: Arc<Self>) {
        loop {
            if self.is_candidate() {
                self.lease.step().await;
            }
            Timer::after(STEP_INTERVAL).await;
        }
    }

    /// Whether this entry competes for the lease: it is among the first [`LEASE_CANDIDATES`]
    /// entries of its domain by name that are live and not shutting down, or holds the lease
    /// already.
    fn is_candidate(&self) -> bool {
        let live = self.links.live();
        let domain_peers = live
            .iter()
            .filter(|p| p.domain == self.domain && !p.draining);
        let before = domain_peers.filter(|p| p.name < self.entry).count();
        before < LEASE_CANDIDATES || self.lease.held().is_some()
    }

    /// Sends an order if the lease under which it was planned is still held for at least
    /// [`ORDER_TIMEOUT`], and reports the result to the planner.
    async fn send(self: Arc<Self>, target: Name, address: SocketAddr, request: OrderRequest) {
        let held = self.lease.held();
        let now = self.lease.now();
        let usable_lease = held
            .filter(|lease| lease.fencing == request.fencing && now + ORDER_TIMEOUT < lease.until);
        let result = if usable_lease.is_some() {
            self.lease.record_use();
            self.post_order(address, &request).await
        } else {
            OrderResult::Unanswered
        };
        log_event(
            Level::Info,
            "order",
            &[
                ("target", &target),
                ("fencing", &request.fencing),
                ("order", &format_args!("{:?}", request.order)),
                ("result", &format_args!("{result:?}")),
            ],
        );
        self.submit(OrderEvent::Ended {
            target,
            fencing: request.fencing,
            result,
        });
    }

    /// Sends an order to its target and returns the result; it is [`OrderResult::Unanswered`] after
    /// [`ORDER_TIMEOUT`].
    async fn post_order(&self, address: SocketAddr, request: &OrderRequest) -> OrderResult {
        let Ok(url) = Url::parse(&format!("http://{address}/orders")) else {
            return OrderResult::Unanswered;
        };
        let mut req = Request::new(Method::Post, url);
        req.set_body(serde_json::json!(request).to_string());
        req.insert_header("content-type", "application/json");
        let exchange = self
            .pool
            .fetch_on_new_connection(address, req, MAX_ANSWER_BYTES);
        let exchange = async { exchange.await.ok() };
        let timeout = async {
            Timer::after(ORDER_TIMEOUT).await;
            None
        };
        match exchange.or(timeout).await {
            Some((STALE_ORDER_STATUS, _)) => OrderResult::Stale,
            Some((StatusCode::Ok | StatusCode::Accepted, _)) => OrderResult::Accepted,
            _ => OrderResult::Unanswered,
        }
    }
}
