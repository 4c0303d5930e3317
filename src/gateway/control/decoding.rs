//! Objects of the platform's store, decoded.

use crate::gateway::control::State;
use crate::gateway::{DeclaredWeights, Decoder, WatchedKind};
use crate::platform::Vm;
use crate::prelude::*;

impl State {
    /// Decodes the registered targets; objects that cannot be decoded are skipped.
    pub(crate) fn decode_targets(&mut self, now: Timestamp, decoder: &dyn Decoder) {
        let mut registered = Vec::new();
        for (name, spec) in self.views[WatchedKind::Targets.index()].cache.iter() {
            match decoder.target(name, spec) {
                Ok(target) => {
                    self.warm_ups.record_registration(name, spec, target.cold);
                    registered.push(target);
                }
                Err(err) => {
                    if self.unreadable_targets.insert(name.clone()) {
                        log::warn!("event=target_unreadable name={name:?} error={err:?}");
                    }
                }
            }
        }
        self.targets.set_registered(now, registered);
    }

    /// Decodes the declared weights and returns them.
    pub(crate) fn decode_weights(
        &mut self,
        now: Timestamp,
        decoder: &dyn Decoder,
    ) -> Vec<DeclaredWeights> {
        let mut read = Vec::new();
        let cache = &self.views[WatchedKind::Weights.index()].cache;
        for (name, spec) in cache.iter() {
            match decoder.weights(name, spec) {
                Ok(declared) => {
                    let DeclaredWeights { model, version } = &declared;
                    let is_new = if self.weights_read {
                        self.versions.declare(now, model, *version)
                    } else {
                        self.versions.declare_at_unknown_time(model, *version)
                    };
                    if is_new {
                        log::info!("event=weights_named model={model} version={version}");
                    }
                    read.push(declared);
                }
                Err(err) => log::warn!("event=weights_unreadable name={name:?} error={err:?}"),
            }
        }
        self.weights_read = true;
        read
    }

    /// Decodes the VMs of the entries; objects that cannot be decoded are skipped.
    pub(crate) fn decode_members(&self) -> Vec<Vm> {
        let members = self.cache(WatchedKind::Members).iter();
        let read = members.filter_map(|(name, spec)| {
            let vm = serde_json::from_value::<Vm>((**spec).clone());
            vm.inspect_err(|err| log::warn!("event=member_unreadable name={name:?} error={err:?}"))
                .ok()
        });
        read.collect()
    }
}
