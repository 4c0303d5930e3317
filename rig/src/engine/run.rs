//! One run of a request, which may outlive its connection.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_io::Timer;
use guavahold::prelude::Name;

/// Pause between two looks for a reading connection.
const POLL: Duration = Duration::from_millis(50);
/// Text by which the event behind the last token is known.
const FINAL: &str = "\"finish_reason\":\"stop\"";

#[derive(Debug, Default)]
struct Log {
    events: Vec<String>,
    done: bool,
    waiting: Vec<async_channel::Sender<()>>,
}

/// Events of a run, numbered from zero.
#[derive(Debug)]
pub struct Run {
    /// Request id.
    pub id: Name,
    /// Weight version that runs.
    pub weights: Name,
    log: Mutex<Log>,
    followers: AtomicUsize,
    cancelled: AtomicBool,
}

impl Run {
    /// Makes a run without events.
    #[must_use]
    pub fn new(id: Name, weights: Name) -> Self {
        Self {
            id,
            weights,
            log: Mutex::default(),
            followers: AtomicUsize::new(0),
            cancelled: AtomicBool::new(false),
        }
    }

    /// Appends an event.
    pub fn push(&self, event: String) {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.events.push(event);
        log.waiting.clear();
    }

    /// Ends the run.
    pub fn finish(&self) {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.done = true;
        log.waiting.clear();
    }

    /// Whether the run has ended.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).done
    }

    /// Whether the event behind the last token was the last.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.events.last().is_some_and(|event| event.contains(FINAL))
    }

    /// Cancels the run.
    pub fn cancel(&self) {
        self.cancelled.store(true, Ordering::Release);
    }

    /// Whether the run was cancelled.
    #[must_use]
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Acquire)
    }

    /// Waits for event `number`; `None` when the run ends before it.
    pub async fn event(&self, number: usize) -> Option<String> {
        loop {
            let rx = {
                let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
                if let Some(event) = log.events.get(number) {
                    return Some(event.clone());
                }
                if log.done {
                    return None;
                }
                let (tx, rx) = async_channel::bounded(1);
                log.waiting.push(tx);
                rx
            };
            let _ = rx.recv().await;
        }
    }

    /// Counts a connection that reads this run.
    #[must_use]
    pub fn follow(self: &Arc<Self>) -> Follower {
        self.followers.fetch_add(1, Ordering::AcqRel);
        Follower(self.clone())
    }

    /// Completes when no connection has read the run for `limit`.
    pub async fn orphaned(&self, limit: Duration) {
        let mut alone = Duration::ZERO;
        while alone < limit {
            Timer::after(POLL).await;
            if self.followers.load(Ordering::Acquire) == 0 {
                alone += POLL;
            } else {
                alone = Duration::ZERO;
            }
        }
    }
}

/// A connection that reads a run, while it lives.
#[derive(Debug)]
pub struct Follower(pub Arc<Run>);

impl Drop for Follower {
    fn drop(&mut self) {
        self.0.followers.fetch_sub(1, Ordering::AcqRel);
    }
}
