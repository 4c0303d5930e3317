//! Coarse timeouts for waits that rarely expire.
//!
//! Setting a timer of the reactor wakes the reactor's thread. A request sets half a dozen timeouts
//! that almost never expire, so these are kept in a map instead, which one thread checks at a fixed
//! interval.

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Interval at which expired sleeps are woken; a sleep ends up to this much late.
const WAKE_INTERVAL: Duration = Duration::from_millis(20);

/// Deadline of a sleep and a number that tells apart sleeps with the same deadline.
type Key = (Instant, u64);

#[derive(Debug, Default)]
struct PendingSleeps {
    wakers: Mutex<BTreeMap<Key, Waker>>,
    next_id: AtomicU64,
    /// Whether the thread is started.
    running: AtomicBool,
}

impl PendingSleeps {
    /// Returns the map of this process and starts its thread on first use.
    fn get() -> &'static Self {
        let started = start_coarse_clock();
        assert!(
            started.is_ok(),
            "the thread of the coarse clock cannot be started"
        );
        Self::of_process()
    }

    fn of_process() -> &'static Self {
        static PENDING: OnceLock<PendingSleeps> = OnceLock::new();
        PENDING.get_or_init(Self::default)
    }

    /// Starts the thread unless it runs.
    fn start(&'static self) -> io::Result<()> {
        if self.running.load(Ordering::Acquire) {
            return Ok(());
        }
        // The lock keeps two callers from starting a thread each.
        let _wakers = self.lock();
        if self.running.load(Ordering::Acquire) {
            return Ok(());
        }
        let builder = std::thread::Builder::new().name("coarse-clock".into());
        builder.spawn(|| {
            loop {
                std::thread::sleep(WAKE_INTERVAL);
                self.wake_expired();
            }
        })?;
        self.running.store(true, Ordering::Release);
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Key, Waker>> {
        self.wakers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake_expired(&self) {
        let expired = {
            let mut wakers = self.lock();
            let later = wakers.split_off(&(Instant::now(), u64::MAX));
            std::mem::replace(&mut *wakers, later)
        };
        for waker in expired.into_values() {
            // A waker that panics must not end the timeouts of all others.
            let _ = catch_unwind(AssertUnwindSafe(|| waker.wake()));
        }
    }
}

/// Starts the thread that ends sleeps. A program calls it before its first sleep, which panics where
/// the system refuses the thread.
///
/// # Errors
/// When the system refuses the thread.
pub fn start_coarse_clock() -> io::Result<()> {
    PendingSleeps::of_process().start().map_err(|err| {
        let reason = format!("cannot start thread coarse-clock: {err}");
        io::Error::new(err.kind(), reason)
    })
}

/// Completes once `time` has passed, up to 20 ms late; `time` is capped at a year, so that the
/// deadline does not overflow.
#[must_use]
pub fn coarse_sleep(time: Duration) -> CoarseSleep {
    let now = Instant::now();
    let max_time = Duration::from_hours(24 * 365);
    CoarseSleep {
        deadline: now + time.min(max_time),
        key: None,
    }
}

/// Future returned by [`coarse_sleep`].
#[derive(Debug)]
pub struct CoarseSleep {
    deadline: Instant,
    key: Option<Key>,
}

impl Future for CoarseSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.deadline {
            return Poll::Ready(());
        }
        let pending = PendingSleeps::get();
        let deadline = self.deadline;
        let key = *self
            .key
            .get_or_insert_with(|| (deadline, pending.next_id.fetch_add(1, Ordering::Relaxed)));
        let mut wakers = pending.lock();
        match wakers.get_mut(&key) {
            Some(waker) => waker.clone_from(cx.waker()),
            None => drop(wakers.insert(key, cx.waker().clone())),
        }
        Poll::Pending
    }
}

impl Drop for CoarseSleep {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            PendingSleeps::of_process().lock().remove(&key);
        }
    }
}
