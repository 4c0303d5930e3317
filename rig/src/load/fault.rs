//! Faults scheduled in a run.

use std::str::FromStr;

use crate::bench::Bench;
use crate::load::profile::DOMAINS;
use crate::{Faults, StandIn};

/// Factor by which a slow engine is slower.
const SLOW: f64 = 10.0;
/// One engine in this many is slow.
const SLOW_EVERY: usize = 5;

/// A fault that lasts from 40% to 75% of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FaultPlan {
    /// No fault.
    #[default]
    None,
    /// One engine in five is slow by ten times.
    Slow,
    /// One engine is killed by a request.
    EngineKilled,
    /// All targets of one failure domain fall silent, and its entries get no callers.
    DomainCut,
    /// The platform answers nothing.
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

    /// Name on the command line.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        let found = Self::ALL.iter().find(|(_, f)| *f == self);
        found.map_or("", |(name, _)| name)
    }

    /// Failure domain that callers no longer reach.
    #[must_use]
    pub fn lost_domain(self) -> Option<&'static str> {
        (self == Self::DomainCut).then_some(DOMAINS[DOMAINS.len() - 1])
    }

    /// Shows the fault.
    pub(crate) fn begin(self, bench: &Bench) {
        match self {
            Self::None => {}
            Self::Slow => set(
                bench,
                &Faults {
                    slow: SLOW,
                    ..Faults::default()
                },
                |n, _| n % SLOW_EVERY == 0,
            ),
            Self::EngineKilled => {
                let faults = Faults {
                    crash_on: Some("messages".into()),
                    ..Faults::default()
                };
                set(bench, &faults, |n, _| n == 0);
            }
            Self::DomainCut => {
                let faults = Faults {
                    freeze: true,
                    ..Faults::default()
                };
                let lost = self.lost_domain();
                set(bench, &faults, |_, domain| Some(domain) == lost);
                for service in &bench.services {
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
                bench.platform.faults().set(faults);
            }
        }
    }

    /// Ends every fault.
    pub(crate) fn end(bench: &Bench) {
        set(bench, &Faults::default(), |_, _| true);
        for service in &bench.services {
            service.stand_in.faults().set(Faults::default());
        }
        bench.platform.faults().set(Faults::default());
    }
}

fn set(bench: &Bench, faults: &Faults, fits: impl Fn(usize, &str) -> bool) {
    for (n, engine) in bench.engines.iter().enumerate() {
        if fits(n, &engine.vm.domain) {
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
