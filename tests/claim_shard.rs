//! Random runs of the claims of one window: entries with stale copies, late and lost writes, skewed
//! clocks, pauses, deaths, changed retentions and collection.

use std::collections::BTreeMap;
use std::marker::PhantomData;

use guavahold::claim::{
    Claim, ClaimKey, ClaimOp, ClaimOutcome, ClaimRequest, ClaimVerdict, Holder, OpResult,
    ShardState, Window,
};
use guavahold::prelude::*;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const ENTRIES: usize = 3;
const KEYS: usize = 2;
/// Largest difference between two entries' clocks, in milliseconds.
const SKEW_MS: u64 = 2_000;

/// Length of a run, short and longer than an object is kept.
const TOTALS: [Duration; 2] = [Duration::from_secs(20), Duration::from_hours(2)];

#[derive(Clone, Debug)]
enum Step {
    /// An entry decides about a claim on its copy, which is read anew when `fresh`.
    Claim {
        entry: usize,
        key: usize,
        fresh: bool,
        long: bool,
    },
    /// A write reaches the platform; its answer may be lost.
    Land {
        write: usize,
        answered: bool,
    },
    /// An entry reads back a write whose answer was lost.
    ReadBack {
        write: usize,
    },
    Dispatch {
        claim: usize,
    },
    Settle {
        claim: usize,
    },
    Release {
        claim: usize,
    },
    /// An entry dies and is replaced.
    Kill {
        entry: usize,
    },
    /// The links of an entry are lost or come back.
    Cut {
        entry: usize,
    },
    Collect {
        entry: usize,
    },
    Retention {
        seconds: u64,
    },
    Pass {
        ms: u64,
    },
}

fn claims() -> impl Strategy<Value = Step> {
    let choices = (0..ENTRIES, 0..KEYS, any::<bool>(), any::<bool>());
    choices.prop_map(|(entry, key, fresh, long)| Step::Claim {
        entry,
        key,
        fresh,
        long,
    })
}

fn indexed<T: 'static>(make: impl Fn(usize) -> T + 'static) -> impl Strategy<Value = T>
where
    T: std::fmt::Debug,
{
    (0..64_usize).prop_map(make)
}

fn lands() -> impl Strategy<Value = Step> {
    (0..64_usize, any::<bool>()).prop_map(|(write, answered)| Step::Land { write, answered })
}

fn entries(make: impl Fn(usize) -> Step + 'static) -> impl Strategy<Value = Step> {
    (0..ENTRIES).prop_map(make)
}

/// Seconds in which many writes, losses and deaths meet.
#[derive(Clone, Debug)]
struct Busy;

