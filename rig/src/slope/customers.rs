//! Cost of the number of customers in the catalog.

use std::time::Duration;

use async_io::Timer;
use guavahold::catalog::TokenHash;
use serde_json::{Map, json};

use crate::fleet::{Fleet, wait_until_ok};
use crate::slope::Point;
use crate::slope::point::measure_point;

/// Measured numbers of customers.
const CUSTOMER_COUNTS: [u32; 4] = [10, 1000, 2000, 4000];

pub(crate) async fn measure() -> eyre::Result<Vec<Point>> {
    let mut points = Vec::new();
    for customer_count in CUSTOMER_COUNTS {
        let fleet = Fleet::start()?;
        let customers: Map<String, _> = (0..customer_count)
            .map(|n| {
                let token = TokenHash::of(&format!("token {n}")).to_string();
                (
                    format!("customer-{n}"),
                    json!({"share": 1, "tokens": [token]}),
                )
            })
            .collect();
        let note = json!({"revision": 0, "added": {"customers": customers}});
        fleet.put_release_note(&note.to_string()).await;
        let entry = fleet.start_entry("entry-0", "a", &json!({"traffic_threads": 1}))?;
        wait_until_ok(entry.address("admin"), "/ready").await;
        Timer::after(Duration::from_secs(2)).await;
        points.push(
            measure_point(&fleet, &entry, f64::from(customer_count), || 0, async || ()).await,
        );
    }
    Ok(points)
}
