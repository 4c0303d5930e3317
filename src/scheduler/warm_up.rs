//! How targets that start cold are warmed up.

use std::fmt;

use crate::prelude::*;
use crate::rate_limit::RateShare;

/// How a target is warmed up when it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmUpPlan {
    /// This scheduler's share of the requests that the target takes while it is cold.
    pub share: RateShare,
    /// How long the target is cold after it started.
    pub time: Duration,
}

/// Why a target counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmUpReason {
    /// The target says that it is cold.
    Announced,
    /// Its process has started anew.
    Restarted,
    /// It was registered after the first list.
    Registered,
    /// It was unreachable and is reachable again.
    Recovered,
    /// Its failure domain is in use again.
    DomainReturned,
}

impl fmt::Display for WarmUpReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Announced => "announced",
            Self::Restarted => "restarted",
            Self::Registered => "registered",
            Self::Recovered => "recovered",
            Self::DomainReturned => "domain-returned",
        })
    }
}

/// A target that warms up.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmingTarget {
    /// Name of the target.
    pub target: Name,
    /// Why it counts as cold.
    pub reason: WarmUpReason,
    /// How much longer it does.
    pub time_left: Duration,
    /// Requests per second of this scheduler's share.
    pub per_second: f64,
}
