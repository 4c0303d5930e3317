//! Cost of the number of targets in the platform's VM list.

use std::time::Duration;

use async_io::Timer;
use guavahold::platform::Role;
use serde_json::json;

use crate::Relay;
use crate::fleet::{Fleet, wait_until_ok};
use crate::local_system::ANY_PORT;
use crate::slope::Point;
use crate::slope::point::measure_point;

/// Measured numbers of targets, which all share the address of one stand-in.
const TARGET_COUNTS: [u32; 4] = [0, 100, 200, 400];

pub(crate) async fn measure() -> eyre::Result<Vec<Point>> {
    let fleet = Fleet::start()?;
    fleet.put_release_note(r#"{"revision": 0}"#).await;
    let engine = fleet.start_engine("engine", "m", "w1", &[])?;
    let server = Relay::bind(ANY_PORT, engine.address("address"))?;
    let relay = server.stand_in();
    std::thread::spawn(move || async_io::block_on(server.run()));
    let cfg = json!({"probe_ms": 250, "traffic_threads": 1});
    let entry = fleet.start_entry("entry-0", "a", &cfg)?;
    let mut points = Vec::new();
    let mut listed = 0;
    for target_count in TARGET_COUNTS {
        while listed < target_count {
            let name = format!("engine-{listed}");
            let address = relay.listen_address();
            fleet.list_vm(&name, Role::Engine, "a", address, "m").await;
            listed += 1;
        }
        wait_until_ok(entry.address("admin"), "/ready").await;
        Timer::after(Duration::from_secs(2)).await;
        points.push(
            measure_point(
                &fleet,
                &entry,
                f64::from(target_count),
                || relay.forwarded_bytes(),
                async || (),
            )
            .await,
        );
    }
    Ok(points)
}
