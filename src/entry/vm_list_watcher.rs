//! Watches the platform's list of VMs.

use std::collections::{BTreeMap, BTreeSet};

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{FutureExt, StreamExt};
use log::Level;

use crate::platform::{
    MAX_WATCH_SILENCE, Object, Platform, PlatformError, Version, Vm, WatchEvent, WatchTiming,
};
use crate::prelude::*;
use crate::telemetry::log_event;

/// Longest delay before the list is read again.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Delay after a watch that ended without an error; it doubles with each failure in a row.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Called with the whole list after each change.
type Publish = Box<dyn Fn(&BTreeMap<Name, Vm>) + Send + Sync>;

/// A copy of the VM list, which is kept while the platform is unreachable. An object that cannot be read
/// names no VM.
pub(crate) struct VmListWatcher {
    platform: Arc<dyn Platform>,
    vms: BTreeMap<Name, Vm>,
    /// Names of objects that cannot be read, each of which is logged once.
    unreadable: BTreeSet<Name>,
    publish: Publish,
    from_peers: Receiver<Vec<Vm>>,
}

impl VmListWatcher {
    /// Makes an empty list; `publish` is called after each change. Lists `from_peers` are used only
    /// while this entry's list is empty and the platform is not being watched.
    pub(crate) fn new(
        platform: Arc<dyn Platform>,
        from_peers: Receiver<Vec<Vm>>,
        publish: impl Fn(&BTreeMap<Name, Vm>) + Send + Sync + 'static,
    ) -> Self {
        Self {
            platform,
            vms: BTreeMap::new(),
            unreadable: BTreeSet::new(),
            publish: Box::new(publish),
            from_peers,
        }
    }

    /// Watches the list, with jittered exponential backoff after failures; never returns.
    pub(crate) async fn run(mut self) {
        let mut delay = MIN_RETRY_DELAY;
        loop {
            match self.list_and_watch().await {
                Ok(()) => delay = MIN_RETRY_DELAY,
                Err(err) => {
                    log_event(Level::Warn, "vm_list_failed", &[("error", &err)]);
                    delay = (delay * 2).min(MAX_RETRY_DELAY);
                }
            }
            let delay = Timer::after(delay.mul_f64(0.5 + fastrand::f64() / 2.0));
            let delay = async {
                delay.await;
            };
            delay.or(self.adopt_peer_list()).await;
        }
    }

    /// Adopts a peer's list while this entry's list is empty; never returns.
    async fn adopt_peer_list(&mut self) {
        while let Ok(vms) = self.from_peers.recv().await {
            if self.vms.is_empty() {
                self.vms = vms.into_iter().map(|vm| (vm.name.clone(), vm)).collect();
                log_event(
                    Level::Info,
                    "vm_list_from_peer",
                    &[("vms", &self.vms.len())],
                );
                (self.publish)(&self.vms);
            }
        }
        std::future::pending::<()>().await;
    }

    /// Reads the list, then watches it for changes until the watch ends.
    async fn list_and_watch(&mut self) -> Result<(), PlatformError> {
        let listing = self.platform.list(Vm::KIND).await?;
        let listed: BTreeSet<&Name> = listing.items.iter().map(|o| &o.name).collect();
        self.unreadable.retain(|name| listed.contains(name));
        let vms = listing.items.iter().filter_map(|o| self.decode(o));
        let vms = vms.map(|vm| (vm.name.clone(), vm)).collect();
        // An empty list is published too, because readiness requires that the list is known.
        if self.vms != vms || vms.is_empty() {
            self.vms = vms;
            (self.publish)(&self.vms);
        }
        self.watch(listing.version).await
    }

    async fn watch(&mut self, from: Version) -> Result<(), PlatformError> {
        let timing = WatchTiming::waiting(MAX_WATCH_SILENCE);
        let watch = self.platform.watch(Vm::KIND, None, from, timing);
        let mut events = watch.await?;
        while let Some(event) = events.next().await {
            match event? {
                WatchEvent::Put(object) => {
                    match self.decode(&object) {
                        Some(vm) => self.vms.insert(vm.name.clone(), vm),
                        None => self.vms.remove(&object.name),
                    };
                }
                WatchEvent::Deleted(object) => {
                    self.unreadable.remove(&object.name);
                    self.vms.remove(&object.name);
                }
                WatchEvent::Bookmark(_) | WatchEvent::Unreadable(_) => continue,
            }
            (self.publish)(&self.vms);
        }
        Ok(())
    }

    /// Decodes an object, and logs it once if that fails.
    fn decode(&mut self, object: &Object) -> Option<Vm> {
        match object.decode() {
            Ok(vm) => {
                self.unreadable.remove(&object.name);
                Some(vm)
            }
            Err(err) => {
                if self.unreadable.insert(object.name.clone()) {
                    let fields: [(&str, &dyn std::fmt::Display); 2] =
                        [("name", &object.name), ("error", &err)];
                    log_event(Level::Warn, "vm_unreadable", &fields);
                }
                None
            }
        }
    }
}
