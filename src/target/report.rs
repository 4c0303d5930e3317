//! Load reports of targets.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Load of an engine or service; it may be out of date when it arrives.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Number of running requests of all entries.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Prompt tokens queued for prefill.
    pub queued_tokens: u64,
    /// Age of the figures when the report was made, in milliseconds; above zero when they come from
    /// other entries.
    pub age_ms: u64,
    /// Context held by requests of other entries, in tokens.
    pub context_tokens: u32,
    /// Maximum context that the target can hold, in tokens; zero when unknown.
    pub context_limit: u32,
    /// Maximum number of concurrently running requests; zero when unknown.
    pub slots: u32,
    /// Prefill speed, in tokens per second; zero when unknown.
    pub prefill_rate: u32,
    /// Weight versions ready to run.
    pub weights: Vec<Name>,
    /// Weight version being loaded, if any.
    pub loading: Option<Name>,
    /// Whether the target is about to be removed.
    pub leaving: bool,
    /// Schedulers that choose the target and learn late of each other's requests, of which
    /// `running` and `age_ms` tell; zero for a target that is chosen by the report as it is.
    #[serde(skip)]
    pub choosers: u32,
    /// Highest fencing token accepted.
    pub fencing: u64,
}
