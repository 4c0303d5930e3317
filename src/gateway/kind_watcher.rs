//! Watch of one kind of objects in the platform store.

mod catch_up;
mod failures;
mod hub_confirmed;

use async_io::Timer;
use catch_up::needs_listing;
use failures::Failures;
use hub_confirmed::WatchStep;

use crate::gateway::WatchedKind;
use crate::gateway::control::Control;
use crate::platform::{ListingStop, Platform, PlatformError, Version, WatchEvent, WatchTiming};
use crate::prelude::*;
use crate::store_view::ChangeTimes;

/// Maximum time without an answer while the entries are watched: they find each other by links.
const MEMBERS_MAX_SILENCE: Duration = Duration::from_secs(10);
/// The same for declared weights: requests may begin on older ones for some seconds.
const WEIGHTS_MAX_SILENCE: Duration = Duration::from_secs(4);
/// Pause after each batch of changes to the list of entries in a large system. Nothing waits for
/// them: an entry that starts connects to the others by itself.
const MEMBERS_BATCH_PAUSE: Duration = Duration::from_millis(3_500);

/// Interval at which changes are read while a listing does not come to its end.
const CHANGES_INTERVAL: Duration = Duration::from_millis(600);

/// What a watcher does next.
enum Step {
    /// Reads all objects.
    List,
    /// Waits for the changes after a version.
    Watch(Version),
    /// Reads the changes after a version at once, since its watch may not work.
    CatchUp(Version),
    /// Goes on with a listing of this version that takes long.
    ListOn(Version),
}

impl Step {
    fn into_version(self) -> Option<Version> {
        match self {
            Self::List => None,
            Self::Watch(version) | Self::CatchUp(version) | Self::ListOn(version) => Some(version),
        }
    }
}