impl ReferenceStateMachine for Busy {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => claims(),
            6 => lands(),
            3 => indexed(|write| Step::ReadBack { write }),
            4 => indexed(|claim| Step::Dispatch { claim }),
            2 => indexed(|claim| Step::Settle { claim }),
            1 => indexed(|claim| Step::Release { claim }),
            1 => entries(|entry| Step::Kill { entry }),
            1 => entries(|entry| Step::Cut { entry }),
            3 => prop_oneof![Just(1_000), Just(9_000), Just(120_000)]
                .prop_map(|ms| Step::Pass { ms }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Hours in which claims are collected and operators change the retention.
#[derive(Clone, Debug)]
struct Aged;

impl ReferenceStateMachine for Aged {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        prop_oneof![
            4 => claims(),
            4 => lands(),
            4 => indexed(|claim| Step::Dispatch { claim }),
            1 => indexed(|claim| Step::Settle { claim }),
            3 => entries(|entry| Step::Collect { entry }),
            2 => prop_oneof![Just(1), Just(86_400)]
                .prop_map(|seconds| Step::Retention { seconds }),
            2 => prop_oneof![Just(600_000), Just(1_800_000), Just(3_600_000)]
                .prop_map(|ms| Step::Pass { ms }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// A write on its way to the platform.
#[derive(Clone, Debug)]
struct Write {
    entry: usize,
    alive: bool,
    landed: bool,
    version: Option<u64>,
    state: ShardState,
    attempt: Option<(Name, ClaimRequest, u64)>,
}

#[derive(Clone, Debug)]
struct Granted {
    entry: usize,
    claim: Claim,
    key: usize,
    started_ms: u64,
    total: Duration,
    dispatched: bool,
}

#[derive(Debug)]
struct World {
    now_ms: u64,
    window: Window,
    keys: Vec<ClaimKey>,
    retention: Duration,
    version: u64,
    object: Option<(u64, ShardState)>,
    copies: Vec<Option<(u64, ShardState)>>,
    writes: Vec<Write>,
    granted: Vec<Granted>,
    claimants: u64,
    boots: [u64; ENTRIES],
    cut: [bool; ENTRIES],
    runs: BTreeMap<usize, u32>,
    outcomes: BTreeMap<usize, ClaimOutcome>,
}

impl World {
    fn new() -> Self {
        let start_ms = 1_700_000_000_000;
        let keys: Vec<_> = (0..KEYS as u128).map(|n| key(start_ms, n)).collect();
        Self {
            now_ms: start_ms,
            window: Window::of(&keys[0], 1).unwrap(),
            keys,
            retention: Duration::from_mins(10),
            version: 0,
            object: None,
            copies: vec![None; ENTRIES],
            writes: Vec::new(),
            granted: Vec::new(),
            claimants: 0,
            boots: [0; ENTRIES],
            cut: [false; ENTRIES],
            runs: BTreeMap::new(),
            outcomes: BTreeMap::new(),
        }
    }

    /// Time by an entry's own clock.
    fn clock(&self, entry: usize) -> u64 {
        self.now_ms + SKEW_MS * entry as u64
    }

    fn holder(&self, claimant: &str) -> Holder {
        let name = claimant.rsplit_once('.').unwrap().0;
        let live = |e: usize| !self.cut[e] && name == format!("{e}.{}", self.boots[e]);
        if (0..ENTRIES).any(live) {
            Holder::Live
        } else {
            Holder::Silent
        }
    }

    fn decide(&mut self, entry: usize, fresh: bool, op: &ClaimOp) -> (OpResult, Option<Write>) {
        if fresh || self.copies[entry].is_none() {
            self.copies[entry] = self.object.clone();
        }
        let copy = self.copies[entry].clone();
        let version = copy.as_ref().map(|(version, _)| *version);
        let mut state = copy.map(|(_, state)| state).unwrap_or_default();
        let now_ms = self.clock(entry);
        let exists = version.is_some();
        let applied = state.apply(now_ms, self.window, exists, [op], |c| self.holder(c));
        let write = Write {
            entry,
            alive: true,
            landed: false,
            version,
            state,
            attempt: None,
        };
        let result = applied.results.into_iter().next().unwrap();
        (result, applied.changed.then_some(write))
    }

    fn claim(&mut self, entry: usize, key: usize, fresh: bool, total: Duration) {
        self.claimants += 1;
        let claimant: Name = format!("{entry}.{}.{}", self.boots[entry], self.claimants).into();
        let req = ClaimRequest {
            key: self.keys[key].clone(),
            digest: "0123".into(),
            retention: self.retention,
            total,
        };
        let op = ClaimOp::Claim {
            claimant: claimant.clone(),
            req: req.clone(),
            instead_of: None,
        };
        let (result, write) = self.decide(entry, fresh, &op);
        if let OpResult::Verdict(ClaimVerdict::Settled(outcome)) = &result
            && write.is_none()
        {
            self.told(key, outcome);
        }
        let started_ms = self.clock(entry);
        let granted = matches!(result, OpResult::Verdict(ClaimVerdict::Granted(_)));
        assert!(!granted || write.is_some(), "granted without a write");
        self.writes.extend(write.map(|write| Write {
            attempt: granted.then_some((claimant, req, started_ms)),
            ..write
        }));
    }

    /// A caller was told an outcome: it is true and never changes.
    fn told(&mut self, key: usize, outcome: &ClaimOutcome) {
        if let ClaimOutcome::Answered { .. } = outcome {
            assert_eq!(self.runs.get(&key), Some(&1), "an outcome without a run");
        }
        let old = self.outcomes.entry(key).or_insert_with(|| outcome.clone());
        assert_eq!(old, outcome, "the outcome changed");
    }

    fn land(&mut self, index: usize, answered: bool) {
        let Some(write) = self.writes.get(index).cloned() else {
            return;
        };
        let fits = self.object.as_ref().map(|(version, _)| *version) == write.version;
        if write.landed {
            return;
        }
        self.writes[index].landed = true;
        if fits {
            self.version += 1;
            self.object = Some((self.version, write.state.clone()));
        }
        if write.alive && answered && fits {
            self.copies[write.entry].clone_from(&self.object);
            let late = write.version.is_none() && !self.window.may_grant(self.clock(write.entry));
            self.writes[index].alive = false;
            if !late {
                self.grant(&write);
            }
        }
    }

    fn read_back(&mut self, index: usize) {
        let Some(write) = self.writes.get(index).cloned().filter(|w| w.alive) else {
            return;
        };
        let Some((claimant, req, _)) = write.attempt.clone() else {
            return;
        };
        let op = ClaimOp::Claim {
            claimant,
            req,
            instead_of: None,
        };
        let (result, change) = self.decide(write.entry, true, &op);
        let created = write.version.is_none();
        let late = created && !self.window.may_grant(self.clock(write.entry));
        if change.is_none() && matches!(result, OpResult::Verdict(ClaimVerdict::Granted(_))) {
            self.writes[index].alive = false;
            if !late {
                self.grant(&write);
            }
        }
    }

    fn grant(&mut self, write: &Write) {
        let Some((claimant, req, started_ms)) = write.attempt.clone() else {
            return;
        };
        let key = self.keys.iter().position(|k| *k == req.key).unwrap();
        let claim = Claim {
            key: req.key,
            claimant,
            retention: req.retention,
        };
        self.granted.push(Granted {
            entry: write.entry,
            claim,
            key,
            started_ms,
            total: req.total,
            dispatched: false,
        });
    }

    fn dispatch(&mut self, index: usize) {
        let Some(granted) = self.granted.get(index).cloned() else {
            return;
        };
        let waited = self.clock(granted.entry) - granted.started_ms;
        if granted.dispatched || u128::from(waited) >= granted.total.as_millis() {
            return;
        }
        self.granted[index].dispatched = true;
        let told = self.outcomes.get(&granted.key);
        assert_eq!(told, None, "a run began after its outcome was told");
        let runs = self.runs.entry(granted.key).or_default();
        *runs += 1;
        assert_eq!(*runs, 1, "a second run");
    }

    fn end(&mut self, index: usize, ran: bool) {
        let Some(granted) = self.granted.get(index).cloned() else {
            return;
        };
        if granted.dispatched != ran {
            return;
        }
        let claim = granted.claim;
        let op = if ran {
            ClaimOp::Settle {
                claim,
                outcome: ClaimOutcome::Answered {
                    status: 200,
                    content_type: "text/plain".into(),
                    body: Some("done".into()),
                },
            }
        } else {
            ClaimOp::Release { claim }
        };
        let (_, write) = self.decide(granted.entry, true, &op);
        self.writes.extend(write);
        if !ran {
            self.granted.remove(index);
        }
    }

    fn kill(&mut self, entry: usize) {
        self.boots[entry] += 1;
        self.copies[entry] = None;
        self.granted.retain(|granted| granted.entry != entry);
        for write in self.writes.iter_mut().filter(|w| w.entry == entry) {
            write.alive = false;
        }
    }

    fn collect(&mut self, entry: usize) {
        let now_ms = self.clock(entry);
        let old_enough = self.window <= Window::collectable(self.window.shard, now_ms);
        let agrees = |state: &ShardState| state.may_collect(self.window, now_ms);
        if old_enough && self.object.as_ref().is_some_and(|(_, s)| agrees(s)) {
            self.object = None;
        }
    }
}

fn key(ms: u64, n: u128) -> ClaimKey {
    let bits = (u128::from(ms) << 80) | (7 << 76) | (0b10 << 62) | n;
    ClaimKey {
        customer: "a".into(),
        key: uuid::Uuid::from_u128(bits),
    }
}

struct Claims<R>(PhantomData<R>);

impl<R> StateMachineTest for Claims<R>
where
    R: ReferenceStateMachine<State = (), Transition = Step>,
{
    type SystemUnderTest = World;
    type Reference = R;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        match step {
            Step::Claim {
                entry,
                key,
                fresh,
                long,
            } => world.claim(entry, key, fresh, TOTALS[usize::from(long)]),
            Step::Land { write, answered } => {
                let index = write % world.writes.len().max(1);
                world.land(index, answered);
            }
            Step::ReadBack { write } => {
                let index = write % world.writes.len().max(1);
                world.read_back(index);
            }
            Step::Dispatch { claim } => world.dispatch(claim % world.granted.len().max(1)),
            Step::Settle { claim } => world.end(claim % world.granted.len().max(1), true),
            Step::Release { claim } => world.end(claim % world.granted.len().max(1), false),
            Step::Kill { entry } => world.kill(entry),
            Step::Cut { entry } => world.cut[entry] = !world.cut[entry],
            Step::Collect { entry } => world.collect(entry),
            Step::Retention { seconds } => world.retention = Duration::from_secs(seconds),
            Step::Pass { ms } => world.now_ms += ms,
        }
        world
    }
}

fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(cases(256))]

    #[test]
    fn shard_state_runs_at_most_once_when_busy(sequential 1..120 => Claims<Busy>);

    #[test]
    fn shard_state_runs_at_most_once_when_collected(sequential 1..80 => Claims<Aged>);
}

prop_state_machine! {
    #![proptest_config(cases(50_000))]

    #[test]
    #[ignore = "long random run"]
    fn shard_state_long_run_when_busy(sequential 1..200 => Claims<Busy>);

    #[test]
    #[ignore = "long random run"]
    fn shard_state_long_run_when_collected(sequential 1..120 => Claims<Aged>);
}
