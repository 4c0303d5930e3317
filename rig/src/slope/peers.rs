//! Cost of the number of entries in one failure domain, which form a full mesh.

use std::time::Duration;

use async_io::Timer;
use guavahold::platform::Role;
use serde_json::json;

use crate::fleet::{Fleet, wait_until_ok};
use crate::local_system::ANY_PORT;
use crate::slope::Point;
use crate::slope::point::measure_point;
use crate::{Process, Relay};

/// Measured numbers of peers of the measured entry.
const PEER_COUNTS: [u32; 4] = [1, 5, 10, 20];

pub(crate) async fn measure() -> eyre::Result<Vec<Point>> {
    let mut points = Vec::new();
    for peer_count in PEER_COUNTS {
        points.push(measure_one(peer_count).await?);
    }
    Ok(points)
}

async fn measure_one(peer_count: u32) -> eyre::Result<Point> {
    let fleet = Fleet::start()?;
    fleet.put_release_note(r#"{"revision": 0}"#).await;
    // Intervals as documented on the settings page, not the short ones that Fleet sets for tests.
    let cfg = json!({"heartbeat_ms": 500, "peer_timeout_ms": 2000, "traffic_threads": 1});
    let entry = fleet.start_entry("entry-0", "a", &cfg)?;
    let peers_address = entry.address("peers");
    fleet
        .list_vm("entry-0", Role::Entry, "a", peers_address, "")
        .await;
    let mut peer_processes: Vec<Process> = Vec::new();
    let mut relay = None;
    for n in 1..=peer_count {
        let name = format!("entry-{n}");
        let peer = fleet.start_entry(&name, "a", &cfg)?;
        let mut address = peer.address("peers");
        if n == 1 {
            let server = Relay::bind(ANY_PORT, address)?;
            let stand_in = server.stand_in();
            address = stand_in.listen_address();
            std::thread::spawn(move || async_io::block_on(server.run()));
            relay = Some(stand_in);
        }
        fleet.list_vm(&name, Role::Entry, "a", address, "").await;
        peer_processes.push(peer);
    }
    wait_until_ok(entry.address("admin"), "/ready").await;
    Timer::after(Duration::from_secs(3)).await;
    let bytes = || relay.as_ref().map_or(0, |r| r.forwarded_bytes());
    Ok(measure_point(&fleet, &entry, f64::from(peer_count), bytes, async || ()).await)
}
