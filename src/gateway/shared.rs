//! What all tasks of a gateway share.

use std::sync::{Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwapOption;

use crate::clock::time_since_boot;
use crate::context_store::StoreDirectory;
use crate::gateway::connections::Connections;
use crate::gateway::drain::Drain;
use crate::gateway::versions::VersionView;
use crate::gateway::{Dialect, FetchClock, OwnAnswer};
use crate::prelude::*;
use crate::rollout::RolloutEffect;
use crate::route::{CallerLimits, RouteTable};
use crate::scheduler::Signal;
use crate::shared_scheduler::{QuarantineNotices, SharedScheduler};
use crate::telemetry::GatewayMetrics;

/// State shared by all requests of a gateway.
pub(crate) struct Shared {
    /// The wire formats.
    pub dialect: Arc<dyn Dialect>,
    /// The newest configuration known; `None` before the first.
    pub routes: ArcSwapOption<RouteTable>,
    /// Weight versions of models, as named and as found at targets.
    pub versions: VersionView,
    /// Admission, placement and retries.
    pub scheduler: Arc<SharedScheduler>,
    /// Idle connections to targets.
    pub connections: Connections,
    /// Words about requests that take down targets.
    pub quarantine_notices: Arc<QuarantineNotices>,
    /// What stores of context keep.
    pub kept: Arc<Mutex<StoreDirectory>>,
    /// Clock of fetches' deadlines.
    pub fetch_clock: Arc<FetchClock>,
    /// State of the shutdown.
    pub drain: Arc<Drain>,
    /// Metrics.
    pub metrics: Arc<GatewayMetrics>,
    /// Words about targets for the control task.
    pub signals: async_channel::Sender<TargetWord>,
    /// What the rollout asks for.
    pub rollout: async_channel::Sender<RolloutEffect>,
    /// One in this many requests that went well is logged; none when zero.
    pub log_sample: u32,
    /// Boot time at the start of this process.
    pub origin: Duration,
}

impl Shared {
    /// Time since the start of this process, suspension of the VM included.
    pub(crate) fn now(&self) -> Timestamp {
        time_since_boot().saturating_sub(self.origin)
    }

    /// What stores of context keep.
    pub(crate) fn kept(&self) -> MutexGuard<'_, StoreDirectory> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What callers may send.
    pub(crate) fn limits(&self) -> CallerLimits {
        let routes = self.routes.load();
        routes
            .as_ref()
            .map_or_else(CallerLimits::default, |r| r.limits)
    }

    /// The answer to a request whose route has no service.
    pub(crate) fn no_target() -> OwnAnswer {
        OwnAnswer {
            status: 503,
            code: "no-target",
            retry_after: Some(Duration::from_secs(1)),
        }
    }
}

/// What a request noticed about a target.
#[derive(Clone, Debug)]
pub(crate) struct TargetWord {
    /// Name of the target.
    pub target: Name,
    /// What was noticed.
    pub signal: Signal,
    /// Weight version that it said it runs.
    pub weights: Option<u64>,
}
