//! State that all traffic threads of an entry share.

use arc_swap::ArcSwap;
use async_executor::Executor;

use crate::caller::{CatalogIndex, TargetView};
use crate::claim::Claims;
use crate::http::Pool;
use crate::prelude::*;
use crate::secret::Secret;
use crate::shared_scheduler::{QuarantineNotices, SharedScheduler};
use crate::telemetry::{EntryMetrics, SpanSink};

/// State and services shared by all requests of an entry.
pub struct Shared {
    /// Failure domain of this entry.
    pub domain: Name,
    /// Index of the catalog in force.
    pub catalog_index: ArcSwap<CatalogIndex>,
    /// Targets with their last load reports.
    pub targets: ArcSwap<TargetView>,
    /// Admission, placement and retries.
    pub scheduler: Arc<SharedScheduler>,
    /// Notices to peers about quarantined requests.
    pub quarantine_notices: Arc<QuarantineNotices>,
    /// Connections to targets.
    pub pool: Arc<Pool>,
    /// Claims of non-idempotent requests.
    pub claims: Arc<dyn Claims>,
    /// Secret that all entries share.
    pub secret: Secret,
    /// Executor of the traffic threads.
    pub executor: Arc<Executor<'static>>,
    /// Metrics of this entry.
    pub metrics: Arc<EntryMetrics>,
    /// Sink for completed trace spans.
    pub spans: Arc<SpanSink>,
}
