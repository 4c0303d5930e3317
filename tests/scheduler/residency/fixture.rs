//! A scheduler before targets of four failure domains, and requests restricted to one of them.

use guavahold::catalog::PriorityClass;
use guavahold::prelude::*;
use guavahold::residency::AllowedDomains;
use guavahold::scheduler::{
    Arrival, Effect, Event, Placement, Refusal, RequestId, Scheduler, SchedulerSettings, TargetInfo,
};
use guavahold::target::LoadReport;

use crate::simulation::{arrival, ms, policy, report, target};

/// Targets; every fourth one is in the allowed domain.
pub const TARGETS: usize = 16;

pub fn name(n: usize) -> Name {
    format!("engine-{n}").into()
}

pub fn info(n: usize) -> TargetInfo {
    TargetInfo {
        address: ([127, 0, 0, 1], u16::try_from(9_000 + n).unwrap()).into(),
        ..target(&name(n), &format!("domain-{}", n % 4))
    }
}

/// A scheduler in another domain than the allowed one.
pub fn scheduler(placement: Placement, seed: u64, slots: u32) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerSettings {
        placement,
        seed,
        ..SchedulerSettings::new("domain-0".into())
    });
    let list = (0..TARGETS).map(info).collect();
    submit(&mut scheduler, 0, Event::Targets(list));
    for n in 0..TARGETS {
        load(&mut scheduler, 0, n, report(slots));
    }
    scheduler
}

pub fn load(scheduler: &mut Scheduler, now: u64, n: usize, report: LoadReport) {
    let target = name(n);
    submit(scheduler, now, Event::Report { target, report });
}

pub fn submit(scheduler: &mut Scheduler, now: u64, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    scheduler.on(ms(now), event, &mut effects);
    effects
}

pub fn allowed(domains: &[&str]) -> AllowedDomains {
    AllowedDomains::new(domains.iter().map(|d| Name::from(*d)))
}

/// A request restricted to `domain-1`; `prefix` says whether its prompt fills a block.
pub fn restricted(id: u64, prefix: bool) -> Arrival {
    Arrival {
        allowed: Some(allowed(&["domain-1"])),
        prompt_tokens: if prefix { 4_000 } else { 200 },
        shared_tokens: if prefix { 3_000 } else { 0 },
        ..unrestricted(id)
    }
}

pub fn unrestricted(id: u64) -> Arrival {
    arrival(id, "a", &policy(PriorityClass::Standard, 5_000))
}

pub fn dispatched(effects: &[Effect]) -> Vec<(RequestId, Name)> {
    let dispatched = effects.iter().filter_map(|effect| match effect {
        Effect::Dispatch { id, target, .. } => Some((*id, target.clone())),
        _ => None,
    });
    dispatched.collect()
}

pub fn is_in_domain_1(target: &str) -> bool {
    let n: usize = target.strip_prefix("engine-").unwrap().parse().unwrap();
    n % 4 == 1
}

/// Asserts that one request is dispatched, to a target of the allowed domain, and returns that.
pub fn assert_placed(effects: &[Effect]) -> Name {
    let [(_, target)] = &dispatched(effects)[..] else {
        panic!("expected one dispatch, got {effects:?}");
    };
    assert!(is_in_domain_1(target), "placed at {target}");
    target.clone()
}

pub fn no_target_pause(effects: &[Effect]) -> Duration {
    match effects {
        [
            Effect::Refuse {
                refusal: Refusal::NoTarget { retry_after },
                ..
            },
        ] => *retry_after,
        _ => panic!("expected a refusal, got {effects:?}"),
    }
}