/// The next step, or the version that was reached before a call failed; that of a listing which broke
/// off is its own.
type StepResult = Result<Step, (Option<Version>, PlatformError)>;

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
    /// Lists the objects and watches from that version; lists again when the version has expired or
    /// the changes cannot be read. Never returns.
    pub(crate) async fn run(self) {
        let mut step = Step::List;
        let mut failures = Failures::default();
        // Version up to which changes were applied after a listing that broke off.
        let mut incomplete = None;
        loop {
            let result = match &step {
                Step::List => self.list(&mut failures).await,
                Step::Watch(version) => self.watch(version).await,
                Step::CatchUp(version) => {
                    let caught_up = self.catch_up(version).await;
                    caught_up.map(Step::Watch).map_err(|err| (None, err))
                }
                Step::ListOn(version) => {
                    incomplete.get_or_insert_with(|| version.clone());
                    self.wait_to_list(Duration::ZERO, &mut incomplete).await;
                    Ok(Step::List)
                }
            };
            step = match result {
                Ok(next) => {
                    failures.record_success(&step);
                    if let Step::Watch(_) = next {
                        incomplete = None;
                    }
                    next
                }
                Err((reached, err)) => {
                    self.report_failure(&failures, &err);
                    if let Step::List = step {
                        incomplete = incomplete.or(reached);
                        let wait = failures.record_failure(&err);
                        self.wait_to_list(wait, &mut incomplete).await;
                        continue;
                    }
                    if reached.is_some() {
                        failures.record_progress();
                    }
                    back_off(failures.record_failure(&err)).await;
                    match reached.or(step.into_version()) {
                        Some(version) if !needs_listing(&err) => Step::CatchUp(version),
                        _ => Step::List,
                    }
                }
            };
        }
    }

    fn report_failure(&self, failures: &Failures, err: &PlatformError) {
        if *err != PlatformError::Expired {
            self.record_failure(self.control.now(), err);
        } else if failures.reports_listing() {
            log::info!("event=watch_expired kind={}", self.watched.as_str());
        }
    }

    /// Waits before the next listing. If the last one broke off, applies the changes after it
    /// meanwhile, which no listing may ever reach.
    async fn wait_to_list(&self, longest: Duration, incomplete: &mut Option<Version>) {
        let due_at = self.control.now() + random_wait(longest);
        loop {
            let left = due_at.saturating_sub(self.control.now());
            Timer::after(left.min(CHANGES_INTERVAL)).await;
            if let Some(from) = incomplete.take() {
                *incomplete = self.apply_changes(from).await;
            }
            if self.control.now() >= due_at {
                return;
            }
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

    async fn list(&self, failures: &mut Failures) -> StepResult {
        let kind = self.control.decoder.kind(self.watched);
        let began_at = self.control.now();
        let listed = self.platform.list(kind).await;
        let kind = self.watched.as_str();
        let took_ms = self.control.now().saturating_sub(began_at).as_millis();
        let listing = listed.map_err(|err| {
            if failures.is_new(&err) {
                let error = err.to_string();
                log::warn!("event=listing_failed kind={kind} took_ms={took_ms} error={error:?}");
            }
            (None, err)
        })?;
        let (objects, pages) = (listing.items.len(), listing.pages);
        let counter = &self.control.shared.metrics.listing_pages;
        counter.with_label_values(&[kind]).inc_by(pages.into());
        let Some(stop) = listing.stop else {
            if failures.reports_listing() {
                let unreadable = listing.unreadable.count();
                log::info!(
                    "event=listed kind={kind} objects={objects} pages={pages} \
                     unreadable={unreadable} took_ms={took_ms}"
                );
            }
            let version = listing.version.clone();
            self.control.apply_listing(self.watched, listing);
            return Ok(Step::Watch(version));
        };
        let version = listing.version.clone();
        if stop == ListingStop::Paused {
            log::info!("event=listing_paused kind={kind} objects={objects} pages={pages}");
            self.control.apply_incomplete_listing(self.watched, listing);
            return Ok(Step::ListOn(version));
        }
        let err = PlatformError::Unreadable(format!("listing broken off: {stop}"));
        if failures.is_new(&err) {
            let stop = stop.to_string();
            log::warn!(
                "event=listing_incomplete kind={kind} objects={objects} pages={pages} \
                 took_ms={took_ms} reason={stop:?}"
            );
        }
        self.control.apply_incomplete_listing(self.watched, listing);
        Err((Some(version), err))
    }

    /// Times of the watch. A call that the store took and never answers must not hide a change for
    /// longer than entries have to catch up.
    fn times(&self, uses_hubs: bool) -> ChangeTimes {
        let pause = self.batch_pause();
        let deadline = match self.watched {
            WatchedKind::Routes | WatchedKind::Targets => self.control.recovery_deadline,
            WatchedKind::Evacuations => self.control.evacuation_silence_limit(),
            WatchedKind::Weights => return ChangeTimes::with_silence(WEIGHTS_MAX_SILENCE, pause),
            WatchedKind::Members => return ChangeTimes::with_silence(MEMBERS_MAX_SILENCE, pause),
        };
        if uses_hubs {
            ChangeTimes::within_beside_hubs(deadline)
        } else {
            ChangeTimes::within(deadline)
        }
    }

    /// Records a failed call, which the store had not answered by `failed_at`.
    fn record_failure(&self, failed_at: Timestamp, err: &PlatformError) {
        let uses_hubs = self.control.state().uses_hubs();
        let longest_wait = WatchTiming::waiting(self.times(uses_hubs).max_silence).wait;
        self.control
            .record_store_failure(self.watched, failed_at, longest_wait, err);
    }

    /// Applies changes until the watch ends; errors include the version that was reached.
    async fn watch(&self, from: &Version) -> StepResult {
        let kind = self.control.decoder.kind(self.watched);
        let hub = self.control.state().confirming_hub().cloned();
        let watch_time = self.watch_time(hub.is_some());
        let timing = WatchTiming::waiting(watch_time);
        let stream = self.platform.watch(kind, None, from.clone(), timing).await;
        let mut stream = stream.map_err(|err| (None, err))?;
        let mut reached = None;
        loop {
            let event = match self.next_event(&mut stream, hub.as_ref()).await {
                WatchStep::Event(event) => event.map_err(|err| (reached.clone(), err))?,
                WatchStep::Ended => break,
                WatchStep::Doubted => {
                    return Ok(Step::CatchUp(reached.unwrap_or_else(|| from.clone())));
                }
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
            let has_other_hub = hub.as_ref() != self.control.state().confirming_hub();
            if batch_ended && (has_other_hub || watch_time != self.watch_time(hub.is_some())) {
                break;
            }
        }
        Ok(Step::Watch(reached.unwrap_or_else(|| from.clone())))
    }
}

/// Waits with a random delay below a bound.
async fn back_off(longest: Duration) {
    Timer::after(random_wait(longest)).await;
}

fn random_wait(longest: Duration) -> Duration {
    longest.mul_f64(0.5 + fastrand::f64() / 2.0)
}
