//! Cost of non-idempotent requests, each of which takes a claim.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use guavahold::catalog::TokenHash;
use guavahold::platform::Role;
use http_types::Method;
use serde_json::json;

use crate::fleet::{Fleet, wait_until_ok};
use crate::load::{Caller, LoadRequest};
use crate::slope::Point;
use crate::slope::point::measure_point;

/// Measured rates of bookings, in requests per second.
const BOOKINGS_PER_SECOND: [u32; 4] = [0, 20, 40, 80];
/// Duration of the bookings in one measurement.
const LOAD_SECONDS: u32 = 6;
/// Bearer token of the only customer.
const TOKEN: &str = "token-of-the-slope";

pub(crate) async fn measure() -> eyre::Result<Vec<Point>> {
    let fleet = Fleet::start()?;
    let note = json!({
        "revision": 0,
        "added": {
            "customers": {"c": {"share": 1, "tokens": [TokenHash::of(TOKEN).to_string()]}},
            "policies": {"once": {"class": "standard", "idempotent": false, "retention_s": 60}},
            "services": {"desk": {"routes": [{"method": "*", "path": "/", "policy": "once"}]}},
        },
    });
    fleet.put_release_note(&note.to_string()).await;
    let service = fleet.start_service("desk", &["--write-ms", "5"])?;
    let address = service.address("address");
    fleet
        .list_vm("desk-1", Role::Service, "a", address, "desk")
        .await;
    let entry = fleet.start_entry("entry-0", "a", &json!({"traffic_threads": 1}))?;
    fleet
        .list_vm("entry-0", Role::Entry, "a", entry.address("peers"), "")
        .await;
    wait_until_ok(entry.address("admin"), "/ready").await;
    Timer::after(Duration::from_secs(2)).await;
    let callers = entry.address("callers");
    let mut points = Vec::new();
    for per_second in BOOKINGS_PER_SECOND {
        let during = async || send_bookings(callers, per_second).await;
        points.push(measure_point(&fleet, &entry, f64::from(per_second), || 0, during).await);
    }
    Ok(points)
}

/// Sends bookings at a constant rate and waits for the responses.
async fn send_bookings(callers: std::net::SocketAddr, per_second: u32) {
    let (ex, caller) = (Arc::new(Executor::new()), Caller::default());
    let send = async {
        let started = Instant::now();
        let mut tasks = Vec::new();
        for n in 0..per_second * LOAD_SECONDS {
            Timer::at(started + Duration::from_secs(1) / per_second * n).await;
            let call = LoadRequest {
                address: callers,
                method: Method::Post,
                path: "/services/desk/bookings".into(),
                headers: vec![
                    ("authorization", format!("Bearer {TOKEN}")),
                    ("idempotency-key", uuid::Uuid::now_v7().to_string()),
                ],
                body: json!({"booking": n}),
            };
            let caller = caller.clone();
            tasks.push(ex.spawn(async move { caller.send(&call, Instant::now()).await }));
        }
        for task in tasks {
            task.await;
        }
    };
    ex.run(send).await;
}
