//! Gives the orders of one failure domain while it holds the domain's lease.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_executor::Executor;
use async_io::Timer;
use futures_lite::FutureExt;
use http_types::{Method, Request, StatusCode, Url};
use log::Level;

use crate::catalog::CatalogCell;
use crate::http::Pool;
use crate::lease::{LeaseKeeper, LeaseSettings};
use crate::order::{OrderEffect, OrderEvent, OrderPlanner, OrderResult};
use crate::peer::PeerLinks;
use crate::platform::Platform;
use crate::prelude::*;
use crate::scheduler::TargetInfo;
use crate::target::{LoadReport, OrderRequest, STALE_ORDER_STATUS};
use crate::telemetry::log_event;

/// Time of the lease after each write.
const LEASE_TIME: Duration = Duration::from_secs(6);
/// Further time before a candidate takes over.
const LEASE_MARGIN: Duration = Duration::from_secs(1);
/// Longest time an order may take; it is not sent later than this before the lease ends.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of looking at the lease and the targets.
const INTERVAL: Duration = Duration::from_millis(200);
/// Entries of a domain that compete for its lease.
const CANDIDATES: usize = 2;
/// Longest accepted answer to an order, in bytes.
const MAX_ANSWER: usize = 64 * 1024;

/// The part of an entry that gives orders; clones share it.
#[derive(Clone)]
pub struct Orderer(Arc<Inner>);

struct Inner {
    pool: Arc<Pool>,
    entry: Name,
    domain: Name,
    cell: Arc<CatalogCell>,
    links: Arc<dyn PeerLinks>,
    executor: Arc<Executor<'static>>,
    lease: LeaseKeeper,
    planner: Mutex<OrderPlanner>,
}

impl Orderer {
    /// Makes the orderer of one entry; orders are sent from `executor`.
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
            time: LEASE_TIME,
            margin: LEASE_MARGIN,
        };
        let name = format!("orders-{domain}").into();
        let wait = LEASE_TIME + LEASE_MARGIN + ORDER_TIMEOUT;
        Self(Arc::new(Inner {
            pool,
            planner: Mutex::new(OrderPlanner::new(entry.clone(), domain.clone(), wait)),
            entry,
            domain,
            cell,
            links,
            executor,
            lease: LeaseKeeper::new(platform, name, cfg),
        }))
    }

    /// Takes over the listed targets and their last reports.
    pub fn observe(&self, targets: &[TargetInfo], reports: &HashMap<Name, LoadReport>) {
        self.0.submit(OrderEvent::Targets(targets.to_vec()));
        for (target, report) in reports {
            self.0.submit(OrderEvent::Report {
                target: target.clone(),
                report: report.clone(),
            });
        }
    }

    /// Competes for the lease and gives orders, for ever.
    pub async fn run(&self) {
        self.0.executor.spawn(self.0.clone().keep_lease()).detach();
        loop {
            self.0.submit(OrderEvent::Catalog(self.0.cell.current()));
            self.0.submit(OrderEvent::Lease(self.0.lease.hold()));
            Timer::after(INTERVAL).await;
        }
    }

    /// Fencing number of the lease, while this entry holds it.
    #[must_use]
    pub fn fencing(&self) -> Option<u64> {
        self.0.lease.hold().map(|hold| hold.fencing)
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
                OrderEffect::Raise { fencing } => self.lease.raise(fencing),
            }
        }
    }

    async fn keep_lease(self: Arc<Self>) {
        loop {
            if self.competes() {
                self.lease.step().await;
            }
            Timer::after(INTERVAL).await;
        }
    }

    /// The first entries of the domain by name compete, and whoever holds the lease.
    fn competes(&self) -> bool {
        let live = self.links.live();
        let peers = live
            .iter()
            .filter(|p| p.domain == self.domain && !p.draining);
        let before = peers.filter(|p| p.name < self.entry).count();
        before < CANDIDATES || self.lease.hold().is_some()
    }

    async fn send(self: Arc<Self>, target: Name, address: SocketAddr, request: OrderRequest) {
        let held = self.lease.hold();
        let now = self.lease.now();
        let in_time =
            held.filter(|h| h.fencing == request.fencing && now + ORDER_TIMEOUT < h.until);
        let result = if in_time.is_some() {
            self.exchange(address, &request).await
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

    async fn exchange(&self, address: SocketAddr, request: &OrderRequest) -> OrderResult {
        let Ok(url) = Url::parse(&format!("http://{address}/orders")) else {
            return OrderResult::Unanswered;
        };
        let mut req = Request::new(Method::Post, url);
        req.set_body(serde_json::json!(request).to_string());
        req.insert_header("content-type", "application/json");
        let exchange = async { self.pool.fetch(address, req, MAX_ANSWER).await.ok() };
        let late = async {
            Timer::after(ORDER_TIMEOUT).await;
            None
        };
        match exchange.or(late).await {
            Some((STALE_ORDER_STATUS, _)) => OrderResult::Stale,
            Some((StatusCode::Ok | StatusCode::Accepted, _)) => OrderResult::Accepted,
            _ => OrderResult::Unanswered,
        }
    }
}
