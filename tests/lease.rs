//! Leases: random schedules of candidates with pauses, late and lost writes and clock drift.

#[path = "lease/simulation.rs"]
mod simulation;
#[path = "support/all.rs"]
mod support;

use futures_lite::future::block_on;
use guavahold::lease::{LeaseClient, LeaseEvent, LeaseRecord, LeaseSettings};
use guavahold::platform::{Object, Platform, StoreRevision};
use guavahold::prelude::*;
use simulation::{LEASE_DURATION, Simulation, settings};
use support::{Fault, MemoryPlatform};

/// Runs a random schedule and returns the greatest fencing token seen, which counts acquisitions.
fn run_random_schedule(seed: u64, steps: u32) -> u64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut sim = Simulation::new();
    for _ in 0..steps {
        match rng.u8(..10) {
            9 if rng.u8(..20) == 0 => sim.now += LEASE_DURATION,
            choice => sim.step(&mut rng, choice),
        }
        sim.check();
    }
    sim.greatest_fencing
}

/// Two holders at once, or a reused or smaller fencing token, would let two entries give
/// conflicting orders. Pauses, delays, lost answers and clock drift may occur at any point.
#[test]
fn lease_random_schedules_have_one_holder() {
    let acquired = (0..200)
        .map(|seed| run_random_schedule(seed, 1_000))
        .sum::<u64>();
    assert!(
        acquired > 200,
        "the lease was acquired too seldom: {acquired}"
    );
}

/// Runs a random schedule in which candidates end and others start; the store is restored now and
/// then if it has eras. Returns the number of acquisitions.
fn run_schedule_with_releases(seed: u64, steps: u32, era: u64) -> usize {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut sim = Simulation::new();
    sim.era = era;
    for _ in 0..steps {
        match rng.u8(..14) {
            9 if rng.u8(..20) == 0 => sim.now += LEASE_DURATION,
            10..12 if rng.u8(..8) == 0 => sim.release(&mut rng),
            12 if era > 0 => sim.copy_store(),
            13 if era > 0 && rng.u8(..20) == 0 && !sim.copies.is_empty() => {
                let copy = rng.usize(..sim.copies.len());
                sim.restore(copy);
            }
            choice => sim.step(&mut rng, choice),
        }
        sim.check();
        let holder = sim.holder();
        if let Some(n) = holder.filter(|_| rng.bool()) {
            sim.use_lease(n);
        }
    }
    sim.holders.len()
}

/// A holder that ends gives the lease back, so that nobody waits until it has run out. Guards
/// against two holders, and against one that uses the lease right after another.
#[test]
fn lease_random_schedules_with_releases_have_one_holder() {
    for era in [0, 1] {
        let acquired: usize = (0..200)
            .map(|seed| run_schedule_with_releases(seed, 1_500, era))
            .sum();
        assert!(
            acquired > 800,
            "the lease was acquired too seldom: {acquired}"
        );
    }
}

#[test]
#[ignore = "long random run"]
fn lease_random_schedules_with_releases_have_one_holder_long() {
    let first = u64::from(fastrand::u32(..));
    println!("seeds from {first}");
    for seed in first..first + 20_000 {
        run_schedule_with_releases(seed, 2_000, seed % 2);
    }
}

/// A candidate that starts acquires a released lease with its first read and write, and uses it only
/// after the time in which an unreleased one would have expired.
#[test]
fn lease_release_lets_the_next_candidate_acquire_at_once() {
    let mut sim = Simulation::new();
    sim.on(0, LeaseEvent::Tick);
    sim.execute_and_deliver();
    sim.execute_and_deliver();
    let held = sim.machines[0].held(sim.clock(0)).unwrap();
    sim.use_lease(0);
    sim.now += Duration::from_secs(2);
    let now = sim.clock(0);
    sim.machines[0].begin_release(now);
    assert_eq!(sim.machines[0].held(now), None);
    sim.on(0, LeaseEvent::Tick);
    sim.execute_and_deliver();
    assert!(sim.machines[0].is_released(now));
    sim.on(1, LeaseEvent::Tick);
    sim.execute_and_deliver();
    sim.execute_and_deliver();
    let next = sim.machines[1].owned(sim.clock(1)).unwrap();
    assert!(next.fencing > held.fencing);
    assert_eq!(sim.machines[1].held(sim.clock(1)), None);
    for _ in 0..6 {
        sim.now += Duration::from_secs(1);
        sim.on(1, LeaseEvent::Tick);
        while !sim.calls.is_empty() {
            sim.execute_and_deliver();
        }
    }
    assert_eq!(
        sim.machines[1].held(sim.clock(1)).unwrap().fencing,
        next.fencing
    );
}

