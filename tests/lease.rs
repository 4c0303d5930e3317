//! Leases: random schedules of candidates with pauses, late and lost writes and clock drift.

#[path = "support/all.rs"]
mod support;

use std::collections::BTreeMap;

use futures_lite::future::block_on;
use guavahold::lease::{
    LeaseClient, LeaseEffect, LeaseEvent, LeaseRecord, LeaseSettings, LeaseStateMachine,
};
use guavahold::platform::Version;
use guavahold::prelude::*;
use support::{Fault, MemoryPlatform};

const LEASE_DURATION: Duration = Duration::from_secs(6);

fn settings(n: usize) -> LeaseSettings {
    LeaseSettings {
        holder: format!("entry-{n}").into(),
        duration: LEASE_DURATION,
        takeover_margin: Duration::from_secs(1),
    }
}

/// Simulation of candidates that compete for one lease object.
struct Simulation {
    now: Timestamp,
    version: u64,
    object: Option<(Version, LeaseRecord)>,
    machines: Vec<LeaseStateMachine>,
    /// Calls that the platform has not executed yet, with the index of the candidate.
    calls: Vec<(usize, LeaseEffect)>,
    /// Answers that have not reached their candidate yet.
    answers: Vec<(usize, LeaseEvent)>,
    /// Candidate that held the lease under each fencing token.
    holders: BTreeMap<u64, usize>,
    greatest_fencing: u64,
}

impl Simulation {
    fn new() -> Self {
        Self {
            now: Timestamp::ZERO,
            version: 0,
            object: None,
            machines: (0..3)
                .map(|n| LeaseStateMachine::new(settings(n)))
                .collect(),
            calls: Vec::new(),
            answers: Vec::new(),
            holders: BTreeMap::new(),
            greatest_fencing: 0,
        }
    }

    /// Time on a candidate's own clock: origins differ, and rates differ by up to 2%.
    fn clock(&self, n: usize) -> Timestamp {
        let n = u32::try_from(n).unwrap();
        Duration::from_secs(1_000) * n + self.now + self.now * n / 100
    }

    fn on(&mut self, n: usize, event: LeaseEvent) {
        let (now, mut effects) = (self.clock(n), Vec::new());
        self.machines[n].on(now, event, &mut effects);
        self.calls.extend(effects.into_iter().map(|e| (n, e)));
    }

    /// Executes a call; `answered` is false if its answer is lost.
    fn execute(&mut self, call: usize, answered: bool) {
        let (n, effect) = self.calls.remove(call);
        let event = match effect {
            LeaseEffect::Read => LeaseEvent::ObjectRead(self.object.clone()),
            LeaseEffect::Write { version, record } => {
                let stored = self.object.as_ref().map(|(version, _)| version.clone());
                if stored == version {
                    self.version += 1;
                    let version = Version(self.version.to_string());
                    self.object = Some((version.clone(), record));
                    LeaseEvent::Written(version)
                } else {
                    LeaseEvent::Conflict
                }
            }
        };
        let lost = LeaseEvent::Unanswered;
        self.answers.push((n, if answered { event } else { lost }));
    }

    /// Executes the only call and delivers its answer.
    fn execute_and_deliver(&mut self) {
        self.execute(0, true);
        self.deliver(0);
    }

    fn deliver(&mut self, answer: usize) {
        let (n, event) = self.answers.remove(answer);
        self.on(n, event);
    }

    /// Checks that at most one candidate holds the lease, that no two candidates use the same
    /// fencing token, and that tokens never decrease.
    fn check(&mut self) {
        let held = (0..self.machines.len())
            .filter_map(|n| Some((n, self.machines[n].held(self.clock(n))?)));
        let held: Vec<_> = held.collect();
        assert!(held.len() <= 1, "two holders: {held:?}");
        for (n, lease) in held {
            let holder = *self.holders.entry(lease.fencing).or_insert(n);
            assert_eq!(holder, n, "two holders with the same fencing token");
            assert!(
                lease.fencing >= self.greatest_fencing,
                "fencing token decreased"
            );
            self.greatest_fencing = lease.fencing;
        }
    }
}

/// Runs a random schedule and returns the greatest fencing token seen, which counts acquisitions.
fn run_random_schedule(seed: u64, steps: u32) -> u64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut sim = Simulation::new();
    for _ in 0..steps {
        match rng.u8(..10) {
            0..4 => {
                let n = rng.usize(..sim.machines.len());
                sim.on(n, LeaseEvent::Tick);
            }
            4..6 if !sim.calls.is_empty() => {
                let call = rng.usize(..sim.calls.len());
                sim.execute(call, rng.u8(..5) > 0);
            }
            4..8 if !sim.answers.is_empty() => {
                let answer = rng.usize(..sim.answers.len());
                sim.deliver(answer);
            }
            8 => sim.now += Duration::from_millis(rng.u64(..2_000)),
            9 if rng.u8(..20) == 0 => sim.now += LEASE_DURATION,
            _ => sim.now += Duration::from_millis(rng.u64(..200)),
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
