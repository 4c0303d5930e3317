//! Targets that end and come back: how soon they are found, and what is predicted meanwhile.

use std::collections::BTreeSet;

use guavahold::catalog::PriorityClass;
use guavahold::prelude::*;
use guavahold::scheduler::{Effect, Event, Placement, Refusal, SchedulerSettings, Signal};

use crate::simulation::{RequestRecord, Simulation, arrival, ms, policy};
use crate::test_scheduler::TestScheduler;

/// Ends the target at once and keeps it away for so long, in ms. Each probe fails `failures` times,
/// since other schedulers of the same process probe it too. Returns after how many ms it is
/// probed first once it is back.
fn found_after(away: u64, failures: usize) -> u64 {
    let mut scheduler = TestScheduler::new(2);
    let mut known = 0;
    let fail = |scheduler: &mut TestScheduler| {
        for _ in 0..failures {
            scheduler.signal("engine-0", Signal::Unreachable);
        }
    };
    fail(&mut scheduler);
    for now in (5..).step_by(5) {
        scheduler.wait(5);
        let sent = scheduler.effects.iter();
        let sent = sent.filter(|e| matches!(e, Effect::Probe { .. })).count();
        if sent == known {
            continue;
        }
        known = sent;
        if now >= away {
            return now - away;
        }
        fail(&mut scheduler);
    }
    unreachable!("it is probed until it is back")
}

/// Guards against a target that came back and stays unused for several times as long as it was away,
/// since failed connections that were tried at the same moment each doubled the pause between probes.
#[test]
fn unreachable_target_is_found_within_the_time_it_was_away() {
    for failures in 1..=8 {
        for away in [500, 1_000, 1_900, 4_000, 10_000] {
            let after = found_after(away, failures);
            println!("away {away} ms, {failures} failures at once: found after {after} ms");
            assert!(after <= away, "{failures} failures, away {away}: {after}");
        }
    }
}

/// Mean time of a response after its first token.
const RESPONSE_TIME: Duration = Duration::from_millis(500);
/// Time within which callers want the first token.
const FIRST_TOKEN_MS: u64 = 6_000;

/// The hub of a domain whose targets have `slots` slots each, and requests per second before the
/// domain's evacuation and after its end. Returns those requests of the first two seconds after it
/// that were refused.
fn refused_after_evacuation(slots: u32, rate: f64, seed: u64) -> Vec<Refusal> {
    let settings = SchedulerSettings {
        placement: Placement::LeastWorkOfAll,
        seed,
        ..SchedulerSettings::new("domain-0".into())
    };
    let mut hub = Simulation::new(settings, Simulation::fleet(1, 2, slots));
    hub.decode = RESPONSE_TIME;
    let patient = policy(PriorityClass::Standard, FIRST_TOKEN_MS);
    let ask = |id| arrival(id, "a", &patient);
    hub.add_poisson_arrivals(seed, rate, (ms(0), ms(4_000)), ask);
    hub.run_until(ms(5_000));
    hub.submit(Event::Evacuations([Name::from("domain-0")].into()));
    hub.run_until(ms(11_000));
    hub.submit(Event::Evacuations(BTreeSet::new()));
    hub.add_poisson_arrivals(seed + 1, rate, (ms(11_000), ms(13_000)), ask);
    hub.run_until(ms(22_000));
    let refused = hub.records.values().filter_map(RequestRecord::refusal);
    refused.cloned().collect()
}

/// Guards against requests that are refused as too late for their deadline right after an
/// evacuation: the few slots that are open then were taken for all that there will be.
#[test]
fn returned_targets_refuse_none_that_their_opening_slots_can_serve() {
    for seed in 1..=5 {
        for (slots, rate) in [(16, 20.0), (16, 40.0), (64, 100.0)] {
            let refused = refused_after_evacuation(slots, rate, seed);
            println!("{slots} slots, {rate} a second, seed {seed}: {refused:?}");
            assert!(refused.is_empty(), "{slots} slots, {rate}, seed {seed}");
        }
    }
}
