//! Cost of targets in the list.

use std::time::Duration;

use async_io::Timer;
use guavahold::platform::Role;
use serde_json::json;

use crate::Relay;
use crate::bench::ANY;
use crate::fleet::{Fleet, await_ok};
use crate::slope::Point;
use crate::slope::point::observe;

/// Numbers of targets; all have the address of one stand-in.
const SIZES: [u32; 4] = [0, 100, 200, 400];

pub(crate) async fn measure() -> eyre::Result<Vec<Point>> {
    let fleet = Fleet::start()?;
    fleet.put_note(r#"{"revision": 0}"#).await;
    let engine = fleet.engine("engine", "m", "w1", &[])?;
    let host = Relay::bind(ANY, engine.address("address"))?;
    let relay = host.stand_in();
    std::thread::spawn(move || async_io::block_on(host.run()));
    let cfg = json!({"probe_ms": 250, "traffic_threads": 1});
    let entry = fleet.entry("entry-0", "a", &cfg)?;
    let mut points = Vec::new();
    let mut listed = 0;
    for size in SIZES {
        while listed < size {
            let name = format!("engine-{listed}");
            let address = relay.listen_address();
            fleet.list(&name, Role::Engine, "a", address, "m").await;
            listed += 1;
        }
        await_ok(entry.address("admin"), "/ready").await;
        Timer::after(Duration::from_secs(2)).await;
        points.push(
            observe(
                &fleet,
                &entry,
                f64::from(size),
                || relay.forwarded_bytes(),
                async || (),
            )
            .await,
        );
    }
    Ok(points)
}
