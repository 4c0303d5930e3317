//! Shares of the requests that go to each target.

use crate::balance::{Demand, TargetView};
use crate::prelude::*;

/// Added to the load of each target for the request to place: of two equally utilized targets, the
/// one with more slots is less utilized afterwards.
const HALF_REQUEST: f64 = 0.5;
/// Lower bound on the requests to distribute: with none, no target would get a share.
const MIN_REQUESTS: f64 = 1e-6;

/// Shares of the requests that go to each target: those that level the load if all choosers draw
/// from them alike (stochastic coordination, Goren 2021).
#[derive(Clone, Debug, PartialEq)]
pub struct Distribution {
    shares: Vec<f64>,
}

/// Load of one target relative to its capacity.
struct Column {
    index: usize,
    load: f64,
    capacity: f64,
}

impl Column {
    fn height(&self) -> f64 {
        self.load / self.capacity
    }
}

impl Distribution {
    /// Computes the distribution. Targets known to be full and those of no weight get nothing.
    #[must_use]
    pub fn level(now: Timestamp, demand: &Demand, targets: &[TargetView]) -> Self {
        let mut shares = vec![0.0; targets.len()];
        let mut columns = columns(now, demand, targets);
        columns.sort_by(|a, b| a.height().total_cmp(&b.height()));
        let unseen = unseen_requests(now, demand, targets).max(MIN_REQUESTS);
        let (level, reached) = water_level(&columns, unseen);
        let horizon = longest_horizon(now, targets);
        for column in &columns[..reached] {
            let missing = (level * column.capacity - column.load).max(0.0);
            let speed = targets[column.index].speed;
            shares[column.index] = missing * demand.turnover(horizon, speed);
        }
        Self { shares }.normalized().corrected_for_own(targets)
    }

    fn normalized(mut self) -> Self {
        let sum: f64 = self.shares.iter().sum();
        if sum > 0.0 {
            self.shares.iter_mut().for_each(|share| *share /= sum);
        }
        self
    }

    /// Lowers the shares of targets that already have more than their share of the chooser's own
    /// requests. Choosers differ in these, so the correction does not make them choose alike.
    fn corrected_for_own(mut self, targets: &[TargetView]) -> Self {
        let in_flight = |(share, t): (&f64, &TargetView)| share / t.speed.max(f64::EPSILON);
        let shares = self.shares.iter().zip(targets);
        let sum: f64 = shares.clone().map(in_flight).sum();
        if sum <= 0.0 {
            return self;
        }
        let chosen = shares.clone().filter(|(share, _)| **share > 0.0);
        let own: u32 = chosen.map(|(_, t)| t.own).sum();
        let due = f64::from(own) + 1.0;
        let missing = shares.map(|(share, t)| {
            let due = due * in_flight((share, t)) / sum;
            if *share > 0.0 {
                (due - f64::from(t.own)).max(0.0) * t.speed
            } else {
                0.0
            }
        });
        self.shares = missing.collect();
        self.normalized()
    }

    /// Share of each target; the sum is one, or zero if no target can be chosen.
    #[must_use]
    pub fn shares(&self) -> &[f64] {
        &self.shares
    }

    /// Draws a target; `None` if none can be chosen.
    #[must_use]
    pub fn draw(&self, rng: &mut fastrand::Rng) -> Option<usize> {
        let mut rest = rng.f64() * self.shares.iter().sum::<f64>();
        let mut chosen = None;
        for (index, share) in self.shares.iter().enumerate() {
            if *share > 0.0 {
                chosen = Some(index);
                rest -= share;
                if rest < 0.0 {
                    break;
                }
            }
        }
        chosen
    }
}

fn columns(now: Timestamp, demand: &Demand, targets: &[TargetView]) -> Vec<Column> {
    let usable = targets.iter().enumerate();
    let usable = usable.filter(|(_, t)| t.capacity() > 0.0 && !t.is_full(now, demand));
    let columns = usable.map(|(index, t)| Column {
        index,
        load: t.known_requests(now, demand) + HALF_REQUEST,
        capacity: t.capacity(),
    });
    columns.collect()
}

/// Requests that the other choosers sent since the observations and that still run. With equal
/// shares for the request to place, the mean load after all of them is level.
fn unseen_requests(now: Timestamp, demand: &Demand, targets: &[TargetView]) -> f64 {
    let capacity: f64 = targets.iter().map(TargetView::capacity).sum();
    if capacity <= 0.0 {
        return 0.0;
    }
    let unseen = targets.iter();
    let unseen = unseen.map(|t| t.capacity() * t.unseen_share(now, demand));
    demand.others_in_flight() * unseen.sum::<f64>() / capacity
}

/// Time over which the shares are drawn, by the oldest observation; the others are newer where a
/// target turned a request away.
fn longest_horizon(now: Timestamp, targets: &[TargetView]) -> Duration {
    let horizons = targets.iter().map(|t| t.horizon(now));
    let longest = horizons
        .map(|horizon| horizon.unwrap_or(Duration::MAX))
        .max();
    longest.unwrap_or_default()
}

/// Level to which `requests` fill the columns, and the number of columns below it.
fn water_level(columns: &[Column], requests: f64) -> (f64, usize) {
    let (mut load, mut capacity, mut level) = (requests, 0.0, f64::INFINITY);
    for (n, column) in columns.iter().enumerate() {
        if level <= column.height() {
            return (level, n);
        }
        load += column.load;
        capacity += column.capacity;
        level = load / capacity;
    }
    (level, columns.len())
}
