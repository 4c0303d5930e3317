//! Objects of the platform's store, decoded. Each object that cannot be read is reported once.

use serde_json::Value;

use crate::gateway::control::{Control, State};
use crate::gateway::{DeclaredWeights, Decoder, WatchedKind};
use crate::platform::{ObjectFault, UnreadableObject, UnreadableObjects, Vm};
use crate::prelude::*;
use crate::telemetry::LogValue;

/// Most characters of an object's name in a log line.
const MAX_LOGGED_NAME: usize = 100;

/// Objects of one kind that cannot be decoded.
#[derive(Default)]
pub(super) struct DecodeFailures(Vec<DecodeFailure>);

struct DecodeFailure {
    name: Name,
    /// The reason; `None` if the object was reported when it was received.
    error: Option<String>,
}

impl DecodeFailures {
    pub(super) fn add(&mut self, name: &Name, spec: &Value, error: String) {
        self.0.push(DecodeFailure {
            name: name.clone(),
            error: (!spec.is_null()).then_some(error),
        });
    }
}

impl Control {
    /// Reports objects that could not be read as they were received.
    pub(super) fn report_unreadable(
        &self,
        state: &mut State,
        watched: WatchedKind,
        objects: &UnreadableObjects,
    ) {
        for object in objects.named() {
            report_object(state, watched, object);
        }
        let count = objects.unnamed();
        if count > 0 && state.unreadable.add_unnamed(watched) {
            let kind = watched.as_str();
            log::warn!("event=objects_without_name kind={kind} count={count}");
        }
        self.count_unreadable(watched, objects.count());
    }

    /// Reports objects that cannot be decoded, and forgets those of the kind that can be by now.
    pub(super) fn report_undecodable(
        &self,
        state: &mut State,
        watched: WatchedKind,
        failures: &DecodeFailures,
    ) {
        for failure in &failures.0 {
            if let Some(error) = &failure.error
                && state.unreadable.add(watched, &failure.name)
            {
                log_object(watched, &failure.name, error);
                self.count_unreadable(watched, 1);
            }
        }
        let names = failures.0.iter().map(|failure| failure.name.clone());
        state.unreadable.keep(watched, &names.collect());
    }

    fn count_unreadable(&self, watched: WatchedKind, count: usize) {
        let counter = &self.shared.metrics.unreadable_objects;
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        counter.with_label_values(&[watched.as_str()]).inc_by(count);
    }
}

/// Reports an object that could not be read, once.
fn report_object(state: &mut State, watched: WatchedKind, object: &UnreadableObject) {
    let is_new = match object.fault {
        ObjectFault::NameTooLong => state.unreadable.add_long(watched, &object.name),
        _ => state.unreadable.add(watched, &object.name),
    };
    if is_new {
        log_object(watched, &object.name, &object.to_string());
    }
}

fn log_object(watched: WatchedKind, name: &Name, reason: &str) {
    let kind = watched.as_str();
    let name: String = name.chars().take(MAX_LOGGED_NAME).collect();
    log::warn!("event=object_unreadable kind={kind} name={name:?} reason={reason:?}");
}

impl State {
    /// Decodes the registered targets; objects that cannot be decoded are skipped.
    pub(super) fn decode_targets(
        &mut self,
        now: Timestamp,
        decoder: &dyn Decoder,
    ) -> DecodeFailures {
        let mut failures = DecodeFailures::default();
        let mut registered = Vec::new();
        for (name, spec) in self.views[WatchedKind::Targets.index()].cache.iter() {
            match decoder.target(name, spec) {
                Ok(target) => {
                    self.warm_ups.record_registration(name, spec, target.cold);
                    registered.push(target);
                }
                Err(err) => failures.add(name, spec, err),
            }
        }
        self.targets.set_registered(now, registered);
        failures
    }

    /// Decodes the declared weights and returns them.
    pub(super) fn decode_weights(
        &mut self,
        now: Timestamp,
        decoder: &dyn Decoder,
    ) -> (Vec<DeclaredWeights>, DecodeFailures) {
        let mut failures = DecodeFailures::default();
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
                        let model = LogValue(model);
                        log::info!("event=weights_named model={model} version={version}");
                    }
                    read.push(declared);
                }
                Err(err) => failures.add(name, spec, err),
            }
        }
        self.weights_read = true;
        (read, failures)
    }

    /// Decodes the VMs of the entries; objects that cannot be decoded are skipped.
    pub(super) fn decode_members(&self) -> (Vec<Vm>, DecodeFailures) {
        let mut failures = DecodeFailures::default();
        let mut read = Vec::new();
        for (name, spec) in self.cache(WatchedKind::Members).iter() {
            match serde_json::from_value::<Vm>((**spec).clone()) {
                Ok(vm) => read.push(vm),
                Err(err) => failures.add(name, spec, err.to_string()),
            }
        }
        (read, failures)
    }
}
