//! CPU time and memory of a process, from proc(5).

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Clock ticks per second of `/proc` (`USER_HZ`, fixed at 100 on Linux).
const TICKS_PER_SECOND: u64 = 100;
/// Index of `utime` among the fields after the program name in `/proc/{pid}/stat`.
const UTIME_FIELD: usize = 11;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProcessUsage {
    /// CPU time in user and system mode.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub resident: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process; zero if it has ended.
    #[must_use]
    pub fn of(pid: u32) -> Self {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        Self {
            cpu: parse_cpu(&stat).unwrap_or_default(),
            resident: parse_resident(&status).unwrap_or_default(),
        }
    }
}

fn parse_cpu(stat: &str) -> Option<Duration> {
    let (_, rest) = stat.rsplit_once(") ")?;
    let mut fields = rest.split(' ').skip(UTIME_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_millis(
        (user + system) * 1000 / TICKS_PER_SECOND,
    ))
}

fn parse_resident(status: &str) -> Option<u64> {
    let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1024)
}
