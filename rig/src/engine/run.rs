//! Runs of requests, which can outlive the connection that started them.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_io::Timer;
use guavahold::prelude::Name;

/// Interval at which an orphaned run is checked for readers.
const READER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Text that identifies the stop event, which follows the last token.
const STOP_EVENT_MARKER: &str = "\"finish_reason\":\"stop\"";

#[derive(Debug, Default)]
struct EventLog {
    events: Vec<String>,
    done: bool,
    waiters: Vec<async_channel::Sender<()>>,
}

/// A run and its events, numbered from zero.
#[derive(Debug)]
pub struct Run {
    /// Request id.
    pub id: Name,
    /// Weight version that generates the tokens.
    pub weights: Name,
    log: Mutex<EventLog>,
    readers: AtomicUsize,
    cancelled: AtomicBool,
}

impl Run {
    /// Creates a run without events.
    #[must_use]
    pub fn new(id: Name, weights: Name) -> Self {
        Self {
            id,
            weights,
            log: Mutex::default(),
            readers: AtomicUsize::new(0),
            cancelled: AtomicBool::new(false),
        }
    }

    /// Appends an event.
    pub fn push(&self, event: String) {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.events.push(event);
        log.waiters.clear();
    }

    /// Marks the run as ended and wakes all readers.
    pub fn finish(&self) {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.done = true;
        log.waiters.clear();
    }

    /// Whether the run has ended.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).done
    }

    /// Whether the run generated all its tokens and the stop event.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.events
            .last()
            .is_some_and(|event| event.contains(STOP_EVENT_MARKER))
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

    /// Waits for the event with number `index`; `None` if the run ends before it.
    pub async fn event(&self, index: usize) -> Option<String> {
        loop {
            let rx = {
                let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
                if let Some(event) = log.events.get(index) {
                    return Some(event.clone());
                }
                if log.done {
                    return None;
                }
                let (tx, rx) = async_channel::bounded(1);
                log.waiters.push(tx);
                rx
            };
            let _ = rx.recv().await;
        }
    }

    /// Registers a connection that reads the events, until the returned reader is dropped.
    #[must_use]
    pub fn attach_reader(self: &Arc<Self>) -> RunReader {
        self.readers.fetch_add(1, Ordering::AcqRel);
        RunReader(self.clone())
    }

    /// Waits until the run has had no reader for `limit`.
    pub async fn wait_orphaned(&self, limit: Duration) {
        let mut unread_for = Duration::ZERO;
        while unread_for < limit {
            Timer::after(READER_POLL_INTERVAL).await;
            if self.readers.load(Ordering::Acquire) == 0 {
                unread_for += READER_POLL_INTERVAL;
            } else {
                unread_for = Duration::ZERO;
            }
        }
    }
}

/// Keeps a run counted as read until dropped.
#[derive(Debug)]
pub struct RunReader(pub Arc<Run>);

impl Drop for RunReader {
    fn drop(&mut self) {
        self.0.readers.fetch_sub(1, Ordering::AcqRel);
    }
}