/// Runs a random schedule in which another writer overwrites the object now and then, and the store is
/// restored if it has eras. Returns the number of acquisitions.
fn run_schedule_with_overwrites(seed: u64, steps: u32, era: u64) -> usize {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut sim = Simulation::new();
    sim.era = era;
    for _ in 0..steps {
        match rng.u8(..16) {
            9 if rng.u8(..20) == 0 => sim.now += LEASE_DURATION,
            10..12 if rng.u8(..8) == 0 => sim.release(&mut rng),
            12 if era > 0 => sim.copy_store(),
            13 if era > 0 && rng.u8(..20) == 0 && !sim.copies.is_empty() => {
                let copy = rng.usize(..sim.copies.len());
                sim.restore(copy);
            }
            14 if rng.u8(..30) == 0 => sim.overwrite(),
            choice => sim.step(&mut rng, choice),
        }
        sim.check();
        let holder = sim.holder();
        if let Some(n) = holder.filter(|_| rng.bool()) {
            sim.use_lease(n);
        }
    }
    sim.holders.len()
}

/// Guards against a lease that nobody acquires any more, two holders, and a fencing token that goes
/// down once the record that had the last one is gone.
#[test]
fn lease_random_schedules_with_overwritten_objects_have_one_holder() {
    for era in [0, 1] {
        let acquired: usize = (0..200)
            .map(|seed| run_schedule_with_overwrites(seed, 1_500, era))
            .sum();
        assert!(
            acquired > 600,
            "the lease was acquired too seldom: {acquired}"
        );
    }
}

#[test]
#[ignore = "long random run"]
fn lease_random_schedules_with_overwritten_objects_have_one_holder_long() {
    let first = u64::from(fastrand::u32(..));
    println!("seeds from {first}");
    for seed in first..first + 20_000 {
        run_schedule_with_overwrites(seed, 2_000, seed % 2);
    }
}

/// What another writer may put in the place of a record.
fn unreadable_records() -> Vec<serde_json::Value> {
    use serde_json::json;
    let record = |field: &str, value: serde_json::Value| {
        let mut record = json!({"holder": "entry-9", "fencing": 3, "renewal": 1});
        record[field] = value;
        record
    };
    vec![
        json!(null),
        json!("entry-9"),
        json!([]),
        json!({}),
        record("holder", json!(7)),
        record("holder", json!(null)),
        record("fencing", json!("3")),
        record("fencing", json!(-3)),
        record("fencing", json!(u64::MAX)),
        record("renewal", json!(1.5)),
        record("renewal", json!(u64::MAX)),
        record("release", json!(7)),
    ]
}

/// Guards against a lease that nobody acquires while its object holds no record, so that no target gets
/// new weights.
#[test]
fn lease_whose_object_is_no_record_is_acquired_after_its_time() {
    let cfg = LeaseSettings {
        duration: Duration::from_millis(80),
        takeover_margin: Duration::from_millis(20),
        ..settings(0)
    };
    for spec in unreadable_records() {
        let platform = MemoryPlatform::new();
        let object = Object::new(LeaseRecord::KIND, "orders-a", spec.clone());
        block_on(platform.create(object)).unwrap();
        let revision = platform.objects(LeaseRecord::KIND)[0].version.clone();
        let client = LeaseClient::new(Arc::new(platform), "orders-a".into(), cfg.clone());
        let started = std::time::Instant::now();
        block_on(async {
            while client.held().is_none() {
                assert!(started.elapsed() < Duration::from_secs(5), "{spec}");
                client.step().await;
                async_io::Timer::after(Duration::from_millis(2)).await;
            }
        });
        assert!(started.elapsed() >= cfg.duration, "{spec}");
        let fencing = client.held().unwrap().fencing;
        assert!(fencing > StoreRevision::of(&revision).to_bits(), "{spec}");
    }
}

/// The build before states no release, and reads none.
#[test]
fn lease_record_of_the_build_before_is_read_and_written() {
    let former = r#"{"holder":"entry-1","fencing":3,"renewal":1}"#;
    let record: LeaseRecord = serde_json::from_str(former).unwrap();
    assert_eq!(record.release, None);
    assert_eq!(serde_json::to_string(&record).unwrap(), former);
}

