//! Random events for a scheduler.

use guavahold::scheduler::{AttemptOutcome, Signal};
use guavahold::target::LoadReport;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

use crate::simulation::{ms, report};

/// Number of targets that events name.
pub const TARGETS: u8 = 5;

#[derive(Clone, Debug)]
pub enum Step {
    Advance(u64),
    Arrive {
        customer: u8,
        policy_ix: u8,
        fingerprint: u8,
        long: bool,
    },
    Confirm(u8),
    FirstToken(u8),
    End(u8, AttemptOutcome),
    CallerLeft(u8),
    List {
        present: u8,
        leaving: u8,
    },
    Report {
        target: u8,
        report: LoadReport,
    },
    Signal(u8, Signal),
    EntryCount(u32),
    /// Evacuated domains, as bits.
    Evacuate(u8),
    Quarantine {
        fingerprint: u8,
        victims: u8,
        ttl: u64,
    },
    Drain,
}

#[derive(Clone, Debug)]
pub struct Steps;

fn outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        6 => Just(AttemptOutcome::Done),
        2 => Just(AttemptOutcome::NotSent),
        1 => Just(AttemptOutcome::Refused { retry_after: None }),
        1 => Just(AttemptOutcome::Refused { retry_after: Some(ms(300)) }),
        1 => Just(AttemptOutcome::WrongWeights),
        3 => Just(AttemptOutcome::Lost),
        1 => Just(AttemptOutcome::CutShort),
        1 => Just(AttemptOutcome::Cancelled),
    ]
}

fn load_report() -> impl Strategy<Value = LoadReport> {
    (1..4_u32, 0..6_u32, 0..3_u32, 0..20_u8, 0..8_u8).prop_map(
        |(slots, running, queued, leaving, weights)| LoadReport {
            running,
            queued,
            leaving: leaving == 0,
            weights: match weights {
                0 => vec![],
                1 => vec!["v1".into(), "v2".into()],
                2 => vec!["v2".into()],
                _ => vec!["v1".into()],
            },
            ..report(slots)
        },
    )
}

fn signal() -> impl Strategy<Value = Signal> {
    prop_oneof![
        1 => Just(Signal::Leaving),
        3 => Just(Signal::Unreachable),
        2 => Just(Signal::OutOfReach),
        2 => Just(Signal::Silent),
        2 => Just(Signal::ReportedUnreachable),
        6 => Just(Signal::Reachable),
    ]
}

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let any_target = 0..TARGETS;
        prop_oneof![
            8 => (1..400_u64).prop_map(Step::Advance),
            1 => (400..5_000_u64).prop_map(Step::Advance),
            12 => (0..3_u8, 0..4_u8, 0..30_u8, any::<bool>()).prop_map(
                |(customer, policy_ix, fingerprint, long)| {
                    Step::Arrive { customer, policy_ix, fingerprint, long }
                }
            ),
            6 => any::<u8>().prop_map(Step::Confirm),
            5 => any::<u8>().prop_map(Step::FirstToken),
            12 => (any::<u8>(), outcome()).prop_map(|(n, outcome)| Step::End(n, outcome)),
            1 => any::<u8>().prop_map(Step::CallerLeft),
            1 => (any::<u8>(), any::<u8>(), any::<u8>()).prop_map(
                |(present, a, b)| Step::List { present: present | 7, leaving: a & b }
            ),
            8 => (any_target.clone(), load_report()).prop_map(
                |(target, report)| Step::Report { target, report }
            ),
            6 => (any_target, signal()).prop_map(|(target, signal)| Step::Signal(target, signal)),
            1 => (0..4_u32).prop_map(Step::EntryCount),
            2 => (0..8_u8).prop_map(Step::Evacuate),
            1 => (0..30_u8, 0..4_u8, 0..3_u64).prop_map(
                |(fingerprint, victims, ttl)| Step::Quarantine { fingerprint, victims, ttl }
            ),
            1 => (0..20_u8).prop_map(|n| if n == 0 { Step::Drain } else { Step::Advance(1) }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}
