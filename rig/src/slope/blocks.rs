//! Cost of blocks in a store.

use std::time::Duration;

use async_io::Timer;
use guavahold::cache::{BlockKey, Operation, Secret, StoreClient};
use guavahold::prelude::Name;
use serde_json::json;

use crate::engine::block_bytes;
use crate::fleet::Fleet;
use crate::slope::Point;
use crate::slope::point::observe;

/// Blocks put in one measurement; each starts with an empty store.
const SIZES: [u32; 4] = [0, 1000, 2000, 4000];
/// Bytes of one block.
const BLOCK_BYTES: usize = 16 * 1024;

pub(crate) async fn measure() -> eyre::Result<Vec<Point>> {
    let customer = Name::from("c");
    let mut points = Vec::new();
    for size in SIZES {
        let fleet = Fleet::start()?;
        // Nothing in memory but the index, so that memory shows what a block costs beside its bytes.
        let store = fleet.store("store", "a", &json!({"memory_bytes": 0}))?;
        let address = store.address("blocks");
        let client = StoreClient::new(Secret::open(&fleet.path("secret"))?, Duration::from_secs(1));
        Timer::after(Duration::from_secs(1)).await;
        let put = async || {
            for n in 0..size {
                let key = BlockKey::from_bytes(*blake3::hash(&n.to_le_bytes()).as_bytes());
                let ticket = client.ticket(Operation::Write, &customer, &key);
                let bytes = block_bytes(&key, BLOCK_BYTES);
                let _ = client.put(address, &key, &ticket, None, bytes).await;
            }
        };
        points.push(observe(&fleet, &store, f64::from(size), || 0, put).await);
    }
    Ok(points)
}
