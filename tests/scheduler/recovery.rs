//! Targets that end and come back: how soon they are found, and what is predicted meanwhile.

use guavahold::scheduler::{Effect, Signal};

use crate::refusals::TestScheduler;

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
