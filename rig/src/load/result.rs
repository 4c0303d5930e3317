//! Summary of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::engine::EngineStats;
use crate::load::caller::{Outcome, Sample};
use crate::load::floor::{RecomputeFloor, ratio};
use crate::load::profile::{Profile, RequestKind};
use crate::load::run::LoadOptions;
use crate::load::schedule::Schedule;
use crate::service::RunCounts;

/// Share of the schedule that the quantiles leave out because the caches are still filling.
const WARM_UP_SHARE: f64 = 0.2;

/// Quantiles of a duration, in milliseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
    /// Percentiles 0, 5, … 100, for plots.
    pub curve: Vec<f64>,
}

impl Quantiles {
    /// Computes the quantiles of `times`.
    #[must_use]
    pub fn of(times: impl Iterator<Item = Duration>) -> Self {
        // Microseconds up to ten minutes, with three significant digits.
        let mut histogram = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3)
            .unwrap_or_else(|_| unreachable!("the bounds are valid"));
        for time in times {
            histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
        }
        #[allow(clippy::cast_precision_loss)] // Microseconds of a run are far below 2^53.
        let at = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
        Self {
            count: histogram.len(),
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            max: at(1.0),
            curve: (0..=20).map(|n| at(f64::from(n) / 20.0)).collect(),
        }
    }
}

/// Figures of a run that are not in the samples.
#[derive(Clone, Debug)]
pub struct RunTotals {
    /// Lower bound on the recomputed prompt tokens.
    pub floor: RecomputeFloor,
    /// Sum of the counters of all engines.
    pub engines: EngineStats,
    /// Counters of each service VM.
    pub services: Vec<RunCounts>,
    /// Duration of the run.
    pub duration: Duration,
}

/// Result of one run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LoadResult {
    /// Name of the profile.
    pub profile: String,
    /// Name of the router.
    pub router: String,
    /// Name of the fault.
    pub fault: String,
    /// Seed of the schedule.
    pub seed: u64,
    /// Length of the schedule, in seconds.
    pub seconds: f64,
    /// Factor on the profile's rates.
    pub rate: f64,
    /// Factor on the rates of customer 0 in the second half.
    pub surge: f64,
    /// Number of entries.
    pub entries: usize,
    /// Number of requests in the schedule.
    pub requests: usize,
    /// Number of turns after the first of their conversation.
    pub returns: usize,
    /// Requests served with their first token in time, at once or after one retry.
    pub good: usize,
    /// `good` per second of the schedule.
    pub goodput: f64,
    /// `good` during the fault, per second of its duration.
    pub goodput_in_fault: f64,
    /// Number of requests by outcome, retries included.
    pub ends: BTreeMap<String, usize>,
    /// Number of responses that belong to another request; must be zero.
    pub wrong: usize,
    /// Engine runs per chat that was not refused.
    pub attempts: f64,
    /// Time to the end of a refusal.
    pub refusal_time: Quantiles,
    /// Share of retries that were refused.
    pub refused_again: f64,
    /// Share of prompt tokens that engines computed.
    pub recomputed: f64,
    /// Lower bound on `recomputed`.
    pub recomputed_floor: f64,
    /// Highest number of runs of one booking; must be at most one.
    pub most_runs_of_key: u64,
    /// Time to first token by request kind, after the warm-up; retries are included.
    pub first_token: BTreeMap<String, Quantiles>,
    /// Time to first token of chats by customer, after the warm-up.
    pub by_customer: BTreeMap<String, Quantiles>,
    /// `by_customer` for the second half of the schedule.
    pub by_customer_late: BTreeMap<String, Quantiles>,
    /// Reasons of the first five broken responses.
    pub broken: Vec<String>,
}

