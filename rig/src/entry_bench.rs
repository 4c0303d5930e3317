//! Benchmark of one entry: throughput of short requests, added latency and memory of idle streams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use guavahold::catalog::TokenHash;
use guavahold::platform::Role;
use http_types::Method;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::Process;
use crate::client;
use crate::fleet::{Fleet, wait_until_ok};
use crate::load::{Caller, LoadRequest, Outcome, Quantiles};
use crate::usage::ProcessUsage;

/// Bearer token of the only customer.
const TOKEN: &str = "token-of-the-bench";
/// Duration of the throughput measurement.
const THROUGHPUT_RUN_TIME: Duration = Duration::from_secs(5);
/// Number of request pairs of the latency measurement: one direct, one through the entry.
const LATENCY_PAIRS: usize = 2000;
/// Callers of the throughput measurement, each with one request in flight.
const THROUGHPUT_CALLERS: usize = 32;
/// Numbers of idle streams at which memory is measured.
const IDLE_STREAM_COUNTS: [usize; 3] = [250, 500, 1000];

/// Result of the benchmark.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryCost {
    /// Short requests per second through one entry, in a closed loop.
    pub requests_per_second: f64,
    /// Failed requests of the throughput measurement.
    pub failed: u64,
    /// CPU time of the entry for each request, in microseconds.
    pub cpu_us_per_request: f64,
    /// Requests per second that two CPU cores could serve at that cost.
    pub two_cores: f64,
    /// Latency of requests sent directly to the service, in milliseconds.
    pub direct: Quantiles,
    /// Latency of requests through the entry, in milliseconds.
    pub through: Quantiles,
    /// Median latency that the entry adds, in microseconds.
    pub added_p50_us: f64,
    /// Number of idle streams and resident bytes of the entry with them.
    pub streams: Vec<(usize, u64)>,
    /// Resident bytes for each idle stream: the increase from no streams to the largest number,
    /// divided by that number.
    pub bytes_per_stream: f64,
}

/// Benchmarks one entry process with two traffic threads.
///
/// # Errors
/// When a process cannot be started.
pub fn entry_bench() -> eyre::Result<EntryCost> {
    async_io::block_on(measure())
}

async fn measure() -> eyre::Result<EntryCost> {
    let fleet = Fleet::start()?;
    let service = fleet.start_service("desk", &["--read-ms", "0"])?;
    // Tokens ten minutes apart keep the streams idle; the slots let all of them run at once.
    let engine = fleet.start_engine(
        "engine-1",
        "m",
        "w1",
        &["--token-ms", "600000", "--slots", "100000"],
    )?;
    let direct = service.address("address");
    fleet
        .list_vm("desk-1", Role::Service, "a", direct, "desk")
        .await;
    let address = engine.address("address");
    fleet
        .list_vm("engine-1", Role::Engine, "a", address, "m")
        .await;
    fleet.put_release_note(&release_note()).await;
    let entry = fleet.start_entry("entry-1", "a", &json!({"traffic_threads": 2}))?;
    wait_until_ok(entry.address("admin"), "/ready").await;
    Timer::after(Duration::from_secs(1)).await;
    let callers = entry.address("callers");
    let (direct_quantiles, entry_quantiles) = measure_latency(direct, callers).await;
    let (rate, failed, cpu) = measure_throughput(callers, &entry);
    let streams = measure_idle_streams(callers, &entry).await?;
    let first = streams.first().copied().unwrap_or_default();
    let last = streams.last().copied().unwrap_or_default();
    Ok(EntryCost {
        requests_per_second: rate,
        failed,
        cpu_us_per_request: cpu,
        two_cores: 2e6 / cpu,
        added_p50_us: (entry_quantiles.p50 - direct_quantiles.p50) * 1000.0,
        direct: direct_quantiles,
        through: entry_quantiles,
        bytes_per_stream: (float(last.1) - float(first.1)) / float((last.0 - first.0) as u64),
        streams,
    })
}

