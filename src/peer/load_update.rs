//! Updates of targets' loads that entries exchange.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::target::LoadReport;

/// Load of one target as its prober sends it to peers; the keys are short because it is sent often.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// Name of the target.
    #[serde(rename = "t")]
    pub target: Name,
    /// Requests running.
    #[serde(rename = "r")]
    pub running: u32,
    /// Requests waiting.
    #[serde(rename = "q")]
    pub queued: u32,
    /// Prompt tokens waiting for prefill.
    #[serde(rename = "k")]
    pub queued_tokens: u64,
    /// The full report, if more than the load has changed since the last update.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub full_report: Option<LoadReport>,
}

impl LoadUpdate {
    /// Applies this update to the last known report and returns the new one.
    #[must_use]
    pub fn apply_to(self, last: &LoadReport) -> LoadReport {
        self.full_report.unwrap_or_else(|| LoadReport {
            running: self.running,
            queued: self.queued,
            queued_tokens: self.queued_tokens,
            ..last.clone()
        })
    }
}
