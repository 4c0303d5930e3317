//! Configurations that come into force.

use std::collections::BTreeSet;

use crate::context_store::{StoreInfo, StoreWatcher};
use crate::gateway::WatchedKind;
use crate::gateway::control::decoding::DecodeFailures;
use crate::gateway::control::{Control, State};
use crate::prelude::*;
use crate::route::RouteTable;
use crate::supervisor::SupervisedTask;
use crate::telemetry::LogValue;

impl Control {
    /// Applies the newest configuration; one that is not newer than the current one is ignored.
    pub(super) fn apply_routes(self: &Arc<Self>, state: &mut State) {
        let known = self.shared.routes.load().as_ref().map(|t| t.version);
        let mut failures = DecodeFailures::default();
        for (name, spec) in state.cache(WatchedKind::Routes).iter() {
            match self.decoder.routes(name, spec) {
                Ok(Some(table)) if known.is_none_or(|known| table.version > known) => {
                    log::info!("event=config_in_force version={}", table.version);
                    let version = i64::try_from(table.version).unwrap_or(i64::MAX);
                    self.shared.metrics.config_version.set(version);
                    self.watch_stores(&table);
                    self.report_unknown_regions(&table);
                    self.report_unservable_bodies(table.limits.body_bytes);
                    self.shared.routes.store(Some(Arc::new(table)));
                }
                Ok(_) => {}
                Err(err) => failures.add(name, spec, err),
            }
        }
        self.report_undecodable(state, WatchedKind::Routes, &failures);
    }

    /// Logs the regions that routes and customers allow and that have no known failure domain: no
    /// request can be processed there.
    fn report_unknown_regions(&self, table: &RouteTable) {
        let routes = table.routes().flat_map(|r| &r.allowed_regions);
        let customers = table.key_holders().flat_map(|h| &h.allowed_regions);
        let regions: BTreeSet<&Name> = routes.chain(customers).collect();
        for region in regions {
            if !self.shared.regions.has_region(region) {
                log::warn!("event=allowed_region_unknown region={}", LogValue(region));
            }
        }
    }

    /// Logs that bodies up to the configured limit do not fit in this VM's memory for requests.
    fn report_unservable_bodies(&self, max_body_bytes: usize) {
        let room = self.shared.intake.limits().large_bytes();
        if max_body_bytes > room {
            log::warn!(
                "event=body_limit_exceeds_memory max_body_bytes={max_body_bytes} room_bytes={room}"
            );
        }
    }

    /// Watches the context stores that a configuration lists.
    fn watch_stores(self: &Arc<Self>, table: &RouteTable) {
        let services = table.services();
        let stores: Vec<_> = services
            .filter_map(|s| {
                Some(StoreInfo {
                    address: s.store_address?,
                    capacity: s.context_tokens,
                    domain: s.store_domain.clone(),
                })
            })
            .collect();
        for store in self.shared.store_directory().set_stores(&stores) {
            let control = self.clone();
            let task = SupervisedTask::retried("context_store_watch").may_return();
            self.supervisor.keep(task, move || {
                let watcher = StoreWatcher {
                    store,
                    stores: control.stores.clone(),
                    directory: control.shared.store_directory.clone(),
                    origin: control.shared.origin,
                    fetch_clock: control.shared.fetch_clock.clone(),
                    relay: control.clone(),
                };
                watcher.run()
            });
        }
    }
}
