//! The list of entries in the platform's store: how current it is, and removal of entries that are gone.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde_json::Value;

use crate::gateway::WatchedKind;
use crate::gateway::control::{Control, State};
use crate::peer::PeerLinks;
use crate::platform::{PlatformError, Vm};
use crate::prelude::*;
use crate::telemetry::LogValue;

/// Interval between two looks at who is out of touch; at most one entry is removed in each.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Time for which entries go by a list that the store has not confirmed.
const LIST_LIFETIME: Duration = Duration::from_mins(15);

impl State {
    /// Names of the other entries in the platform's store and of those that this one has met but that
    /// the store did not list yet; `None` while the list is not known, or was not confirmed for long.
    pub(crate) fn current_others(&self, now: Timestamp, own: &str) -> Option<BTreeSet<Name>> {
        let view = self.view(WatchedKind::Members);
        let is_listed = view.cache.revision() > 0;
        let is_current = now < view.freshness.confirmed_at() + LIST_LIFETIME;
        if !is_listed || !is_current {
            return None;
        }
        let listed = view.cache.iter().map(|(name, _)| name);
        let mut entries = self.unlisted_entries.with(listed, &self.peers);
        entries.remove(own);
        Some(entries)
    }

    /// Forgets the entries that were lost before the list was confirmed without them.
    pub(crate) fn expire_unlisted_entries(&mut self) {
        let confirmed_at = self.view(WatchedKind::Members).freshness.confirmed_at();
        self.unlisted_entries.confirm_list(confirmed_at);
    }

    /// Whether the platform's store lists the entries, but not the one named, or only an object under
    /// its name that is no VM of that name.
    fn lacks_entry(&self, name: &Name) -> bool {
        let cache = self.cache(WatchedKind::Members);
        let names_entry = |spec: &Value| Vm::deserialize(spec).is_ok_and(|vm| vm.name == *name);
        let mut objects = cache.iter();
        let is_listed = objects.any(|(listed, spec)| listed == name && names_entry(spec));
        cache.revision() > 0 && !is_listed
    }
}

impl Control {
    /// Whether this entry is missing from the platform's list, or cannot be read there.
    pub(crate) fn is_unlisted(&self) -> bool {
        self.state().lacks_entry(&self.name)
    }

    /// Removes entries from the platform's list that are gone for good, if this entry is the first live
    /// one by name and in touch with enough others; never returns.
    pub(crate) async fn run_member_cleanup(self: Arc<Self>) {
        loop {
            Self::sleep_with_jitter(CHECK_INTERVAL).await;
            let Some(gone) = self.gone_entry() else {
                continue;
            };
            let result = self.remove_entry(&gone).await;
            let done = result.is_ok();
            log::info!("event=entry_removed entry={} done={done}", LogValue(&gone));
        }
    }

    fn gone_entry(&self) -> Option<Name> {
        let now = self.now();
        let mut state = self.state();
        let others = state.current_others(now, &self.name).unwrap_or_default();
        let lease = state.fetch_lease(now, &self.name);
        let in_touch = lease.until.is_some_and(|until| now < until);
        let is_first = state.peers.iter().all(|peer| *peer > self.name);
        if !in_touch || !is_first {
            state.absent_entries.clear();
            return None;
        }
        let live = self.mesh.get().map(|mesh| mesh.live());
        let live = live.unwrap_or_default();
        let is_live = |name: &&Name| live.iter().any(|peer| peer.name == **name);
        let absent = others.iter().filter(|name| !is_live(name));
        state.absent_entries.record(now, absent)
    }

    /// Removes an entry that has not registered again meanwhile.
    async fn remove_entry(&self, name: &Name) -> Result<(), PlatformError> {
        let kind = self.decoder.kind(WatchedKind::Members);
        let Some(object) = self.platform.get(kind, name).await? else {
            return Ok(());
        };
        self.platform.delete(kind, name, object.version).await
    }
}
