//! Arrival schedules, generated before a run.

use std::time::Duration;

use fastrand::Rng;

use crate::load::profile::{CUSTOMER_COUNT, Profile, RequestKind};

/// One request of a schedule.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Intended start, from the start of the run.
    pub intended_start: Duration,
    /// Index of the customer.
    pub customer: usize,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Random id of the conversation, or of the request if it is not a turn.
    pub conversation: u64,
    /// Size of the text of each turn up to this one, in bytes.
    pub turn_bytes: Vec<usize>,
}

/// Requests of a run with their start times.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Requests in order of their intended start.
    pub arrivals: Vec<Arrival>,
}

impl Schedule {
    /// Generates a schedule of `length` at `rate` times the profile's rates.
    ///
    /// A `surge` above 1 multiplies the rates of customer 0 in the second half.
    #[must_use]
    pub fn generate(profile: &Profile, seed: u64, length: Duration, rate: f64, surge: f64) -> Self {
        let mut schedule = Self {
            arrivals: Vec::new(),
        };
        let mut rng = Rng::with_seed(seed);
        for customer in 0..CUSTOMER_COUNT {
            for kind in RequestKind::ALL {
                let per_second = match kind {
                    RequestKind::Turn => profile.conversations,
                    RequestKind::Question => profile.questions,
                    RequestKind::Booking => profile.bookings,
                    RequestKind::Check => profile.checks,
                };
                let per_second = per_second * rate * Profile::load_share(customer);
                schedule.generate_kind(profile, &mut rng, (customer, kind), (per_second, length));
                if customer == 0 && surge > 1.0 {
                    let extra = per_second * (surge - 1.0);
                    let from = schedule.arrivals.len();
                    schedule.generate_kind(
                        profile,
                        &mut rng,
                        (customer, kind),
                        (extra, length / 2),
                    );
                    for arrival in &mut schedule.arrivals[from..] {
                        arrival.intended_start += length / 2;
                    }
                }
            }
        }
        schedule.arrivals.retain(|a| a.intended_start < length);
        schedule.arrivals.sort_by_key(|a| a.intended_start);
        schedule
    }

    fn generate_kind(
        &mut self,
        profile: &Profile,
        rng: &mut Rng,
        (customer, kind): (usize, RequestKind),
        (per_second, length): (f64, Duration),
    ) {
        let mut at = exponential(rng, 1.0 / per_second);
        while at < length.as_secs_f64() {
            let conversation = rng.u64(..);
            let turns = match kind {
                RequestKind::Turn => rng.u32(1..=profile.turns),
                _ => 1,
            };
            let mut start = at;
            let mut sizes = Vec::new();
            for _ in 0..turns {
                sizes.push(match kind {
                    RequestKind::Turn => rng.usize(profile.turn_bytes.0..=profile.turn_bytes.1),
                    _ => rng.usize(50..400),
                });
                self.arrivals.push(Arrival {
                    intended_start: Duration::from_secs_f64(start),
                    customer,
                    kind,
                    conversation,
                    turn_bytes: sizes.clone(),
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
