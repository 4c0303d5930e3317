//! Watches that stay open for long because a hub confirms that the objects are current.
//!
//! A watch without events may be idle or broken, so it has to be renewed at short intervals, which
//! costs each entry of a large system a call. The hub of the failure domain makes these calls and
//! tells its entries which change is the newest. An entry renews its watch before
//! [`CONFIRMED_WATCH_TIME`] only if it has missed that change, if the hub stops confirming, or if
//! there is another hub.

use async_io::Timer;
use futures_lite::{FutureExt, StreamExt};

use super::KindWatcher;
use crate::platform::{PlatformError, WatchEvent, WatchStream};
use crate::prelude::*;
use crate::store_view::{HUB_CHECK_INTERVAL, OpenWatch, Replacement};

/// Longest time without an answer of the store while a hub confirms the objects. It is limited, so
/// that an entry does not rely on its hub alone for long.
const CONFIRMED_WATCH_TIME: Duration = Duration::from_secs(15);

/// Result of waiting for the next event of a watch.
pub(super) enum WatchStep {
    /// An event, or the failure of the watch.
    Event(Result<WatchEvent, PlatformError>),
    /// The watch ended, so it has to be opened again.
    Ended,
    /// The watch may not work, so what has changed is to be read at once.
    Doubted,
}

impl KindWatcher {
    /// Time for which a watch may wait for an answer of the store, by whether a hub confirms the
    /// objects meanwhile.
    pub(super) fn watch_time(&self, hub_confirms: bool) -> Duration {
        if hub_confirms {
            CONFIRMED_WATCH_TIME
        } else {
            let uses_hubs = self.control.state().uses_hubs();
            self.times(uses_hubs).max_silence
        }
    }

    /// Waits for the next event of a watch. If a hub confirms the objects, stops waiting when the
    /// watch has missed a change, the confirmations stop, or the hub is another one.
    pub(super) async fn next_event(
        &self,
        stream: &mut WatchStream,
        hub: Option<&Name>,
    ) -> WatchStep {
        let event = async {
            stream
                .next()
                .await
                .map_or(WatchStep::Ended, WatchStep::Event)
        };
        match hub {
            Some(hub) => event.or(self.until_doubted(hub)).await,
            None => event.await,
        }
    }

    /// Completes when the watch has missed a change, when neither the store nor the hub has confirmed
    /// the objects for too long, or when there is another hub.
    async fn until_doubted(&self, hub: &Name) -> WatchStep {
        let mut watch = OpenWatch::new(self.control.now(), Some(hub));
        loop {
            Timer::after(HUB_CHECK_INTERVAL).await;
            let now = self.control.now();
            let state = self.control.state();
            let view = state.view(self.watched);
            let times = self.times(state.uses_hubs());
            let verdict = watch.check(now, view, state.confirming_hub(), &times);
            let Some(replacement) = verdict.replacement() else {
                continue;
            };
            log::info!(
                "event=watch_doubted kind={} reason={} open_ms={} revision={} hub_change={} by={} \
                 unconfirmed_ms={}",
                self.watched.as_str(),
                verdict.as_str(),
                watch.age(now).as_millis(),
                view.cache.revision(),
                view.freshness.peer_change(),
                view.freshness.confirmed_by(),
                now.saturating_sub(view.freshness.confirmed_at())
                    .as_millis()
            );
            return match replacement {
                Replacement::CatchUp => WatchStep::Doubted,
                Replacement::Fail => {
                    let err = PlatformError::Unanswered("no response in time".into());
                    WatchStep::Event(Err(err))
                }
            };
        }
    }
}
