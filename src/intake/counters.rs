//! Counters of what was refused and evicted.

/// What was refused and evicted at one limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitCounters {
    /// Connections or requests that were refused.
    pub refused: u64,
    /// Connections that were evicted.
    pub evicted: u64,
}

impl LimitCounters {
    /// What was added since `earlier`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            refused: self.refused - earlier.refused,
            evicted: self.evicted - earlier.evicted,
        }
    }
}

/// What was refused and evicted so far, by limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IntakeCounters {
    /// For want of places for connections.
    pub connections: LimitCounters,
    /// For want of memory for requests.
    pub memory: LimitCounters,
}

impl IntakeCounters {
    /// The counters with the names of their limits.
    #[must_use]
    pub fn by_limit(self) -> [(&'static str, LimitCounters); 2] {
        [("connections", self.connections), ("memory", self.memory)]
    }

    /// Connections and requests that were refused.
    #[must_use]
    pub fn refusals(self) -> u64 {
        self.connections.refused + self.memory.refused
    }

    /// Connections that were evicted.
    #[must_use]
    pub fn evictions(self) -> u64 {
        self.connections.evicted + self.memory.evicted
    }
}
