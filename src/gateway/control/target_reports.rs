//! Load reports for the schedulers.

use std::collections::HashMap;

use crate::gateway::TargetLoad;
use crate::gateway::control::State;
use crate::gateway::versions::version_label;
use crate::name_hash::name_hash;
use crate::prelude::*;
use crate::route::RouteTable;
use crate::scheduler::OwnLoad;
use crate::target::LoadReport;

/// Factor on a target's capacity with more than [`MAX_ENTRIES_WITHOUT_HUBS`] entries. Their load
/// reports arrive late, and a request that waits at a target starts sooner than one that waits for
/// a load report.
const LARGE_SYSTEM_CAPACITY_FACTOR: f64 = 1.5;
/// Mean age of the loads in the sum of all entries when it arrives, in milliseconds: they wait for
/// half an interval at the hub of their failure domain and at that of the receiver.
const AGE_AT_RECEIPT_MS: u64 = 300;

impl State {
    /// Load reports for this entry's own scheduler: each target's slots and weights, the running
    /// requests of all entries, and the work and context of the other entries. `own` is the load by
    /// requests that this entry scheduled itself, `granted` that by requests that it scheduled as a
    /// hub.
    pub(crate) fn load_reports(
        &self,
        now: Timestamp,
        table: Option<&RouteTable>,
        own: &HashMap<Name, OwnLoad>,
        granted: &HashMap<Name, OwnLoad>,
    ) -> Vec<TargetReport> {
        let sums = self.loads.sums();
        let age = self.loads.max_age(now).as_millis();
        let age_ms = u64::try_from(age).unwrap_or(u64::MAX);
        let large = self.uses_hubs();
        let late_age_ms = if self.loads.is_empty() {
            u64::MAX
        } else {
            age_ms.saturating_add(AGE_AT_RECEIPT_MS)
        };
        let choosers = u32::try_from(self.entry_count()).unwrap_or(u32::MAX);
        let capacity_factor = if large {
            LARGE_SYSTEM_CAPACITY_FACTOR
        } else {
            1.0
        };
        let targets = self.targets.iter();
        targets
            .map(|t| {
                let name = t.info.name.clone();
                let others = sums.get(&name_hash(&name)).copied().unwrap_or_default();
                let granted = granted.get(&name).copied().unwrap_or_default();
                let own = own.get(&name).copied().unwrap_or_default();
                let service = table.and_then(|table| table.service(&t.info.serves));
                let is_cordoned = self.is_cordoned(t);
                let weights = t.weights.iter();
                let weights =
                    weights.map(|(m, v)| version_label(m, self.effective_version(now, t, *v)));
                // Requests to plain services are so short that many end before a load report about
                // them arrives, so the scheduler weighs the report by its age.
                let known_late = large && t.weights.is_empty();
                let limit = service.map_or(0, |s| s.context_tokens);
                let report = LoadReport {
                    running: own.requests + granted.requests + others.requests,
                    queued_tokens: u64::from(others.work_tokens() + granted.work),
                    age_ms: if known_late { late_age_ms } else { age_ms },
                    context_tokens: others.context_tokens() + granted.context,
                    context_limit: scaled(limit, capacity_factor),
                    slots: if known_late {
                        t.slots
                    } else {
                        scaled(t.slots, capacity_factor)
                    },
                    choosers: if known_late { choosers } else { 0 },
                    weights: weights.filter(|_| !is_cordoned).collect(),
                    ..LoadReport::default()
                };
                TargetReport {
                    target: name,
                    report,
                    others,
                    own,
                }
            })
            .collect()
    }
}

/// Load of a target, as reported to this entry's own scheduler.
pub(crate) struct TargetReport {
    /// Name of the target.
    pub target: Name,
    /// The report.
    pub report: LoadReport,
    /// Load by the other entries.
    pub others: TargetLoad,
    /// Load by requests that this entry scheduled itself.
    pub own: OwnLoad,
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scaled(capacity: u32, factor: f64) -> u32 {
    (f64::from(capacity) * factor).round() as u32
}
