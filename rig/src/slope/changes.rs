//! Cost of catalog changes.

use std::time::Duration;

use async_io::Timer;
use guavahold::platform::Role;
use serde_json::json;

use crate::Relay;
use crate::fleet::{Fleet, wait_until_ok};
use crate::local_system::ANY_PORT;
use crate::slope::Point;
use crate::slope::point::measure_point;

/// Measured rates of catalog changes, in changes per second.
const CHANGES_PER_SECOND: [u32; 4] = [0, 2, 5, 10];
/// Duration of the changes in one measurement.
const LOAD_SECONDS: u32 = 6;

pub(crate) async fn measure() -> eyre::Result<Vec<Point>> {
    let fleet = Fleet::start()?;
    fleet.put_release_note(r#"{"revision": 0}"#).await;
    let cfg = json!({"heartbeat_ms": 500, "peer_timeout_ms": 2000, "traffic_threads": 1});
    // The second entry of a failure domain does not watch the catalog; the first relays changes.
    let entries = [
        fleet.start_entry("entry-0", "a", &cfg)?,
        fleet.start_entry("entry-1", "a", &cfg)?,
    ];
    let peers = entries[0].address("peers");
    fleet.list_vm("entry-0", Role::Entry, "a", peers, "").await;
    // The relay counts the bytes of the link between the two entries.
    let server = Relay::bind(ANY_PORT, entries[1].address("peers"))?;
    let relay = server.stand_in();
    std::thread::spawn(move || async_io::block_on(server.run()));
    let relay_address = relay.listen_address();
    fleet
        .list_vm("entry-1", Role::Entry, "a", relay_address, "")
        .await;
    for entry in &entries {
        wait_until_ok(entry.address("admin"), "/ready").await;
    }
    Timer::after(Duration::from_secs(2)).await;
    let mut points = Vec::new();
    let mut revision = 1;
    for per_second in CHANGES_PER_SECOND {
        let apply_changes = async || {
            for _ in 0..per_second * LOAD_SECONDS {
                let policy = json!({"class": "standard", "first_token_ms": 1000 + revision});
                let section = if revision == 1 { "added" } else { "changed" };
                let note = json!({"revision": revision, section: {"policies": {"p": policy}}});
                fleet.put_release_note(&note.to_string()).await;
                revision += 1;
                Timer::after(Duration::from_secs(1) / per_second).await;
            }
        };
        let per_second = f64::from(per_second);
        points.push(
            measure_point(
                &fleet,
                &entries[0],
                per_second,
                || relay.forwarded_bytes(),
                apply_changes,
            )
            .await,
        );
    }
    Ok(points)
}
