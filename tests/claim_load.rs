//! Measures platform calls for each claim at several loads; prints one line of JSON for each.

#[path = "support/all.rs"]
mod support;

use std::time::Instant;

use async_executor::Executor;
use async_io::Timer;
use futures_lite::future::block_on;
use guavahold::claim::{ClaimOutcome, ClaimTable, ClaimVerdict, Claims};
use guavahold::prelude::*;
use support::{ClaimNode, Fault, LocalNet, MemoryPlatform, claim_request};

/// Shards, as by default.
const SHARDS: u32 = 16;
/// Entries of one run.
const ENTRIES: usize = 7;
/// Time of one run.
const TIME: Duration = Duration::from_secs(5);
/// Time that the platform takes for each call.
const PLATFORM_TIME: Duration = Duration::from_millis(4);

/// Claims and settles one key; gives the time to the grant.
async fn book(table: ClaimTable) -> Option<Duration> {
    let started = Instant::now();
    let Ok(ClaimVerdict::Granted(claim)) = table.claim(claim_request(Duration::ZERO)).await else {
        return None;
    };
    let took = started.elapsed();
    Timer::after(Duration::from_millis(50)).await;
    let outcome = ClaimOutcome::Answered {
        status: 200,
        content_type: "application/json".into(),
        body: Some("{\"booked\":true}".into()),
    };
    table.settle(claim, outcome).await;
    Some(took)
}

fn measure(rate: u32) {
    let (platform, net) = (MemoryPlatform::new(), Arc::new(LocalNet::default()));
    let start = |n| ClaimNode::start(&net, &platform, &format!("entry-{n}"), "a", SHARDS);
    let nodes: Vec<_> = (0..ENTRIES).map(start).collect();
    for node in &nodes {
        node.platform.set_fault(Some(Fault::Slow(PLATFORM_TIME)));
    }
    let ex = Arc::new(Executor::new());
    let started = Instant::now();
    let claims = rate * u32::try_from(TIME.as_secs()).unwrap();
    let mut times = block_on(ex.run(async {
        let mut tasks = Vec::new();
        for n in 0..claims {
            let due = Duration::from_secs(1) * n / rate;
            Timer::after(due.saturating_sub(started.elapsed())).await;
            let table = nodes[n as usize % ENTRIES].table.clone();
            tasks.push(ex.spawn(book(table)));
        }
        let mut times = Vec::new();
        for task in tasks {
            times.push(task.await);
        }
        times
    }));
    let took = started.elapsed().as_secs_f64();
    let refused = times.iter().filter(|t| t.is_none()).count();
    times.retain(Option::is_some);
    times.sort_unstable();
    let at = |share: usize| times.get(times.len() * share / 100).copied().flatten();
    let millis = |share| at(share).map(|t| t.as_secs_f64() * 1e3);
    let calls = platform.calls();
    let bytes: u64 = nodes.iter().map(|n| n.table.counts().bytes).sum();
    #[allow(clippy::cast_precision_loss)]
    let per = |n: u64, of: u64| n as f64 / of.max(1) as f64;
    let report = serde_json::json!({
        "claims_per_second": rate,
        "shards": SHARDS,
        "entries": ENTRIES,
        "refused": refused,
        "writes_per_claim": per(calls.writes, u64::from(claims)),
        "reads_per_claim": per(calls.reads, u64::from(claims)),
        "writes_per_second": per(calls.writes, 1) / took,
        "conflicts": calls.conflicts,
        "bytes_per_write": per(bytes, calls.writes),
        "grant_ms_p50": millis(50),
        "grant_ms_p99": millis(99),
    });
    println!("{report}");
}

#[test]
#[ignore = "measurement"]
fn claim_load_calls_for_each_claim() {
    for rate in [10, 100, 400, 1_600] {
        measure(rate);
    }
}
