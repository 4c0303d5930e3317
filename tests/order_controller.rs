//! The order controller over TCP connections, with a lease on an in-memory platform.

#[path = "support/all.rs"]
mod support;

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use futures_lite::future::block_on;
use guavahold::catalog::{Catalog, CatalogCell, Model, Policy, Trust};
use guavahold::http::{
    Handler, IncomingRequest, Limits, Pool, ResponseFuture, Server, ServerControl,
};
use guavahold::order::OrderController;
use guavahold::prelude::*;
use guavahold::scheduler::TargetInfo;
use guavahold::target::{LoadReport, Order, OrderRequest, STALE_ORDER_STATUS};
use http_types::{Response, StatusCode};
use support::{MemoryPlatform, NoPeers};

/// A target that checks fencing tokens and loads weights without delay; its state is its load
/// report.
#[derive(Default)]
struct Engine(Mutex<LoadReport>);

impl Engine {
    fn receive_order(&self, body: &[u8]) -> StatusCode {
        let request: OrderRequest = serde_json::from_slice(body).unwrap();
        let mut report = self.0.lock().unwrap();
        if request.fencing < report.fencing {
            return STALE_ORDER_STATUS;
        }
        report.fencing = request.fencing;
        match request.order {
            Order::Load { weights } => report.weights.push(weights),
            Order::Unload { weights } => report.weights.retain(|w| *w != weights),
        }
        StatusCode::Ok
    }
}

impl Handler for Engine {
    fn handle(self: Arc<Self>, exchange: IncomingRequest) -> ResponseFuture {
        Box::pin(async move { Response::new(self.receive_order(&exchange.body)) })
    }
}

fn start_engine(ex: &Arc<Executor<'static>>, fencing: u64) -> (SocketAddr, Arc<Engine>) {
    let engine = Arc::new(Engine::default());
    engine.0.lock().unwrap().fencing = fencing;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let control = Arc::new(ServerControl::default());
    let server = Server::new(listener, Limits::default(), engine.clone(), control).unwrap();
    ex.spawn(Arc::new(server).run(ex.clone())).detach();
    (address, engine)
}

fn catalog(engines: usize) -> Arc<Catalog> {
    let mut catalog = Catalog {
        revision: 1,
        ..Catalog::default()
    };
    let policy = Policy {
        first_token_ms: 1,
        ..Policy::default()
    };
    catalog.declarations.policies.insert("quick".into(), policy);
    let model = Model {
        weights: "v2".into(),
        adapters: Vec::new(),
        policy: "quick".into(),
    };
    catalog.declarations.models.insert("salon".into(), model);
    let trust = Trust {
        checks_fencing: true,
    };
    let names = (0..engines).map(|n| Name::from(format!("engine-{n}")));
    catalog
        .declarations
        .trust
        .extend(names.map(|name| (name, trust)));
    Arc::new(catalog)
}

/// Runs the controller until all engines, which have seen `fencing`, serve `v2`. Returns the
/// fencing tokens that they have seen by then.
fn run_until_served(fencing: u64) -> Vec<u64> {
    let ex = Arc::new(Executor::new());
    let engines: Vec<_> = (0..3).map(|_| start_engine(&ex, fencing)).collect();
    let cell = Arc::new(CatalogCell::default());
    cell.install_if_newer(&catalog(engines.len()));
    let controller = OrderController::new(
        Arc::new(MemoryPlatform::new()),
        Arc::new(Pool::new(Duration::from_secs(1))),
        "entry".into(),
        "a".into(),
        cell,
        Arc::new(NoPeers),
        ex.clone(),
    );
    let info = |(n, (address, _)): (usize, &(SocketAddr, Arc<Engine>))| TargetInfo {
        name: format!("engine-{n}").into(),
        domain: "a".into(),
        address: *address,
        serves: "salon".into(),
        leaving: false,
        started_ms: 0,
        software: "v1".into(),
    };
    let targets: Vec<_> = engines.iter().enumerate().map(info).collect();
    let run = controller.clone();
    ex.spawn(async move { run.run().await }).detach();
    let started = Instant::now();
    block_on(ex.run(async {
        loop {
            let reports = engines.iter().map(|(_, e)| e.0.lock().unwrap().clone());
            let reports: Vec<_> = reports.collect();
            if reports.iter().all(|r| r.weights == ["v2".into()]) {
                return reports.iter().map(|r| r.fencing).collect();
            }
            let named = targets.iter().map(|t| t.name.clone()).zip(reports);
            controller.observe(&targets, &named.collect::<HashMap<_, _>>());
            assert!(
                started.elapsed() < Duration::from_secs(30),
                "v2 is not in service on all engines"
            );
            Timer::after(Duration::from_millis(20)).await;
        }
    }))
}

#[test]
fn controller_brings_version_into_service() {
    assert_eq!(run_until_served(0), [1, 1, 1]);
}

/// Targets refuse orders whose fencing token is below the greatest that they have seen, so the
/// controller must acquire its lease with a greater one.
#[test]
fn controller_exceeds_fencing_tokens_of_targets() {
    assert_eq!(run_until_served(7), [8, 8, 8]);
}

/// Time for which a holder sends no orders before it shuts down: then its successor need not wait.
const IDLE_TIME: Duration = Duration::from_secs(7);
/// Time in which the next entry holds a lease that was given back, well below the duration of one.
const SUCCESSION_TIME: Duration = Duration::from_secs(4);

/// Guards against a rollout that stands still until the lease of an entry that has shut down expires.
#[test]
fn controller_that_shuts_down_gives_the_lease_to_the_next() {
    let platform = Arc::new(MemoryPlatform::new());
    let ex = Arc::new(Executor::new());
    let start = |entry: &str| {
        let controller = OrderController::new(
            platform.clone(),
            Arc::new(Pool::new(Duration::from_secs(1))),
            entry.into(),
            "a".into(),
            Arc::new(CatalogCell::default()),
            Arc::new(NoPeers),
            ex.clone(),
        );
        let run = controller.clone();
        ex.spawn(async move { run.run().await }).detach();
        controller
    };
    let until_held = |controller: OrderController| async move {
        let started = Instant::now();
        while controller.fencing().is_none() {
            assert!(started.elapsed() < Duration::from_secs(30), "never held");
            Timer::after(Duration::from_millis(20)).await;
        }
        started.elapsed()
    };
    let waited = block_on(ex.run(async {
        let holder = start("first");
        until_held(holder.clone()).await;
        let next = start("next");
        Timer::after(IDLE_TIME).await;
        assert_eq!(next.fencing(), None, "two holders");
        holder.release_lease().await;
        assert_eq!(holder.fencing(), None, "it goes on with orders");
        until_held(next).await
    }));
    assert!(waited < SUCCESSION_TIME, "held after {waited:?}");
}
