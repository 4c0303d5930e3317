//! Faults injected during a run.

use std::str::FromStr;

use crate::load::profile::FAILURE_DOMAINS;
use crate::local_system::LocalSystem;
use crate::{Faults, StandIn};

/// Factor on the processing times of a slow engine.
const SLOW_FACTOR: f64 = 10.0;
/// One engine in this many is slow.
const SLOW_ENGINE_INTERVAL: usize = 5;

/// Fault that lasts from 40% to 75% of the schedule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FaultPlan {
    /// No fault.
    #[default]
    None,
    /// One engine in five takes ten times as long.
    Slow,
    /// A request crashes one engine.
    EngineKilled,
    /// All targets of one failure domain freeze, and its entries get no requests.
    DomainCut,
    /// The platform does not respond.
    PlatformDown,
}

impl FaultPlan {
    const ALL: [(&'static str, Self); 5] = [
        ("none", Self::None),
        ("slow", Self::Slow),
        ("engine-killed", Self::EngineKilled),
        ("domain-cut", Self::DomainCut),
        ("platform-down", Self::PlatformDown),
    ];

    /// Value of `--fault`.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        let found = Self::ALL.iter().find(|(_, f)| *f == self);
        found.map_or("", |(name, _)| name)
    }

    /// Failure domain that callers cannot reach during the fault.
    #[must_use]
    pub fn lost_domain(self) -> Option<&'static str> {
        (self == Self::DomainCut).then_some(FAILURE_DOMAINS[FAILURE_DOMAINS.len() - 1])
    }

    /// Injects the fault.
    pub(crate) fn begin(self, system: &LocalSystem) {
        match self {
            Self::None => {}
            Self::Slow => set_engine_faults(
                system,
                &Faults {
                    slow: SLOW_FACTOR,
                    ..Faults::default()
                },
                |n, _| n % SLOW_ENGINE_INTERVAL == 0,
            ),
            Self::EngineKilled => {
                let faults = Faults {
                    crash_on: Some("messages".into()),
                    ..Faults::default()
                };
                set_engine_faults(system, &faults, |n, _| n == 0);
            }
            Self::DomainCut => {
                let faults = Faults {
                    freeze: true,
                    ..Faults::default()
                };
                let lost = self.lost_domain();
                set_engine_faults(system, &faults, |_, domain| Some(domain) == lost);
                for service in &system.services {
                    if Some(&*service.vm.domain) == lost {
                        service.stand_in.faults().set(faults.clone());
                    }
                }
            }
            Self::PlatformDown => {
                let faults = Faults {
                    freeze: true,
                    ..Faults::default()
                };
                system.platform.faults().set(faults);
            }
        }
    }

    /// Clears the faults of all stand-ins.
    pub(crate) fn end(system: &LocalSystem) {
        set_engine_faults(system, &Faults::default(), |_, _| true);
        for service in &system.services {
            service.stand_in.faults().set(Faults::default());
        }
        system.platform.faults().set(Faults::default());
    }
}

fn set_engine_faults(
    system: &LocalSystem,
    faults: &Faults,
    matches_engine: impl Fn(usize, &str) -> bool,
) {
    for (n, engine) in system.engines.iter().enumerate() {
        if matches_engine(n, &engine.vm.domain) {
            engine.stand_in.faults().set(faults.clone());
        }
    }
}

impl FromStr for FaultPlan {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.iter().find(|(name, _)| *name == text);
        let names: Vec<&str> = Self::ALL.iter().map(|(name, _)| *name).collect();
        found
            .map(|(_, f)| *f)
            .ok_or_else(|| format!("expected one of {}", names.join(", ")))
    }
}
