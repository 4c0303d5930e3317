//! State shared by the tasks of a gateway.

use std::sync::{Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwapOption;

use crate::clock::time_since_boot;
use crate::context_store::StoreDirectory;
use crate::domain_scheduler::SchedulerClient;
use crate::gateway::ResponseConduct;
use crate::gateway::allowed_versions::AllowedVersions;
use crate::gateway::brittle_targets::BrittleTargets;
use crate::gateway::connection_pool::ConnectionPool;
use crate::gateway::drain::Drain;
use crate::gateway::prompt_quarantine::PromptQuarantine;
use crate::gateway::relays::Relays;
use crate::gateway::response_buffers::ResponseBuffers;
use crate::gateway::stream_origins::StreamOrigins;
use crate::gateway::target_limits::TargetLimits;
use crate::gateway::target_paths::TargetPaths;
use crate::gateway::{Dialect, FetchClock, LocalResponse};
use crate::prelude::*;
use crate::residency::RegionMap;
use crate::rollout::RolloutEffect;
use crate::route::{CacheScopes, CallerLimits, RouteTable};
use crate::scheduler::Signal;
use crate::shared_scheduler::{QuarantineNotices, SharedScheduler};
use crate::telemetry::GatewayMetrics;

/// State shared by the request and control tasks of a gateway.
pub(crate) struct Shared {
    /// Encoder and decoder of the wire formats.
    pub dialect: Arc<dyn Dialect>,
    /// The newest known configuration; `None` before the first.
    pub routes: ArcSwapOption<RouteTable>,
    /// Regions of the failure domains.
    pub regions: RegionMap,
    /// Weight versions on which requests may start.
    pub versions: AllowedVersions,
    /// This entry's own admission, placement and retries.
    pub scheduler: Arc<SharedScheduler>,
    /// Submits requests to the scheduler of a failure domain, or to the entry's own one.
    pub scheduler_client: Arc<SchedulerClient>,
    /// Idle connections to targets.
    pub connections: ConnectionPool,
    /// How the targets of each service tell which request a response belongs to.
    pub conduct: ResponseConduct,
    /// Paths by which this entry reaches the targets.
    pub paths: Arc<TargetPaths>,
    /// Peers through which targets are reached that this entry does not reach itself.
    pub relays: Relays,
    /// Memory for the bodies of responses that are being received.
    pub response_buffers: ResponseBuffers,
    /// Quarantine notices about requests suspected of crashing targets.
    pub quarantine_notices: Arc<QuarantineNotices>,
    /// Parts of prompts that end targets.
    pub prompt_quarantine: PromptQuarantine,
    /// Software versions at which streams began.
    pub stream_origins: StreamOrigins,
    /// Limits that targets set on the requests sent to them.
    pub limits: TargetLimits,
    /// Targets that fall over when they have to turn away many requests.
    pub brittle: BrittleTargets,
    /// Contents of the context stores, as last reported.
    pub store_directory: Arc<Mutex<StoreDirectory>>,
    /// Estimate of the targets' clock, for the deadlines of fetches.
    pub fetch_clock: Arc<FetchClock>,
    /// State of the graceful shutdown.
    pub drain: Arc<Drain>,
    /// Metrics.
    pub metrics: Arc<GatewayMetrics>,
    /// Observations about targets, for the control tasks.
    pub target_observations: async_channel::Sender<TargetObservation>,
    /// Effects of the rollout planner, for the control tasks.
    pub rollout: async_channel::Sender<RolloutEffect>,
    /// One in this many successful requests is logged; none when zero.
    pub log_sample: u32,
    /// Time since boot at the start of this process.
    pub origin: Duration,
}

impl Shared {
    /// Time since the start of this process, including suspension of the VM.
    pub(crate) fn now(&self) -> Timestamp {
        time_since_boot().saturating_sub(self.origin)
    }

    /// Locks the contents of the context stores.
    pub(crate) fn store_directory(&self) -> MutexGuard<'_, StoreDirectory> {
        self.store_directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Size limits and timeouts for callers' requests.
    pub(crate) fn limits(&self) -> CallerLimits {
        let routes = self.routes.load();
        routes
            .as_ref()
            .map_or_else(CallerLimits::default, |r| r.limits)
    }

    /// Scopes under which cached context is shared now. Requests that were accepted under an older
    /// configuration use them too, so that they get no context that is kept apart by now.
    pub(crate) fn cache_scopes(&self) -> Arc<CacheScopes> {
        let routes = self.routes.load();
        let scopes = routes.as_ref().map(|r| r.cache_scopes.clone());
        scopes.unwrap_or_default()
    }

    /// The response to a request whose route has no service.
    pub(crate) fn no_target() -> LocalResponse {
        LocalResponse {
            status: 503,
            code: "no-target",
            retry_after: Some(Duration::from_secs(1)),
        }
    }
}

/// What a request observed about a target.
#[derive(Clone, Debug)]
pub(crate) struct TargetObservation {
    /// Target that was observed.
    pub target: Name,
    /// Signal for the scheduler.
    pub signal: Signal,
    /// Weight version that the target reported; zero when it refused the requested version without
    /// reporting its own.
    pub weights: Option<u64>,
    /// Whether the target itself said that it is leaving.
    pub said_leaving: bool,
}
