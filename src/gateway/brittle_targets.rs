//! Targets that fall over when they have to turn away many requests, as their answers say.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::gateway::ResponseInfo;
use crate::prelude::*;

/// Targets whose last answer said that they are brittle.
#[derive(Default)]
pub(crate) struct BrittleTargets(Mutex<BTreeSet<Name>>);

impl BrittleTargets {
    /// Records what an answer says of its target.
    pub(crate) fn observe(&self, target: &Name, info: &ResponseInfo) {
        let mut brittle = self.lock();
        if let Some(per_second) = info.brittle {
            if brittle.insert(target.clone()) {
                log::info!("event=target_brittle target={target} per_s={per_second}");
            }
        } else if info.from_target && brittle.remove(target) {
            log::info!("event=target_brittle_ended target={target}");
        }
    }

    /// The targets that are brittle now.
    pub(crate) fn current(&self) -> BTreeSet<Name> {
        self.lock().clone()
    }

    /// Forgets targets that are not registered any more.
    pub(crate) fn retain(&self, registered: &BTreeSet<Name>) {
        self.lock().retain(|target| registered.contains(target));
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<Name>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
