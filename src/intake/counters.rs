//! Counters of what was refused and evicted.

/// What was refused and evicted so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IntakeCounters {
    /// Connections that were refused, since all places were in use.
    pub refused_connections: u64,
    /// Requests that were refused for want of memory.
    pub refused_requests: u64,
    /// Connections that were evicted for their place.
    pub evicted_for_place: u64,
    /// Connections that were evicted for their memory.
    pub evicted_for_memory: u64,
}

impl IntakeCounters {
    /// Connections and requests that were refused.
    #[must_use]
    pub fn refusals(&self) -> u64 {
        self.refused_connections + self.refused_requests
    }

    /// Connections that were evicted.
    #[must_use]
    pub fn evictions(&self) -> u64 {
        self.evicted_for_place + self.evicted_for_memory
    }
}
