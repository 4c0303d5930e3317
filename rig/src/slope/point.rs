//! Measured points and the lines through them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use async_io::Timer;
use http_types::Method;
use serde::{Deserialize, Serialize};

use crate::Process;
use crate::client::Call;
use crate::fleet::Fleet;
use crate::usage::ProcessUsage;

/// Duration of one measurement.
const WINDOW: Duration = Duration::from_secs(8);

/// One size and what an entry used at it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Point {
    /// Size of the dimension.
    pub size: f64,
    /// Processor time of the entry, in microseconds per second.
    pub cpu_us_per_s: f64,
    /// Resident memory of the entry, in bytes.
    pub resident: f64,
    /// Bytes per second of the link to one peer, or of all links to targets where targets are the
    /// dimension; zero where not measured.
    pub link_bytes_per_s: f64,
    /// Platform calls of all entries per second, by kind and verb.
    pub platform_calls_per_s: BTreeMap<String, f64>,
}

/// Points and the least-squares lines through them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Slope {
    /// Dimension.
    pub dimension: String,
    /// Points.
    pub points: Vec<Point>,
    /// Processor microseconds per second: at size zero and for each unit.
    pub cpu_us_per_s: (f64, f64),
    /// Resident bytes: at size zero and for each unit.
    pub resident: (f64, f64),
    /// Bytes per second of the observed links: at size zero and for each unit.
    pub link_bytes_per_s: (f64, f64),
}

impl Slope {
    /// Fits lines through `points`.
    #[must_use]
    pub fn fit(dimension: String, points: Vec<Point>) -> Self {
        let line = |of: fn(&Point) -> f64| least_squares(points.iter().map(|p| (p.size, of(p))));
        Self {
            dimension,
            cpu_us_per_s: line(|p| p.cpu_us_per_s),
            resident: line(|p| p.resident),
            link_bytes_per_s: line(|p| p.link_bytes_per_s),
            points,
        }
    }
}

/// Offset and slope of the least-squares line.
fn least_squares(points: impl Iterator<Item = (f64, f64)> + Clone) -> (f64, f64) {
    let n = points.clone().fold(0.0, |n, _| n + 1.0);
    let mean_x = points.clone().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.clone().map(|p| p.1).sum::<f64>() / n;
    let above = points.clone().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let below = points.map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
    let slope = above.sum::<f64>() / below.max(f64::MIN_POSITIVE);
    (mean_y - slope * mean_x, slope)
}

/// Measures `entry` over one window, while `during` runs.
pub(crate) async fn observe(
    fleet: &Fleet,
    entry: &Process,
    size: f64,
    link_bytes: impl Fn() -> u64,
    during: impl AsyncFnOnce(),
) -> Point {
    let admin = fleet.platform.address("admin");
    let _ = Call::new(Method::Delete, "/calls").send(admin).await;
    let (before, bytes) = (ProcessUsage::of(entry.id()), link_bytes());
    let started = Instant::now();
    during().await;
    Timer::at(started + WINDOW).await;
    let seconds = started.elapsed().as_secs_f64();
    let after = ProcessUsage::of(entry.id());
    let calls = Call::new(Method::Get, "/calls").send(admin).await;
    let calls: BTreeMap<String, u64> = calls
        .ok()
        .and_then(|c| serde_json::from_value(c.json()).ok())
        .unwrap_or_default();
    #[allow(clippy::cast_precision_loss)] // Counts of one run are far below 2^53.
    let float = |n: u64| n as f64;
    Point {
        size,
        cpu_us_per_s: after.cpu.saturating_sub(before.cpu).as_secs_f64() * 1e6 / seconds,
        resident: float(after.resident),
        link_bytes_per_s: float(link_bytes() - bytes) / seconds,
        platform_calls_per_s: calls
            .into_iter()
            .map(|(call, n)| (call, float(n) / seconds))
            .collect(),
    }
}
