//! Faults of links, hubs and targets, and decisions that belong to requests of an earlier process.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use fastrand::Rng;
use guavahold::domain_scheduler::{Decision, Grant, SchedulerReply};
use guavahold::http::RunState;
use guavahold::prelude::Name;
use guavahold::scheduler::{Event, Refusal, Signal, SuspectRequest};

use crate::links::hub_name;
use crate::simulation::{key, ms};
use crate::world::{HUBS, TARGETS_PER_HUB, World, domain, listing};

/// Longest time between two faults, in milliseconds.
const MAX_PAUSE_MS: u64 = 20;
/// Requests that a decision of an earlier process may meet: the latest ones.
const STRAY_RANGE: u64 = 60;

/// Causes faults, one after the other, until the play ends.
pub async fn run(world: Arc<World>, mut rng: Rng) {
    loop {
        Timer::after(ms(rng.u64(..MAX_PAUSE_MS))).await;
        let hub = rng.usize(..HUBS);
        match rng.u8(..120) {
            0 => break_link(&world, hub, ms(rng.u64(20..500))),
            1 => pause_link(&world, hub, ms(rng.u64(20..1_300))),
            2 => stop_serving(&world, hub, ms(rng.u64(20..300))),
            3 => world.hubs[hub].retain_entries(|_| false),
            4..6 => signal(&world, &mut rng),
            6 => quarantine(&world, &mut rng),
            7 => evacuate(&world, hub, ms(rng.u64(20..200))),
            8..20 => relist(&world),
            20..60 => stray(&world, hub, &mut rng),
            _ => {}
        }
    }
}

fn later(world: &Arc<World>, after: Duration, then: impl FnOnce(&World) + Send + 'static) {
    let task_world = world.clone();
    world.spawn(async move {
        Timer::after(after).await;
        then(&task_world);
    });
}

fn break_link(world: &Arc<World>, hub: usize, time: Duration) {
    let state = &world.links.calls[hub].state;
    state.is_down.store(true, Ordering::Relaxed);
    let live: Vec<bool> = (0..HUBS).map(|n| world.is_live(n)).collect();
    world
        .client
        .retain_hubs(|name| (0..HUBS).any(|n| live[n] && hub_name(n) == name));
    later(world, time, move |world| {
        let state = &world.links.calls[hub].state;
        state.is_down.store(false, Ordering::Relaxed);
    });
}

fn pause_link(world: &Arc<World>, hub: usize, time: Duration) {
    let state = &world.links.calls[hub].state;
    state.is_paused.store(true, Ordering::Relaxed);
    later(world, time, move |world| {
        let state = &world.links.calls[hub].state;
        state.is_paused.store(false, Ordering::Relaxed);
    });
}

fn stop_serving(world: &Arc<World>, hub: usize, time: Duration) {
    world.hubs[hub].set_serving(false);
    later(world, time, move |world| {
        world.hubs[hub].set_serving(true);
    });
}

fn random_target(rng: &mut Rng) -> Name {
    let (d, n) = (rng.usize(..HUBS), rng.usize(..TARGETS_PER_HUB));
    format!("t-{d}-{n}").into()
}

fn signal(world: &Arc<World>, rng: &mut Rng) {
    let target = random_target(rng);
    let signal = match rng.u8(..6) {
        0 => Signal::Leaving,
        1 => Signal::Unreachable,
        2 => Signal::OutOfReach,
        3 => Signal::Pause(ms(rng.u64(..700))),
        4 => Signal::ReportedUnreachable,
        _ => Signal::MayHaveRestarted,
    };
    world.submit(&Event::Signal {
        target: target.clone(),
        signal,
    });
    later(world, ms(rng.u64(50..400)), move |world| {
        let signal = Signal::Reachable;
        world.submit(&Event::Signal { target, signal });
    });
}

fn quarantine(world: &World, rng: &mut Rng) {
    let latest = world.arrived.load(Ordering::Relaxed);
    let fingerprint = key(latest.saturating_sub(rng.u64(..STRAY_RANGE)));
    world.submit(&Event::Quarantine(SuspectRequest::new(
        fingerprint,
        vec![random_target(rng)],
        ms(rng.u64(..2) * 800),
    )));
}

fn evacuate(world: &Arc<World>, hub: usize, time: Duration) {
    world.submit(&Event::Evacuations([domain(hub)].into_iter().collect()));
    later(world, time, |world| {
        world.submit(&Event::Evacuations(std::collections::BTreeSet::new()));
    });
}

/// Lists all targets anew, so that those that left come back.
fn relist(world: &World) {
    for event in listing(&[0, 1]) {
        world.own.submit(event);
    }
    for (n, hub) in world.hubs.iter().enumerate() {
        for event in listing(&[n]) {
            hub.scheduler.submit(event);
        }
    }
    world.name_hubs();
}

/// Delivers a decision about a request of an earlier process of the entry that had the number of one of
/// the latest requests, or of one that was dispatched a short time ago.
fn stray(world: &World, hub: usize, rng: &mut Rng) {
    let latest = world.arrived.load(Ordering::Relaxed);
    let any = latest.saturating_sub(rng.u64(..STRAY_RANGE));
    let dispatched = world.dispatched(rng).filter(|_| rng.u8(..3) > 0);
    let id = dispatched.unwrap_or(any);
    let retry_after = ms(500);
    let decision = match rng.u8(..60) {
        0..8 => Decision::Queued,
        8..24 => Decision::Dispatch(Box::new(grant(hub, rng))),
        24..32 => Decision::Cancel(rng.u32(1..3)),
        32 => Decision::Declined,
        33..50 => Decision::Refuse(Refusal::NoTarget { retry_after }),
        50..53 => Decision::Refuse(Refusal::Overloaded { retry_after }),
        53..56 => Decision::Refuse(Refusal::Evacuated { retry_after }),
        _ => Decision::Refuse(Refusal::Failed {
            run: RunState::NotRun,
            retry_after,
        }),
    };
    // The one that does not have the request is ignored.
    for hub in 0..HUBS {
        let decision = decision.clone();
        world.reply(hub, SchedulerReply { id, decision });
    }
}

fn grant(hub: usize, rng: &mut Rng) -> Grant {
    Grant {
        attempt: rng.u32(1..3),
        target: format!("t-{hub}-0").into(),
        address: "127.0.0.1:1".parse().unwrap(),
        weights: "v1".into(),
        neighbour: None,
        within_limit: false,
        within_warm_up: false,
        software: Name::default(),
        load: (0, 0),
    }
}
