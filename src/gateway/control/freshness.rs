//! How recently the objects of each kind were confirmed, by the store or by way of a hub.

use crate::gateway::WatchedKind;
use crate::gateway::control::{Control, State};
use crate::peer::KindConfirmation;
use crate::prelude::*;
use crate::store_view::ConfirmedBy;

/// Time without a confirmation of entries or declared weights that is logged.
const SLOW_KIND_LIMIT: Duration = Duration::from_secs(15);

impl Control {
    /// Records that the store or a peer confirmed the objects of a kind.
    pub(crate) fn confirm_objects(&self, state: &mut State, watched: WatchedKind, by: ConfirmedBy) {
        let kind = watched.as_str();
        let view = state.view_mut(watched);
        if let Some(silence) = view.confirm(self.now(), by) {
            let by = view.freshness.confirmed_by();
            let silent_ms = silence.as_millis();
            log::info!("event=objects_confirmed kind={kind} by={by} silent_ms={silent_ms}");
        }
    }

    /// Logs each kind whose objects have newly not been confirmed for too long.
    pub(crate) fn log_overdue_objects(&self, state: &mut State) {
        let now = self.now();
        let config = self.shared.routes.load().as_ref().map_or(0, |t| t.version);
        for watched in self.watched_kinds() {
            let limit = self.confirmation_limit(watched);
            let revision = state.cache(watched).revision();
            let freshness = &mut state.view_mut(watched).freshness;
            let Some(silence) = freshness.newly_overdue(now, limit) else {
                continue;
            };
            log::info!(
                "event=objects_unconfirmed kind={} config={config} revision={revision} \
                 peer_revision={} by={} silent_ms={}",
                watched.as_str(),
                freshness.peer_revision(),
                freshness.confirmed_by(),
                silence.as_millis()
            );
        }
    }

    fn confirmation_limit(&self, watched: WatchedKind) -> Duration {
        match watched {
            WatchedKind::Routes | WatchedKind::Targets => self.recovery_deadline + self.batch_pause,
            WatchedKind::Evacuations => self.evacuation_silence_limit(),
            WatchedKind::Weights | WatchedKind::Members => SLOW_KIND_LIMIT,
        }
    }
}

impl State {
    /// The hub that tells this entry how recently the store confirmed objects, so that an idle watch
    /// need not be renewed to find out whether it works; `None` if there is none or this entry is it.
    pub(crate) fn confirming_hub(&self) -> Option<&Name> {
        let hub = self.hub_selector.current();
        hub.filter(|_| self.uses_hubs())
    }

    /// What the store has confirmed to this entry, for its peers; empty unless it is a hub.
    pub(super) fn confirmations(&self, now: Timestamp) -> Vec<Option<KindConfirmation>> {
        if !self.uses_hubs() || self.hub_selector.current().is_some() {
            return Vec::new();
        }
        let kinds = self.views.iter().map(|view| view.confirmation(now));
        kinds.collect()
    }

    /// Records a hub's confirmations.
    pub(super) fn observe_confirmations(
        &mut self,
        now: Timestamp,
        peer: &Name,
        confirmations: &[Option<KindConfirmation>],
    ) {
        for (view, confirmation) in self.views.iter_mut().zip(confirmations) {
            if let Some(confirmation) = confirmation {
                view.observe_confirmation(now, peer, confirmation);
            }
        }
    }
}
