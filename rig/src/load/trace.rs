//! Arrival schedules, fixed before a run.

use std::time::Duration;

use fastrand::Rng;

use crate::load::profile::{CUSTOMERS, Kind, Profile};

/// One request of a schedule.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Intended start.
    pub at: Duration,
    /// Customer.
    pub customer: usize,
    /// What it is.
    pub kind: Kind,
    /// Conversation, or a number of its own for other requests.
    pub conversation: u64,
    /// Bytes that each turn up to this one adds to the conversation.
    pub turns: Vec<usize>,
}

/// A schedule.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Requests by their intended start.
    pub arrivals: Vec<Arrival>,
}

impl Trace {
    /// Draws a schedule of `length` at `rate` times the profile's own rates.
    ///
    /// The load of customer 0 is multiplied by `surge` from half of `length` on.
    #[must_use]
    pub fn draw(profile: &Profile, seed: u64, length: Duration, rate: f64, surge: f64) -> Self {
        let mut trace = Self {
            arrivals: Vec::new(),
        };
        let mut rng = Rng::with_seed(seed);
        for customer in 0..CUSTOMERS {
            for kind in Kind::ALL {
                let per_second = match kind {
                    Kind::Turn => profile.conversations,
                    Kind::Question => profile.questions,
                    Kind::Booking => profile.bookings,
                    Kind::Check => profile.checks,
                };
                let per_second = per_second * rate * Profile::share(customer);
                trace.draw_kind(profile, &mut rng, (customer, kind), (per_second, length));
                if customer == 0 && surge > 1.0 {
                    let extra = per_second * (surge - 1.0);
                    let from = trace.arrivals.len();
                    trace.draw_kind(profile, &mut rng, (customer, kind), (extra, length / 2));
                    for arrival in &mut trace.arrivals[from..] {
                        arrival.at += length / 2;
                    }
                }
            }
        }
        trace.arrivals.retain(|a| a.at < length);
        trace.arrivals.sort_by_key(|a| a.at);
        trace
    }

    fn draw_kind(
        &mut self,
        profile: &Profile,
        rng: &mut Rng,
        (customer, kind): (usize, Kind),
        (per_second, length): (f64, Duration),
    ) {
        let mut at = exponential(rng, 1.0 / per_second);
        while at < length.as_secs_f64() {
            let conversation = rng.u64(..);
            let turns = match kind {
                Kind::Turn => rng.u32(1..=profile.turns),
                _ => 1,
            };
            let mut start = at;
            let mut sizes = Vec::new();
            for _ in 0..turns {
                sizes.push(match kind {
                    Kind::Turn => rng.usize(profile.turn_bytes.0..=profile.turn_bytes.1),
                    _ => rng.usize(50..400),
                });
                self.arrivals.push(Arrival {
                    at: Duration::from_secs_f64(start),
                    customer,
                    kind,
                    conversation,
                    turns: sizes.clone(),
                });
                let gap = profile.gap.as_secs_f64();
                start += gap / 2.0 + exponential(rng, gap / 2.0);
            }
            at += exponential(rng, 1.0 / per_second);
        }
    }
}

/// Draws from an exponential distribution.
fn exponential(rng: &mut Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.f64()).ln()
}
