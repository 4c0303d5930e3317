//! The tasks of a gateway's control thread.

use async_executor::Executor;

use crate::gateway::control::{Control, TargetObservationReceiver};
use crate::gateway::kind_watcher::KindWatcher;
use crate::platform::Platform;
use crate::prelude::*;
use crate::rollout::RolloutEffect;
use crate::scheduler::Effect;

/// Watches the objects of all kinds in the platform's store.
pub(super) fn spawn_watchers(
    control: &Arc<Control>,
    platform: &Arc<dyn Platform>,
    ex: &Arc<Executor<'static>>,
) {
    for watched in control.watched_kinds() {
        let watcher = KindWatcher {
            watched,
            platform: platform.clone(),
            control: control.clone(),
        };
        ex.spawn(watcher.run()).detach();
    }
}

/// Runs what the control decides from time to time or on events.
pub(super) fn spawn_control(
    control: &Arc<Control>,
    ex: &Arc<Executor<'static>>,
    effects: async_channel::Receiver<Effect>,
    observations: TargetObservationReceiver,
    rollout: async_channel::Receiver<RolloutEffect>,
) {
    ex.spawn(control.clone().run_effects(effects)).detach();
    ex.spawn(control.clone().run_observations(observations))
        .detach();
    ex.spawn(control.clone().run_orders(rollout)).detach();
    ex.spawn(control.clone().run_lease()).detach();
    ex.spawn(control.clone().run_periodic()).detach();
    ex.spawn(control.clone().run_path_checks()).detach();
    ex.spawn(control.clone().run_scheduler()).detach();
    ex.spawn(control.clone().run_domain_scheduler()).detach();
    ex.spawn(control.clone().run_store_cleanup()).detach();
    ex.spawn(control.clone().run_member_cleanup()).detach();
}
