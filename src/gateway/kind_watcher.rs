//! Watch of one kind of objects in the platform store.

use async_io::Timer;
use futures_lite::StreamExt;

use crate::gateway::WatchedKind;
use crate::gateway::control::Control;
use crate::platform::{Platform, PlatformError, Version, WatchEvent};
use crate::prelude::*;

/// Backoff after the first failed call, doubled after each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// Maximum backoff after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Pause after each batch of changes to the list of entries in a large system. Nothing waits for
/// them: an entry that starts connects to the others by itself.
const MEMBERS_BATCH_PAUSE: Duration = Duration::from_millis(3_500);

/// Keeps the control's cache of one kind up to date.
pub(crate) struct KindWatcher {
    /// Kind of objects.
    pub watched: WatchedKind,
    /// Client of the platform store.
    pub platform: Arc<dyn Platform>,
    /// Control tasks, which apply listings and changes.
    pub control: Arc<Control>,
}

impl KindWatcher {
    /// Lists the objects and watches from that version; lists again when the version has expired.
    /// Never returns.
    pub(crate) async fn run(self) {
        let mut from = None;
        let mut failures = 0;
        loop {
            let result = match &from {
                None => self.list().await,
                Some(version) => self.watch(version).await,
            };
            let reached = match result {
                Ok(version) => {
                    failures = 0;
                    from = Some(version);
                    continue;
                }
                Err((reached, PlatformError::Expired)) => {
                    log::info!("event=watch_expired kind={}", self.watched.as_str());
                    from = None;
                    reached
                }
                Err((reached, err)) => {
                    self.control.record_store_failure(self.watched, &err);
                    reached
                }
            };
            if reached.is_some() {
                failures = 0;
                from = reached.filter(|_| from.is_some());
            }
            self.back_off(failures).await;
            failures += 1;
        }
    }

    async fn back_off(&self, failures: u32) {
        let uncapped = INITIAL_BACKOFF * 2_u32.saturating_pow(failures.min(8));
        let pause = uncapped.min(MAX_BACKOFF);
        Timer::after(pause.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
    }

    /// Pause after each batch of changes in a large system, in which changes accumulate for the next
    /// batch: each call to the platform has a price.
    fn batch_pause(&self) -> Duration {
        match self.watched {
            WatchedKind::Members => MEMBERS_BATCH_PAUSE,
            _ => self.control.batch_pause,
        }
    }

    async fn list(&self) -> Result<Version, (Option<Version>, PlatformError)> {
        let kind = self.control.decoder.kind(self.watched);
        let listing = self.platform.list(kind).await.map_err(|err| (None, err))?;
        let version = listing.version.clone();
        self.control.apply_listing(self.watched, listing);
        Ok(version)
    }

    /// Applies changes until the watch ends; errors include the version that was reached.
    async fn watch(&self, from: &Version) -> Result<Version, (Option<Version>, PlatformError)> {
        let kind = self.control.decoder.kind(self.watched);
        let stream = self.platform.watch(kind, None, from.clone()).await;
        let mut stream = stream.map_err(|err| (None, err))?;
        let mut reached = None;
        while let Some(event) = stream.next().await {
            let event = event.map_err(|err| (reached.clone(), err))?;
            let batch_ended = matches!(event, WatchEvent::Bookmark(_));
            if let WatchEvent::Bookmark(version) = &event {
                reached = Some(version.clone());
            }
            self.control.apply_event(self.watched, event);
            if batch_ended && self.control.state().uses_hubs() {
                Timer::after(self.batch_pause()).await;
            }
        }
        Ok(reached.unwrap_or_else(|| from.clone()))
    }
}