fn release_note() -> String {
    json!({
        "revision": 0,
        "added": {
            "customers": {"c": {"share": 1, "tokens": [TokenHash::of(TOKEN).to_string()]}},
            "policies": {"p": {"class": "interactive", "first_token_ms": 60_000, "total_ms": 3_600_000}},
            "models": {"m": {"weights": "w1", "policy": "p"}},
            "services": {"desk": {"routes": [{"method": "GET", "path": "/", "policy": "p"}]}},
        },
    })
    .to_string()
}

fn get(address: SocketAddr, path: &str) -> LoadRequest {
    LoadRequest {
        address,
        method: Method::Get,
        path: path.into(),
        headers: vec![("authorization", format!("Bearer {TOKEN}"))],
        body: Value::Null,
    }
}

/// Measures the latency of direct requests and of requests through the entry, alternating.
async fn measure_latency(direct: SocketAddr, callers: SocketAddr) -> (Quantiles, Quantiles) {
    let caller = Caller::default();
    let (direct_request, entry_request) = (get(direct, "/x"), get(callers, "/services/desk/x"));
    let (mut direct_times, mut entry_times) = (Vec::new(), Vec::new());
    for _ in 0..LATENCY_PAIRS {
        for (call, times) in [
            (&direct_request, &mut direct_times),
            (&entry_request, &mut entry_times),
        ] {
            let started = Instant::now();
            if caller.send(call, started).await.1 == Outcome::Done {
                times.push(started.elapsed());
            }
        }
    }
    let of = |times: Vec<Duration>| Quantiles::of(times.into_iter());
    (of(direct_times), of(entry_times))
}

/// Measures requests per second, failed requests and CPU microseconds of the entry per request.
fn measure_throughput(callers: SocketAddr, entry: &Process) -> (f64, u64, f64) {
    let ex = Arc::new(Executor::new());
    let (done, failed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let before = ProcessUsage::of(entry.id());
    let started = Instant::now();
    for _ in 0..THROUGHPUT_CALLERS {
        let (done, failed) = (done.clone(), failed.clone());
        let task = async move {
            let (caller, call) = (Caller::default(), get(callers, "/services/desk/x"));
            while started.elapsed() < THROUGHPUT_RUN_TIME {
                let outcome = caller.send(&call, Instant::now()).await.1;
                let counter = if outcome == Outcome::Done {
                    &done
                } else {
                    &failed
                };
                counter.fetch_add(1, Ordering::Relaxed);
            }
        };
        ex.spawn(task).detach();
    }
    let threads: Vec<_> = (0..2)
        .map(|_| {
            let ex = ex.clone();
            std::thread::spawn(move || {
                async_io::block_on(ex.run(Timer::after(THROUGHPUT_RUN_TIME)))
            })
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    let seconds = started.elapsed().as_secs_f64();
    let cpu = ProcessUsage::of(entry.id()).cpu.saturating_sub(before.cpu);
    let done = float(done.load(Ordering::Relaxed));
    let per_request = cpu.as_secs_f64() * 1e6 / done.max(1.0);
    (done / seconds, failed.load(Ordering::Relaxed), per_request)
}

/// Measures resident bytes of the entry with growing numbers of streams waiting for a token.
async fn measure_idle_streams(
    callers: SocketAddr,
    entry: &Process,
) -> eyre::Result<Vec<(usize, u64)>> {
    let mut open = Vec::new();
    let mut out = vec![(0, ProcessUsage::of(entry.id()).resident)];
    for stream_count in IDLE_STREAM_COUNTS {
        while open.len() < stream_count {
            let call = client::Call::chat(TOKEN, "m", "hello", 3, true);
            let mut events = call.stream(callers).await?;
            events.next().await?;
            open.push(events);
        }
        Timer::after(Duration::from_millis(500)).await;
        out.push((open.len(), ProcessUsage::of(entry.id()).resident));
    }
    Ok(out)
}

#[allow(clippy::cast_precision_loss)] // Counts of one run are far below 2^53.
fn float(n: u64) -> f64 {
    n as f64
}
