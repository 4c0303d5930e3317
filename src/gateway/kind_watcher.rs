//! Watch of one kind of objects in the platform store.

mod catch_up;
mod hub_confirmed;

use async_io::Timer;
use hub_confirmed::WatchStep;

use crate::gateway::WatchedKind;
use crate::gateway::control::Control;
use crate::platform::{Platform, PlatformError, Version, WatchEvent, WatchTiming};
use crate::prelude::*;

/// Backoff after the first failed call, doubled after each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// Maximum backoff after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Maximum time without an answer while the entries are watched: they find each other by links.
const MEMBERS_MAX_SILENCE: Duration = Duration::from_secs(10);
/// The same for declared weights: requests may begin on older ones for some seconds.
const WEIGHTS_MAX_SILENCE: Duration = Duration::from_secs(4);
/// Part of the recovery deadline for opening a failed watch again and for applying its changes.
const RECOVERY_RESERVE: Duration = Duration::from_millis(900);
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
                Some(version) if failures > 0 => {
                    let caught_up = self.catch_up(version).await;
                    caught_up.map_err(|err| (None, err))
                }
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
                    self.record_failure(self.control.now(), &err);
                    reached
                }
            };
            if reached.is_some() {
                failures = 0;
                from = reached.filter(|_| from.is_some());
            }
            back_off(failures).await;
            failures += 1;
        }
    }

    /// Pause after each batch of changes in a large system, in which changes accumulate for the next
    /// batch: each call to the platform has a price.
    fn batch_pause(&self) -> Duration {
        match self.watched {
            WatchedKind::Members => MEMBERS_BATCH_PAUSE,
            // They change seldom, and each change is urgent.
            WatchedKind::Evacuations => Duration::ZERO,
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

    /// Maximum time without an answer of the store. A call that it took and never answers must not
    /// hide a change for longer than entries have to catch up.
    fn max_silence(&self) -> Duration {
        match self.watched {
            WatchedKind::Routes | WatchedKind::Targets => self
                .control
                .recovery_deadline
                .saturating_sub(RECOVERY_RESERVE),
            WatchedKind::Evacuations => self
                .control
                .evacuation_silence_limit()
                .saturating_sub(RECOVERY_RESERVE),
            WatchedKind::Weights => WEIGHTS_MAX_SILENCE,
            WatchedKind::Members => MEMBERS_MAX_SILENCE,
        }
    }

    /// Records a failed call, which the store had not answered by `failed_at`.
    fn record_failure(&self, failed_at: Timestamp, err: &PlatformError) {
        let longest_wait = WatchTiming::waiting(self.max_silence()).wait;
        self.control
            .record_store_failure(self.watched, failed_at, longest_wait, err);
    }

    /// Applies changes until the watch ends; errors include the version that was reached.
    async fn watch(&self, from: &Version) -> Result<Version, (Option<Version>, PlatformError)> {
        let kind = self.control.decoder.kind(self.watched);
        let hub_confirms = self.control.state().has_confirming_hub();
        let timing = WatchTiming::waiting(self.watch_time(hub_confirms));
        let stream = self.platform.watch(kind, None, from.clone(), timing).await;
        let mut stream = stream.map_err(|err| (None, err))?;
        let mut reached = None;
        loop {
            let event = match self.next_event(&mut stream, hub_confirms).await {
                WatchStep::Event(event) => event.map_err(|err| (reached.clone(), err))?,
                WatchStep::Ended => break,
            };
            let batch_ended = matches!(event, WatchEvent::Bookmark(_));
            if let WatchEvent::Bookmark(version) = &event {
                reached = Some(version.clone());
            }
            self.control.apply_event(self.watched, event);
            if batch_ended && self.control.state().uses_hubs() {
                Timer::after(self.batch_pause()).await;
            }
            // The timing of an open watch cannot change, so a new watch is opened.
            if batch_ended && hub_confirms != self.control.state().has_confirming_hub() {
                break;
            }
        }
        Ok(reached.unwrap_or_else(|| from.clone()))
    }
}

/// Waits with a random delay below a bound that doubles with each failure.
async fn back_off(failures: u32) {
    let uncapped = INITIAL_BACKOFF * 2_u32.saturating_pow(failures.min(8));
    let pause = uncapped.min(MAX_BACKOFF);
    Timer::after(pause.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
}
