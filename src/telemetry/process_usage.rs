//! What this process uses of its memory and descriptors.

use rustix::process::{Resource, getrlimit};

use crate::clock::coarse_sleep;
use crate::prelude::*;
use crate::telemetry::PROCESS_LOG;

/// Interval at which the usage is read.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Number of readings between two log lines of a usage that does not rise.
const READINGS_PER_LINE: u32 = 10;
/// Parts of a limit; a line is logged when the used ones become more.
const PARTS_OF_LIMIT: u64 = 16;
/// Parts of a limit up to which a rise alone is not logged.
const QUIET_PARTS: u64 = 8;
/// Bytes of a unit of `/proc/self/status`.
const STATUS_UNIT_BYTES: u64 = 1024;

/// What a process uses; `None` where it cannot be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Resident memory, in bytes.
    pub memory_bytes: Option<u64>,
    /// Highest resident memory so far, in bytes.
    pub peak_bytes: Option<u64>,
    /// Number of threads.
    pub threads: Option<u64>,
    /// Number of open descriptors.
    pub descriptors: Option<u64>,
}

impl ProcessUsage {
    /// Reads the usage of this process.
    #[must_use]
    pub fn read() -> Self {
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        let descriptors = std::fs::read_dir("/proc/self/fd").ok();
        Self {
            // The descriptor of the directory itself is among them.
            descriptors: descriptors.map(|fds| (fds.count() as u64).saturating_sub(1)),
            ..Self::parse(&status)
        }
    }

    /// Parses `/proc/self/status`, which tells everything but the descriptors.
    #[must_use]
    pub fn parse(status: &str) -> Self {
        let number = |key: &str| -> Option<u64> {
            let line = status.lines().find_map(|line| line.strip_prefix(key))?;
            line.split_ascii_whitespace().next()?.parse().ok()
        };
        Self {
            memory_bytes: number("VmRSS:").map(|kb| kb.saturating_mul(STATUS_UNIT_BYTES)),
            peak_bytes: number("VmHWM:").map(|kb| kb.saturating_mul(STATUS_UNIT_BYTES)),
            threads: number("Threads:"),
            descriptors: None,
        }
    }
}

/// Limits of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Number of descriptors.
    pub descriptors: u64,
}

impl ProcessLimits {
    /// Limits of the machine, or those that the system has set for this process where they are lower.
    #[must_use]
    pub fn of_machine(memory_bytes: usize, descriptors: usize) -> Self {
        let lower = |stated: usize, resource| {
            let limit = getrlimit(resource).current.unwrap_or(u64::MAX);
            limit.min(stated as u64)
        };
        Self {
            memory_bytes: lower(memory_bytes, Resource::As),
            descriptors: lower(descriptors, Resource::Nofile),
        }
    }
}

/// Logs the usage of this process beside its limits.
#[derive(Debug)]
pub struct UsageReporter {
    limits: ProcessLimits,
    /// Parts of a limit that the last logged usage had.
    logged_parts: u64,
    /// Readings until the next line.
    readings_left: u32,
}

impl UsageReporter {
    /// Creates a reporter that has logged nothing yet.
    #[must_use]
    pub fn new(limits: ProcessLimits) -> Self {
        Self {
            limits,
            logged_parts: 0,
            readings_left: 0,
        }
    }

    /// Reads the usage at intervals, logs it and passes it to `on_reading`; never returns.
    pub async fn run(mut self, on_reading: impl Fn(ProcessUsage)) {
        loop {
            let usage = ProcessUsage::read();
            on_reading(usage);
            if self.is_line_due(usage) {
                self.log(usage);
            }
            coarse_sleep(READ_INTERVAL).await;
        }
    }

    /// Whether the usage is to be logged: at intervals, and at once when it nears a limit.
    pub fn is_line_due(&mut self, usage: ProcessUsage) -> bool {
        let parts = self.parts_of_limit(usage);
        let rises = parts > self.logged_parts.max(QUIET_PARTS);
        if !rises && self.readings_left > 0 {
            self.readings_left -= 1;
            return false;
        }
        self.readings_left = READINGS_PER_LINE - 1;
        self.logged_parts = parts;
        true
    }

    /// The used parts of the limit that is used most.
    fn parts_of_limit(&self, usage: ProcessUsage) -> u64 {
        let parts = |used: Option<u64>, limit: u64| {
            used.unwrap_or_default().saturating_mul(PARTS_OF_LIMIT) / limit.max(1)
        };
        let memory = parts(usage.memory_bytes, self.limits.memory_bytes);
        memory.max(parts(usage.descriptors, self.limits.descriptors))
    }

    fn log(&self, usage: ProcessUsage) {
        let shown = |value: Option<u64>| value.map_or_else(|| "-".to_owned(), |n| n.to_string());
        let kb = |bytes: Option<u64>| shown(bytes.map(|n| n / STATUS_UNIT_BYTES));
        log::info!(
            target: PROCESS_LOG,
            "event=process_usage memory_kb={} peak_kb={} memory_limit_kb={} descriptors={} \
             descriptor_limit={} threads={}",
            kb(usage.memory_bytes),
            kb(usage.peak_bytes),
            self.limits.memory_bytes / STATUS_UNIT_BYTES,
            shown(usage.descriptors),
            self.limits.descriptors,
            shown(usage.threads),
        );
    }
}
