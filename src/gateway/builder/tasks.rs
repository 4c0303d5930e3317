//! The tasks of a gateway's control thread.

use crate::gateway::WatchedKind;
use crate::gateway::control::{Control, TargetObservationReceiver};
use crate::gateway::kind_watcher::KindWatcher;
use crate::gateway::prompt_quarantine::PartNoticeReceiver;
use crate::gateway::registration::keep_registered;
use crate::gateway::stream_origins::OriginCallReceiver;
use crate::prelude::*;
use crate::rollout::RolloutEffect;
use crate::scheduler::Effect;
use crate::supervisor::SupervisedTask;
use crate::telemetry::{ProcessLimits, UsageReporter};

/// What the control's tasks receive from other tasks.
pub(super) struct ControlReceivers {
    /// Effects of both schedulers that belong to no single request.
    pub effects: async_channel::Receiver<Effect>,
    /// Decisions of the domain's scheduler.
    pub decisions: async_channel::Receiver<Effect>,
    /// Requests' observations about targets.
    pub observations: TargetObservationReceiver,
    /// Effects of the rollout planner.
    pub rollout: async_channel::Receiver<RolloutEffect>,
    /// Origins of streams to announce or to ask for.
    pub origins: OriginCallReceiver,
    /// Parts of prompts that end targets.
    pub part_notices: PartNoticeReceiver,
}

/// Keeps a task of the control running.
fn keep<F>(
    control: &Arc<Control>,
    task: SupervisedTask,
    run: impl Fn(Arc<Control>) -> F + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let this = control.clone();
    control.supervisor.keep(task, move || run(this.clone()));
}

/// Watches the objects of all kinds in the platform's store, and registers this entry there.
pub(super) fn spawn_store_tasks(control: &Arc<Control>) {
    for watched in control.watched_kinds() {
        let task = SupervisedTask::retried(watch_name(watched));
        keep(control, task, move |control| {
            let platform = control.platform.clone();
            let watcher = KindWatcher {
                watched,
                platform,
                control,
            };
            watcher.run()
        });
    }
    keep(
        control,
        SupervisedTask::retried("registration"),
        |control| {
            let platform = control.platform.clone();
            let kind = control.decoder.kind(WatchedKind::Members);
            let own = control.own_vm.clone();
            keep_registered(platform, kind, own, move || control.is_unlisted())
        },
    );
}

fn watch_name(watched: WatchedKind) -> &'static str {
    match watched {
        WatchedKind::Routes => "watch_routes",
        WatchedKind::Targets => "watch_targets",
        WatchedKind::Weights => "watch_weights",
        WatchedKind::Members => "watch_members",
        WatchedKind::Evacuations => "watch_evacuations",
    }
}

/// Runs what the control decides from time to time.
pub(super) fn spawn_periodic(control: &Arc<Control>) {
    let retried = SupervisedTask::retried;
    keep(control, retried("status"), Control::run_periodic);
    keep(control, retried("scheduler"), Control::run_scheduler);
    keep(
        control,
        retried("domain_scheduler"),
        Control::run_domain_scheduler,
    );
    keep(control, retried("path_checks"), Control::run_path_checks);
    keep(control, retried("lease"), Control::run_lease);
    keep(
        control,
        retried("store_cleanup"),
        Control::run_store_cleanup,
    );
    keep(
        control,
        retried("member_cleanup"),
        Control::run_member_cleanup,
    );
}

/// Runs what the control does on events. A panic costs the event that caused it.
pub(super) fn spawn_receivers(control: &Arc<Control>, receivers: ControlReceivers) {
    let ControlReceivers {
        effects,
        decisions,
        observations,
        rollout,
        origins,
        part_notices,
    } = receivers;
    let retried = SupervisedTask::retried;
    keep(control, retried("effects"), move |c| {
        c.run_effects(effects.clone())
    });
    keep(control, retried("decisions"), move |c| {
        c.run_decisions(decisions.clone())
    });
    keep(control, retried("observations"), move |c| {
        c.run_observations(observations.clone())
    });
    keep(control, retried("orders"), move |c| {
        c.run_orders(rollout.clone())
    });
    keep(control, retried("stream_origins"), move |c| {
        c.run_stream_origins(origins.clone())
    });
    keep(control, retried("part_notices"), move |c| {
        c.run_part_notices(part_notices.clone())
    });
}

/// Reports what the process uses of its limits.
pub(super) fn spawn_usage_reports(control: &Arc<Control>, limits: ProcessLimits) {
    keep(control, SupervisedTask::retried("usage"), move |control| {
        let metrics = control.shared.metrics.clone();
        UsageReporter::new(limits).run(move |usage| metrics.record_usage(usage))
    });
}
