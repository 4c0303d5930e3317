//! Measured points and the lines fitted to them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use async_io::Timer;
use http_types::Method;
use serde::{Deserialize, Serialize};

use crate::Process;
use crate::client::Call;
use crate::fleet::Fleet;
use crate::usage::ProcessUsage;

/// Minimum duration of one measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(8);

/// Resource usage of an entry at one size of the system.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Point {
    /// Size of the dimension.
    pub size: f64,
    /// CPU time of the entry, in microseconds per second.
    pub cpu_us_per_s: f64,
    /// Resident memory of the entry after the measurement, in bytes.
    pub resident: f64,
    /// Traffic of the link to one peer, or of all links to targets if the dimension is targets, in
    /// bytes per second; zero if not measured.
    pub link_bytes_per_s: f64,
    /// Calls per second to the platform, by object kind and verb: those of all entries and those
    /// that make the measured catalog changes.
    pub platform_calls_per_s: BTreeMap<String, f64>,
}

/// Measured points and the least-squares lines fitted to them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Slope {
    /// Name of the dimension.
    pub dimension: String,
    /// Measured points.
    pub points: Vec<Point>,
    /// CPU microseconds per second: offset and increase for each unit of size.
    pub cpu_us_per_s: (f64, f64),
    /// Resident bytes: offset and increase for each unit of size.
    pub resident: (f64, f64),
    /// Bytes per second of the measured links: offset and increase for each unit of size.
    pub link_bytes_per_s: (f64, f64),
}

impl Slope {
    /// Fits lines to `points`.
    #[must_use]
    pub fn fit(dimension: String, points: Vec<Point>) -> Self {
        let fit = |of: fn(&Point) -> f64| least_squares(points.iter().map(|p| (p.size, of(p))));
        Self {
            dimension,
            cpu_us_per_s: fit(|p| p.cpu_us_per_s),
            resident: fit(|p| p.resident),
            link_bytes_per_s: fit(|p| p.link_bytes_per_s),
            points,
        }
    }
}

/// Returns offset and slope of the least-squares line.
fn least_squares(points: impl Iterator<Item = (f64, f64)> + Clone) -> (f64, f64) {
    let n = points.clone().fold(0.0, |n, _| n + 1.0);
    let mean_x = points.clone().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.clone().map(|p| p.1).sum::<f64>() / n;
    let products = points.clone().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let sum_of_squares = points.map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
    let slope = products.sum::<f64>() / sum_of_squares.max(f64::MIN_POSITIVE);
    (mean_y - slope * mean_x, slope)
}

/// Measures the usage of `entry` while `during` runs, for at least [`MEASUREMENT_TIME`].
///
/// `link_bytes` returns the bytes that the measured links have carried so far.
pub(crate) async fn measure_point(
    fleet: &Fleet,
    entry: &Process,
    size: f64,
    link_bytes: impl Fn() -> u64,
    during: impl AsyncFnOnce(),
) -> Point {
    let admin = fleet.platform.address("admin");
    let _ = Call::new(Method::Delete, "/calls").send(admin).await;
    let (before, bytes_before) = (ProcessUsage::of(entry.id()), link_bytes());
    let started = Instant::now();
    during().await;
    Timer::at(started + MEASUREMENT_TIME).await;
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
        link_bytes_per_s: float(link_bytes() - bytes_before) / seconds,
        platform_calls_per_s: calls
            .into_iter()
            .map(|(call, n)| (call, float(n) / seconds))
            .collect(),
    }
}
