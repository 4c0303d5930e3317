//! Measures platform calls and grant latency per claim at several request rates; prints one line of
//! JSON for each rate.

#[path = "support/all.rs"]
mod support;

use std::time::Instant;

use async_executor::Executor;
use async_io::Timer;
use futures_lite::future::block_on;
use guavahold::claim::{ClaimOutcome, ClaimTable, ClaimVerdict, Claims};
use guavahold::prelude::*;
use support::{ClaimNode, Fault, LocalNet, MemoryPlatform, claim_request};

/// Number of shards, the default of `claim_shards`.
const SHARDS: u32 = 16;
/// Number of entries.
const ENTRIES: usize = 7;
/// Duration of the load at one rate.
const LOAD_DURATION: Duration = Duration::from_secs(5);
/// Latency of each platform call.
const PLATFORM_LATENCY: Duration = Duration::from_millis(4);

/// Claims and settles one key; returns the time until the grant, or `None` when it was not granted.
async fn claim_and_settle(table: ClaimTable) -> Option<Duration> {
    let started = Instant::now();
    let Ok(ClaimVerdict::Granted(claim)) = table.claim(claim_request(Duration::ZERO)).await else {
        return None;
    };
    let grant_time = started.elapsed();
    Timer::after(Duration::from_millis(50)).await;
    let outcome = ClaimOutcome::Answered {
        status: 200,
        content_type: "application/json".into(),
        body: Some("{\"booked\":true}".into()),
    };
    table.settle(claim, outcome).await;
    Some(grant_time)
}

/// Starts `rate` claims each second and prints the figures.
fn measure(rate: u32) {
    let (platform, net) = (MemoryPlatform::new(), Arc::new(LocalNet::default()));
    let start = |n| ClaimNode::start(&net, &platform, &format!("entry-{n}"), "a", SHARDS);
    let nodes: Vec<_> = (0..ENTRIES).map(start).collect();
    for node in &nodes {
        node.platform.set_fault(Some(Fault::Slow(PLATFORM_LATENCY)));
    }
    let ex = Arc::new(Executor::new());
    let started = Instant::now();
    let claims = rate * u32::try_from(LOAD_DURATION.as_secs()).unwrap();
    let mut grant_times = block_on(ex.run(async {
        let mut tasks = Vec::new();
        for n in 0..claims {
            let due = Duration::from_secs(1) * n / rate;
            Timer::after(due.saturating_sub(started.elapsed())).await;
            let table = nodes[n as usize % ENTRIES].table.clone();
            tasks.push(ex.spawn(claim_and_settle(table)));
        }
        let mut grant_times = Vec::new();
        for task in tasks {
            grant_times.push(task.await);
        }
        grant_times
    }));
    let elapsed_s = started.elapsed().as_secs_f64();
    let refused = grant_times.iter().filter(|t| t.is_none()).count();
    grant_times.retain(Option::is_some);
    grant_times.sort_unstable();
    let percentile = |percent: usize| {
        grant_times
            .get(grant_times.len() * percent / 100)
            .copied()
            .flatten()
    };
    let percentile_ms = |percent| percentile(percent).map(|t| t.as_secs_f64() * 1e3);
    let calls = platform.calls();
    let bytes: u64 = nodes.iter().map(|n| n.table.counts().bytes).sum();
    #[allow(clippy::cast_precision_loss)]
    let ratio = |n: u64, total: u64| n as f64 / total.max(1) as f64;
    let report = serde_json::json!({
        "claims_per_second": rate,
        "shards": SHARDS,
        "entries": ENTRIES,
        "refused": refused,
        "writes_per_claim": ratio(calls.writes, u64::from(claims)),
        "reads_per_claim": ratio(calls.reads, u64::from(claims)),
        "writes_per_second": ratio(calls.writes, 1) / elapsed_s,
        "conflicts": calls.conflicts,
        "bytes_per_write": ratio(bytes, calls.writes),
        "grant_ms_p50": percentile_ms(50),
        "grant_ms_p99": percentile_ms(99),
    });
    println!("{report}");
}

#[test]
#[ignore = "measurement"]
fn claim_load_measures_platform_calls_per_claim() {
    for rate in [10, 100, 400, 1_600] {
        measure(rate);
    }
}
