//! The system's limit of descriptors for this process.

use std::io;

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// Least number of descriptors with which a process starts: about two dozen are in use before the
/// first caller, and each request takes up to two.
pub const MIN_DESCRIPTORS: u64 = 32;

/// Raises the soft limit of descriptors to `wanted`, or to the hard limit if that is lower, and
/// returns the limit in force. A soft limit that is higher stays.
///
/// # Errors
/// When the limit in force is below [`MIN_DESCRIPTORS`].
pub fn raise_descriptor_limit(wanted: u64) -> io::Result<u64> {
    let limit = getrlimit(Resource::Nofile);
    let hard = limit.maximum.unwrap_or(u64::MAX);
    let mut current = limit.current.unwrap_or(u64::MAX);
    let raised = wanted.min(hard);
    if current < raised {
        let limit = Rlimit {
            current: Some(raised),
            ..limit
        };
        match setrlimit(Resource::Nofile, limit) {
            Ok(()) => current = raised,
            Err(err) => log::warn!("event=descriptor_limit_kept limit={current} error={err:?}"),
        }
    }
    if current >= MIN_DESCRIPTORS {
        return Ok(current);
    }
    let reason = format!("descriptor limit {current} is below {MIN_DESCRIPTORS}");
    Err(io::Error::other(reason))
}
