//! Targets that fall over when they have to turn away many requests, as their answers say.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::gateway::ResponseInfo;
use crate::prelude::*;

/// Time for which a target whose registration is missing is remembered, since it may come back.
const UNREGISTERED_TIME: Duration = Duration::from_mins(2);

/// Targets whose last answer said that they are brittle, with the time since which their
/// registration is missing.
#[derive(Default)]
pub struct BrittleTargets(Mutex<BTreeMap<Name, Option<Timestamp>>>);

impl BrittleTargets {
    /// Records what an answer says of its target.
    pub fn observe(&self, target: &Name, info: &ResponseInfo) {
        let mut brittle = self.lock();
        if let Some(per_second) = info.brittle {
            if brittle.insert(target.clone(), None).is_none() {
                log::info!("event=target_brittle target={target} per_s={per_second}");
            }
        } else if info.from_target && brittle.remove(target).is_some() {
            log::info!("event=target_brittle_ended target={target}");
        }
    }

    /// The targets that are brittle now.
    pub fn current(&self) -> BTreeSet<Name> {
        self.lock().keys().cloned().collect()
    }

    /// Sets the registered targets; others are forgotten after a time.
    pub fn set_registered(&self, now: Timestamp, registered: &BTreeSet<Name>) {
        self.lock().retain(|target, missing_since| {
            let since = missing_since.unwrap_or(now);
            *missing_since = (!registered.contains(target)).then_some(since);
            now < since + UNREGISTERED_TIME
        });
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Name, Option<Timestamp>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
