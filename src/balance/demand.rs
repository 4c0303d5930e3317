//! Load that all choosers together put on the targets.

use crate::prelude::*;

/// Upper bound on the number of service times in a period. It keeps the result finite for a target
/// without an observation, whose period is unbounded.
const MAX_SERVICE_TIMES: f64 = 100.0;

/// Load that all choosers together put on the targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Number of choosers, this one included.
    pub choosers: u32,
    /// Requests per second that all choosers together send.
    pub per_second: f64,
    /// Mean time for which a request occupies a target of speed one.
    pub service_time: Duration,
}

impl Demand {
    /// Makes the demand at which `in_flight` requests of all choosers run (Little's law).
    #[must_use]
    pub fn from_in_flight(choosers: u32, in_flight: f64, service_time: Duration) -> Self {
        let seconds = service_time.as_secs_f64().max(f64::EPSILON);
        Self {
            choosers,
            per_second: in_flight / seconds,
            service_time,
        }
    }

    /// Requests of the other choosers that run at a time.
    pub(super) fn others_in_flight(&self) -> f64 {
        let choosers = f64::from(self.choosers.max(1));
        let others = (choosers - 1.0) / choosers;
        self.per_second.max(0.0) * others * self.service_time.as_secs_f64()
    }

    /// Requests to send to a target of this speed during `time` so that one of them is running at its
    /// end, at a constant arrival rate and exponential service times.
    pub(super) fn turnover(&self, time: Duration, speed: f64) -> f64 {
        let services = time.as_secs_f64() * speed / self.service_time.as_secs_f64();
        let services = services.clamp(f64::EPSILON, MAX_SERVICE_TIMES);
        services / -(-services).exp_m1()
    }

    /// Share of the requests seen `age` ago at a target that still run there.
    pub(super) fn still_running(&self, age: Duration, speed: f64) -> f64 {
        let service = self.service_time.as_secs_f64() / speed.max(f64::EPSILON);
        (-age.as_secs_f64() / service.max(f64::EPSILON)).exp()
    }
}
