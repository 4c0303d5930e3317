//! Reading of what has changed while calls to the platform store failed.
//!
//! A store that has gone silent cannot be told from one that answers late. So another call is made
//! beside those that wait for an answer, and the first answer counts.

use std::collections::VecDeque;

use async_executor::Task;
use async_io::Timer;
use futures_lite::{FutureExt, StreamExt};

use super::{KindWatcher, back_off};
use crate::platform::{PlatformError, Version, WatchEvent, WatchTiming};
use crate::prelude::*;
use crate::store_view::{CATCH_UP_INTERVAL, back_off_time};

/// Time for which an answer is awaited.
const MAX_SILENCE: Duration = Duration::from_secs(6);
/// Most calls that wait for an answer.
const MAX_CALLS: usize = 4;

/// The answer to a call: changes, of which the last is a bookmark.
type Answer = Result<Vec<WatchEvent>, PlatformError>;

/// Whether changes cannot be read after the version of a call that failed.
pub(super) fn needs_listing(err: &PlatformError) -> bool {
    *err == PlatformError::Expired || err.would_recur()
}

impl KindWatcher {
    /// Applies the changes after a version that the store has now, and returns the version reached.
    /// Calls until an answer comes, or until the store no longer has those changes or they cannot be
    /// read.
    pub(super) async fn catch_up(&self, from: &Version) -> Result<Version, PlatformError> {
        let (tx, answers) = async_channel::unbounded();
        // Dropping a task cancels its call.
        let mut calls: VecDeque<Task<()>> = VecDeque::new();
        let mut failures = 0;
        loop {
            let called_at = self.control.now();
            let answer = self.call(from.clone());
            let tx = tx.clone();
            calls.push_back(self.control.supervisor.executor().spawn(async move {
                let _ = tx.send(answer.await).await;
            }));
            if calls.len() > MAX_CALLS {
                calls.pop_front();
            }
            let next = async { answers.recv().await.ok() };
            let interval = async {
                Timer::after(CATCH_UP_INTERVAL).await;
                None
            };
            match next.or(interval).await {
                Some(Ok(events)) => return Ok(self.apply_all(from, events)),
                Some(Err(err)) if needs_listing(&err) => return Err(err),
                Some(Err(err)) => {
                    self.record_failure(self.control.now(), &err);
                    failures += 1;
                    back_off(back_off_time(failures)).await;
                }
                None => {
                    let err = PlatformError::Unanswered("no response in time".into());
                    self.record_failure(called_at, &err);
                }
            }
        }
    }

    /// Applies the changes after a version that the store has now and returns the version reached;
    /// `None` if the store no longer has them or they cannot be read.
    pub(super) async fn apply_changes(&self, from: Version) -> Option<Version> {
        match self.call(from.clone()).await {
            Ok(events) => Some(self.apply_all(&from, events)),
            Err(err) if needs_listing(&err) => None,
            Err(_) => Some(from),
        }
    }

    /// Reads the changes after a version, up to a bookmark.
    fn call(&self, from: Version) -> impl Future<Output = Answer> + use<> {
        let platform = self.platform.clone();
        let kind = self.control.decoder.kind(self.watched);
        async move {
            let timing = WatchTiming::at_once(MAX_SILENCE);
            let mut stream = platform.watch(kind, None, from, timing).await?;
            let mut events = Vec::new();
            while let Some(event) = stream.next().await {
                let event = event?;
                let ended = matches!(event, WatchEvent::Bookmark(_));
                events.push(event);
                if ended {
                    break;
                }
            }
            Ok(events)
        }
    }

    /// Applies the events of an answer and returns the version reached. Of an answer that is older
    /// than what a peer has told since, only the bookmark counts.
    fn apply_all(&self, from: &Version, mut events: Vec<WatchEvent>) -> Version {
        let reached = match events.last() {
            Some(WatchEvent::Bookmark(version)) => version.clone(),
            _ => from.clone(),
        };
        let is_outdated = {
            let state = self.control.state();
            state.cache(self.watched).is_ahead_of(&reached)
        };
        if is_outdated {
            events.retain(|event| matches!(event, WatchEvent::Bookmark(_)));
        }
        for event in events {
            self.control.apply_event(self.watched, event);
        }
        reached
    }
}
