//! The parts of which a gateway is built.

use std::sync::{Mutex, OnceLock};

use arc_swap::ArcSwapOption;

use crate::clock::time_since_boot;
use crate::domain_scheduler::{DomainScheduler, SchedulerClient};
use crate::gateway::Dialect;
use crate::gateway::ResponseConduct;
use crate::gateway::allowed_versions::AllowedVersions;
use crate::gateway::brittle_targets::BrittleTargets;
use crate::gateway::builder::{Clients, GatewayBuilder, SharedChannels};
use crate::gateway::connection_pool::ConnectionPool;
use crate::gateway::control::{Control, State};
use crate::gateway::drain::Drain;
use crate::gateway::prompt_quarantine::PromptQuarantine;
use crate::gateway::relays::Relays;
use crate::gateway::response_buffers::ResponseBuffers;
use crate::gateway::shared::Shared;
use crate::gateway::stream_origins::StreamOrigins;
use crate::gateway::target_limits::TargetLimits;
use crate::lease::{LeaseClient, LeaseSettings};
use crate::prelude::*;
use crate::scheduler::{Effect, Event, Placement, RetryBurst, Scheduler, SchedulerSettings};
use crate::shared_intake::SharedIntake;
use crate::shared_scheduler::{QuarantineNotices, SharedScheduler};
use crate::store_view::batch_pause;
use crate::supervisor::Supervisor;
use crate::telemetry::{GatewayMetrics, LineBudget};

/// Share of the saved-up retries that the schedulers of the failure domains use. Entries that
/// schedule requests themselves use the others; together they stay within the budget.
const HUB_BURST_SHARE: f64 = 0.4;
/// Duration of the lease to issue weight orders, from each write.
const LEASE_DURATION: Duration = Duration::from_millis(1_500);
/// Additional time after the lease's expiry before another entry takes it over.
const LEASE_TAKEOVER_MARGIN: Duration = Duration::from_millis(400);
/// Heartbeats of a target after which its registration has surely expired: the platform removes it
/// after three, and the fourth allows for lag.
const LIFETIME_HEARTBEATS: u32 = 4;

impl GatewayBuilder {
    pub(super) fn build_shared(
        &self,
        dialect: Arc<dyn Dialect>,
        channels: SharedChannels,
    ) -> Shared {
        let notices = Arc::new(QuarantineNotices::default());
        let mut scheduler = Scheduler::new(self.scheduler_settings(1.0));
        let entry_count = Event::EntryCount(self.entries);
        scheduler.on(Timestamp::ZERO, entry_count, &mut Vec::new());
        let scheduler = SharedScheduler::new(scheduler, channels.effects, notices.clone());
        let scheduler = Arc::new(scheduler);
        Shared {
            dialect,
            routes: ArcSwapOption::empty(),
            regions: self.regions.clone(),
            versions: AllowedVersions::default(),
            scheduler_client: Arc::new(SchedulerClient::new(scheduler.clone())),
            scheduler,
            connections: ConnectionPool::default(),
            conduct: ResponseConduct::default(),
            paths: Arc::default(),
            relays: Relays::new(self.domain.clone()),
            quarantine_notices: notices,
            prompt_quarantine: PromptQuarantine::new(self.name.clone(), channels.part_notices),
            response_buffers: ResponseBuffers::default(),
            limits: TargetLimits::default(),
            brittle: BrittleTargets::default(),
            stream_origins: StreamOrigins::new(channels.origins),
            store_directory: Arc::default(),
            fetch_clock: Arc::default(),
            intake: SharedIntake::new(self.intake),
            drain: Arc::new(Drain::default()),
            metrics: Arc::new(GatewayMetrics::new()),
            target_observations: channels.observations,
            rollout: channels.rollout,
            log_sample: self.log_sample,
            unsent_refusal_lines: LineBudget::half_of(self.log_lines),
            origin: time_since_boot(),
        }
    }

    /// Settings of a scheduler that uses a share of the retries that all entries save up.
    pub(super) fn scheduler_settings(&self, burst_share: f64) -> SchedulerSettings {
        SchedulerSettings {
            seed: fastrand::u64(..),
            retry_ratio: self.retry_ratio,
            retry_burst: RetryBurst::Total(self.retry_burst * burst_share),
            hedging: false,
            probe_after_refusal: false,
            placement: Placement::LeastWork,
            ..SchedulerSettings::new(self.domain.clone())
        }
    }

    /// Builds the scheduler that this entry runs for all entries while it is a hub.
    pub(super) fn build_domain_scheduler(
        &self,
        shared: &Shared,
        effects: async_channel::Sender<Effect>,
        decisions: async_channel::Sender<Effect>,
    ) -> DomainScheduler {
        let scheduler = Scheduler::new(SchedulerSettings {
            placement: Placement::LeastWorkOfAll,
            ..self.scheduler_settings(HUB_BURST_SHARE)
        });
        let notices = shared.quarantine_notices.clone();
        let scheduler = SharedScheduler::new(scheduler, effects, notices);
        DomainScheduler::new(Arc::new(scheduler), decisions)
    }

    pub(super) fn build_control(
        &self,
        shared: &Arc<Shared>,
        clients: Clients,
        domain_scheduler: DomainScheduler,
        supervisor: Supervisor,
    ) -> Control {
        let cfg = LeaseSettings {
            holder: format!("{}.{:x}", self.name, fastrand::u64(..)).into(),
            duration: LEASE_DURATION,
            takeover_margin: LEASE_TAKEOVER_MARGIN,
        };
        Control {
            name: self.name.clone(),
            domain: self.domain.clone(),
            own_vm: self.own_vm(),
            shared: shared.clone(),
            domain_scheduler,
            lease: LeaseClient::new(clients.platform.clone(), "orders".into(), cfg),
            platform: clients.platform,
            decoder: clients.decoder,
            targets: clients.targets,
            stores: clients.stores,
            recovery_deadline: self.recovery_deadline,
            evacuation_deadline: self.evacuation_deadline,
            batch_pause: batch_pause(self.change_deadline),
            target_heartbeat: self.target_heartbeat,
            registration_lifetime: self.target_heartbeat * LIFETIME_HEARTBEATS,
            mesh: OnceLock::default(),
            supervisor,
            cold_bound: self.cold_bound,
            estimated_entries: self.entries,
            state: Mutex::new(State::new(
                &self.name,
                self.rollout.clone(),
                self.version_deadline,
            )),
        }
    }
}
