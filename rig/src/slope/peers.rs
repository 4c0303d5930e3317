//! Cost of the entries of one failure domain, which all hear of each other.

use std::time::Duration;

use async_io::Timer;
use guavahold::platform::Role;
use serde_json::json;

use crate::bench::ANY;
use crate::fleet::{Fleet, await_ok};
use crate::slope::Point;
use crate::slope::point::observe;
use crate::{Process, Relay};

/// Numbers of peers of the observed entry.
const SIZES: [u32; 4] = [1, 5, 10, 20];

pub(crate) async fn measure() -> eyre::Result<Vec<Point>> {
    let mut points = Vec::new();
    for size in SIZES {
        points.push(measure_one(size).await?);
    }
    Ok(points)
}

async fn measure_one(size: u32) -> eyre::Result<Point> {
    let fleet = Fleet::start()?;
    fleet.put_note(r#"{"revision": 0}"#).await;
    // Timers as on the settings page, not those that make tests quick.
    let cfg = json!({"heartbeat_ms": 500, "peer_timeout_ms": 2000, "traffic_threads": 1});
    let entry = fleet.entry("entry-0", "a", &cfg)?;
    let peers = entry.address("peers");
    fleet.list("entry-0", Role::Entry, "a", peers, "").await;
    let mut others: Vec<Process> = Vec::new();
    let mut relayed = None;
    for n in 1..=size {
        let name = format!("entry-{n}");
        let other = fleet.entry(&name, "a", &cfg)?;
        let mut address = other.address("peers");
        if n == 1 {
            let host = Relay::bind(ANY, address)?;
            let stand_in = host.stand_in();
            address = stand_in.listen_address();
            std::thread::spawn(move || async_io::block_on(host.run()));
            relayed = Some(stand_in);
        }
        fleet.list(&name, Role::Entry, "a", address, "").await;
        others.push(other);
    }
    await_ok(entry.address("admin"), "/ready").await;
    Timer::after(Duration::from_secs(3)).await;
    let bytes = || relayed.as_ref().map_or(0, |r| r.forwarded_bytes());
    Ok(observe(&fleet, &entry, f64::from(size), bytes, async || ()).await)
}