impl LoadResult {
    /// Summarises the samples of a run.
    #[must_use]
    pub fn new(
        options: &LoadOptions,
        schedule: &Schedule,
        samples: &[Sample],
        totals: &RunTotals,
    ) -> Self {
        let kind = |s: &Sample| schedule.arrivals[s.arrival_index].kind;
        let customer = |s: &Sample| schedule.arrivals[s.arrival_index].customer;
        let in_time = |s: &&Sample| {
            let deadline = options.profile.policy(kind(s)).first_token();
            s.outcome == Outcome::Done && s.first_token.is_some_and(|t| t <= deadline)
        };
        let good: Vec<&Sample> = samples.iter().filter(in_time).collect();
        let chats = |s: &Sample| matches!(kind(s), RequestKind::Turn | RequestKind::Question);
        let warm_up_end = options.length.mul_f64(WARM_UP_SHARE);
        let times = |f: &dyn Fn(&Sample) -> bool| {
            Quantiles::of(
                samples
                    .iter()
                    .filter(|s| s.intended_start >= warm_up_end && f(s))
                    .filter_map(|s| s.first_token),
            )
        };
        let midpoint = options.length / 2;
        let by_customer = |second_half: bool| -> BTreeMap<String, Quantiles> {
            let of = |n: usize| {
                let selected = |s: &Sample| {
                    chats(s) && customer(s) == n && (!second_half || s.intended_start >= midpoint)
                };
                (Profile::customer_name(n).to_string(), times(&selected))
            };
            (0..super::profile::CUSTOMER_COUNT).map(of).collect()
        };
        // The same window as in `run`, which injects the fault.
        let (fault_begin, fault_end) = (options.length.mul_f64(0.4), options.length.mul_f64(0.75));
        let in_fault = good
            .iter()
            .filter(|s| s.intended_start >= fault_begin && s.intended_start < fault_end)
            .count();
        let chat_runs = samples
            .iter()
            .filter(|s| chats(s) && !is_refused(s))
            .count();
        let engines = &totals.engines;
        Self {
            profile: options.profile.name.into(),
            router: options.router.as_str().into(),
            fault: options.fault.as_str().into(),
            seed: options.seed,
            seconds: options.length.as_secs_f64(),
            rate: options.rate,
            surge: options.surge,
            entries: options.entries,
            requests: schedule.arrivals.len(),
            returns: schedule
                .arrivals
                .iter()
                .filter(|a| a.turn_bytes.len() > 1)
                .count(),
            good: good.len(),
            goodput: per_second(good.len(), options.length),
            goodput_in_fault: per_second(in_fault, fault_end.saturating_sub(fault_begin)),
            ends: count_ends(samples),
            wrong: samples
                .iter()
                .filter(|s| s.outcome == Outcome::Wrong)
                .count(),
            attempts: ratio(engines.runs, chat_runs as u64),
            refusal_time: Quantiles::of(
                samples
                    .iter()
                    .filter(|s| is_refused(s))
                    .map(|s| s.time_to_end),
            ),
            refused_again: refused_again(samples),
            recomputed: ratio(engines.computed_tokens, engines.prompt_tokens),
            recomputed_floor: totals.floor.computed_share(),
            most_runs_of_key: most_runs(&totals.services),
            first_token: RequestKind::ALL
                .into_iter()
                .map(|k| (k.as_str().to_owned(), times(&|s| kind(s) == k)))
                .collect(),
            by_customer: by_customer(false),
            by_customer_late: by_customer(true),
            broken: broken_reasons(samples),
        }
    }
}

fn per_second(count: usize, length: Duration) -> f64 {
    ratio(count as u64, 1) / length.as_secs_f64()
}

fn is_refused(sample: &Sample) -> bool {
    matches!(sample.outcome, Outcome::Refused { .. })
}

fn count_ends(samples: &[Sample]) -> BTreeMap<String, usize> {
    let mut ends = BTreeMap::new();
    for sample in samples {
        let end = match &sample.outcome {
            Outcome::Done => "done".to_owned(),
            Outcome::Refused { status, code, .. } => format!("{status} {code}"),
            Outcome::Broken(_) => "broken".to_owned(),
            Outcome::Wrong => "wrong".to_owned(),
        };
        *ends.entry(end).or_default() += 1;
    }
    ends
}

fn refused_again(samples: &[Sample]) -> f64 {
    let retries = samples.iter().filter(|s| s.is_retry);
    let refused_retries = retries.clone().filter(|s| is_refused(s)).count();
    ratio(refused_retries as u64, retries.count() as u64)
}

/// Highest number of runs of one request body, summed over the service VMs.
///
/// Each booking has a body of its own.
fn most_runs(services: &[RunCounts]) -> u64 {
    let mut by_body: BTreeMap<&str, u64> = BTreeMap::new();
    for (body, runs) in services.iter().flat_map(|s| &s.by_body) {
        *by_body.entry(body).or_default() += runs;
    }
    by_body.into_values().max().unwrap_or(0)
}

fn broken_reasons(samples: &[Sample]) -> Vec<String> {
    let reasons = samples.iter().filter_map(|s| match &s.outcome {
        Outcome::Broken(why) => Some(format!("request {} {}", s.arrival_index, why)),
        _ => None,
    });
    reasons.take(5).collect()
}
