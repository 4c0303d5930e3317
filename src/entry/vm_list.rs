//! Follows the platform's list of VMs.

use std::collections::BTreeMap;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{FutureExt, StreamExt};
use log::Level;

use crate::platform::{Platform, PlatformError, Version, Vm, WatchEvent};
use crate::prelude::*;
use crate::telemetry::log_event;

/// Longest pause before the list is asked for again.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// First pause after a failure.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Receives the whole list with each change.
type Publish = Box<dyn Fn(&BTreeMap<Name, Vm>) + Send + Sync>;

/// A copy of the VM list that outlives outages of the platform.
pub(crate) struct VmList {
    platform: Arc<dyn Platform>,
    vms: BTreeMap<Name, Vm>,
    publish: Publish,
    from_peers: Receiver<Vec<Vm>>,
}

impl VmList {
    /// Makes an empty list; `publish` is called with each change. Lists `from_peers` count only
    /// until the platform has answered.
    pub(crate) fn new(
        platform: Arc<dyn Platform>,
        from_peers: Receiver<Vec<Vm>>,
        publish: impl Fn(&BTreeMap<Name, Vm>) + Send + Sync + 'static,
    ) -> Self {
        Self {
            platform,
            vms: BTreeMap::new(),
            publish: Box::new(publish),
            from_peers,
        }
    }

    /// Follows the list for ever; failures are retried after a jittered exponential delay.
    pub(crate) async fn run(mut self) {
        let mut pause = MIN_PAUSE;
        loop {
            match self.follow().await {
                Ok(()) => pause = MIN_PAUSE,
                Err(err) => {
                    log_event(Level::Warn, "vm_list_failed", &[("error", &err)]);
                    pause = (pause * 2).min(MAX_PAUSE);
                }
            }
            let pause = Timer::after(pause.mul_f64(0.5 + fastrand::f64() / 2.0));
            let pause = async {
                pause.await;
            };
            pause.or(self.hear_peers()).await;
        }
    }

    /// Takes over the list of a peer while there is none.
    async fn hear_peers(&mut self) {
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

    /// Lists and watches until the watch ends.
    async fn follow(&mut self) -> Result<(), PlatformError> {
        let listing = self.platform.list(Vm::KIND).await?;
        let vms = listing.items.iter().filter_map(|o| o.decode::<Vm>().ok());
        let vms = vms.map(|vm| (vm.name.clone(), vm)).collect();
        if self.vms != vms || vms.is_empty() {
            self.vms = vms;
            (self.publish)(&self.vms);
        }
        self.watch(listing.version).await
    }

    async fn watch(&mut self, from: Version) -> Result<(), PlatformError> {
        let mut events = self.platform.watch(Vm::KIND, None, from).await?;
        while let Some(event) = events.next().await {
            match event? {
                WatchEvent::Put(object) => {
                    if let Ok(vm) = object.decode::<Vm>() {
                        self.vms.insert(vm.name.clone(), vm);
                    }
                }
                WatchEvent::Deleted(object) => {
                    self.vms.remove(&object.name);
                }
                WatchEvent::Bookmark(_) => continue,
            }
            (self.publish)(&self.vms);
        }
        Ok(())
    }
}
