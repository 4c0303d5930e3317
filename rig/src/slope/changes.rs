//! Cost of changes of the catalog.

use std::time::Duration;

use async_io::Timer;
use guavahold::platform::Role;
use serde_json::json;

use crate::fleet::{Fleet, await_ok};
use crate::slope::Point;
use crate::slope::point::observe;
use crate::{Relay, bench::ANY};

/// Changes per second.
const SIZES: [u32; 4] = [0, 2, 5, 10];
/// Seconds for which changes are made in one measurement.
const SECONDS: u32 = 6;

pub(crate) async fn measure() -> eyre::Result<Vec<Point>> {
    let fleet = Fleet::start()?;
    fleet.put_note(r#"{"revision": 0}"#).await;
    let cfg = json!({"heartbeat_ms": 500, "peer_timeout_ms": 2000, "traffic_threads": 1});
    // The second entry of a domain does not watch the catalog itself: it hears from the first.
    let entries = [
        fleet.entry("entry-0", "a", &cfg)?,
        fleet.entry("entry-1", "a", &cfg)?,
    ];
    let peers = entries[0].address("peers");
    fleet.list("entry-0", Role::Entry, "a", peers, "").await;
    let host = Relay::bind(ANY, entries[1].address("peers"))?;
    let relay = host.stand_in();
    std::thread::spawn(move || async_io::block_on(host.run()));
    let via = relay.listen_address();
    fleet.list("entry-1", Role::Entry, "a", via, "").await;
    for entry in &entries {
        await_ok(entry.address("admin"), "/ready").await;
    }
    Timer::after(Duration::from_secs(2)).await;
    let mut points = Vec::new();
    let mut revision = 1;
    for size in SIZES {
        let change = async || {
            for _ in 0..size * SECONDS {
                let policy = json!({"class": "standard", "first_token_ms": 1000 + revision});
                let part = if revision == 1 { "added" } else { "changed" };
                let note = json!({"revision": revision, part: {"policies": {"p": policy}}});
                fleet.put_note(&note.to_string()).await;
                revision += 1;
                Timer::after(Duration::from_secs(1) / size).await;
            }
        };
        let size = f64::from(size);
        points.push(
            observe(
                &fleet,
                &entries[0],
                size,
                || relay.forwarded_bytes(),
                change,
            )
            .await,
        );
    }
    Ok(points)
}
