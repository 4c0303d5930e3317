//! The systems that are compared and their load.

use std::time::Duration;

use guavahold::scheduler::Placement;

/// Longest time to a first token that is in time, in milliseconds.
pub const FIRST_TOKEN_LIMIT_MS: u64 = 400;

/// A system and its load.
#[derive(Clone, Copy)]
pub struct System {
    /// Schedulers, among which requests are divided.
    pub schedulers: usize,
    /// Failure domains, each with a scheduler for its targets alone; zero if every scheduler uses all
    /// targets.
    pub domains: usize,
    pub targets: usize,
    pub placement: Placement,
    /// Interval at which schedulers learn of the others' load, in milliseconds.
    pub load_interval_ms: u64,
    /// Slots and context tokens of a target, as far as schedulers may use them.
    pub slots: u32,
    pub context_limit: u32,
    /// Requests per second.
    pub rate: f64,
    /// Latency objective.
    pub objective: Duration,
    /// Duration of the load, in seconds.
    pub load_s: u64,
}

impl System {
    /// Eight entries before six targets.
    pub fn small(placement: Placement) -> Self {
        Self {
            schedulers: 8,
            domains: 0,
            targets: 6,
            placement,
            load_interval_ms: 60,
            slots: 64,
            context_limit: 99_000,
            rate: 80.0,
            objective: Duration::ZERO,
            load_s: 40,
        }
    }

    /// 58 entries before 30 targets that are offered more than they can serve. Each entry schedules
    /// its own requests, and may use more than a target has, since it learns of ends late.
    pub fn large_with_own_schedulers() -> Self {
        Self {
            schedulers: 58,
            targets: 30,
            load_interval_ms: 300,
            slots: 24,
            context_limit: 150_000,
            rate: 800.0,
            objective: ms(FIRST_TOKEN_LIMIT_MS),
            load_s: 8,
            ..Self::small(Placement::LeastWork)
        }
    }

    /// The same with a scheduler for each of three failure domains.
    pub fn large_with_domain_schedulers() -> Self {
        Self {
            schedulers: 3,
            domains: 3,
            placement: Placement::LeastWorkOfAll,
            slots: 16,
            context_limit: 99_000,
            ..Self::large_with_own_schedulers()
        }
    }
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}