/// Runs a random schedule in which the store is restored now and then; returns the number of
/// acquisitions.
fn run_schedule_with_restores(seed: u64, steps: u32) -> usize {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut sim = Simulation::new();
    sim.era = 1;
    for _ in 0..steps {
        match rng.u8(..12) {
            9 => sim.copy_store(),
            10 if rng.u8(..8) == 0 && !sim.copies.is_empty() => {
                let copy = rng.usize(..sim.copies.len());
                sim.restore(copy);
            }
            choice => sim.step(&mut rng, choice),
        }
        sim.check();
    }
    sim.holders.len()
}

/// After a restore, the former holder may not have noticed that its lease is gone, a late write may
/// match a revision that was given out again, and the stored token goes back. Still there is one
/// holder at most, and no token repeats or goes down.
#[test]
fn store_era_random_schedules_have_one_holder() {
    let acquired: usize = (0..200)
        .map(|seed| run_schedule_with_restores(seed, 1_500))
        .sum();
    assert!(
        acquired > 200,
        "the lease was acquired too seldom: {acquired}"
    );
}

#[test]
#[ignore = "long random run"]
fn store_era_random_schedules_have_one_holder_long() {
    let first = u64::from(fastrand::u32(..));
    println!("seeds from {first}");
    for seed in first..first + 20_000 {
        run_schedule_with_restores(seed, 2_000);
    }
}

/// The holder gives up its lease at the first sight of a new era, and gets it again, with a greater
/// token, only when the time of a lease has passed.
#[test]
fn store_era_change_ends_lease_at_once() {
    let mut sim = Simulation::new();
    sim.era = 1;
    sim.observe_era(0, 1);
    sim.now += LEASE_DURATION + settings(0).takeover_margin;
    sim.on(0, LeaseEvent::Tick);
    sim.execute_and_deliver();
    sim.execute_and_deliver();
    let held = sim.machines[0].held(sim.clock(0)).unwrap();
    sim.copy_store();
    sim.restore(0);
    sim.observe_era(0, 2);
    assert_eq!(sim.machines[0].held(sim.clock(0)), None);
    for _ in 0..100 {
        sim.now += LEASE_DURATION / 60;
        sim.on(0, LeaseEvent::Tick);
        while !sim.calls.is_empty() {
            sim.execute_and_deliver();
        }
        if let Some(again) = sim.machines[0].held(sim.clock(0)) {
            assert!(sim.now >= (LEASE_DURATION + settings(0).takeover_margin) * 2);
            assert!(again.fencing > held.fencing);
            return;
        }
    }
    panic!("the lease was not acquired again");
}

#[test]
#[ignore = "long random run"]
fn lease_random_schedules_have_one_holder_long() {
    let first = u64::from(fastrand::u32(..));
    println!("seeds from {first}");
    for seed in first..first + 20_000 {
        run_random_schedule(seed, 2_000);
    }
}

/// A holder that was paused for the lease's duration must not go on with it: another candidate may
/// have acquired it. When it acquires the lease again, it gets a greater fencing token.
#[test]
fn lease_expires_while_its_holder_is_paused() {
    let mut sim = Simulation::new();
    sim.on(0, LeaseEvent::Tick);
    sim.execute_and_deliver();
    sim.execute_and_deliver();
    let held = sim.machines[0].held(sim.clock(0)).unwrap();
    sim.now += LEASE_DURATION;
    assert_eq!(sim.machines[0].held(sim.clock(0)), None);
    sim.on(0, LeaseEvent::Tick);
    sim.execute_and_deliver();
    let again = sim.machines[0].held(sim.clock(0)).unwrap();
    assert!(again.fencing > held.fencing);
}

/// A write may be stored although its answer is lost. The candidate then finds its own record when
/// it reads the object, and holds the lease instead of waiting for it to expire.
#[test]
fn lease_write_with_lost_answer_is_confirmed_by_read() {
    let platform = MemoryPlatform::new();
    let client = LeaseClient::new(
        Arc::new(platform.clone()),
        "orders-a".into(),
        LeaseSettings {
            duration: Duration::from_millis(40),
            ..settings(0)
        },
    );
    platform.fail_writes([Some(Fault::ResponseLost)]);
    block_on(async {
        while client.held().is_none() {
            client.step().await;
            async_io::Timer::after(Duration::from_millis(2)).await;
        }
    });
    assert_eq!(platform.objects(LeaseRecord::KIND).len(), 1);
}
