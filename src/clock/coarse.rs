//! Coarse timeouts for waits that rarely run out.
//!
//! A timer of the reactor wakes its thread whenever it is set. A request sets half a dozen timeouts
//! that almost never run out, so they are kept here in a map that one thread looks through.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Interval at which the map is looked through; a sleep ends up to this much late.
const TICK: Duration = Duration::from_millis(20);

type Key = (Instant, u64);

#[derive(Debug, Default)]
struct Sleepers {
    wakers: Mutex<BTreeMap<Key, Waker>>,
    next: AtomicU64,
}

impl Sleepers {
    /// The map of this process, with its thread running.
    fn get() -> &'static Self {
        static SLEEPERS: OnceLock<Sleepers> = OnceLock::new();
        static THREAD: OnceLock<()> = OnceLock::new();
        let sleepers = SLEEPERS.get_or_init(Self::default);
        THREAD.get_or_init(|| {
            let builder = std::thread::Builder::new().name("coarse-clock".into());
            let started = builder.spawn(|| {
                loop {
                    std::thread::sleep(TICK);
                    sleepers.wake_due();
                }
            });
            assert!(started.is_ok(), "the clock's thread cannot be started");
        });
        sleepers
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Key, Waker>> {
        self.wakers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake_due(&self) {
        let due = {
            let mut wakers = self.lock();
            let later = wakers.split_off(&(Instant::now(), u64::MAX));
            std::mem::replace(&mut *wakers, later)
        };
        due.into_values().for_each(Waker::wake);
    }
}

/// Completes once `time` has passed, up to 20 ms late.
#[must_use]
pub fn coarse_sleep(time: Duration) -> CoarseSleep {
    let now = Instant::now();
    let far = Duration::from_hours(24 * 365);
    CoarseSleep {
        at: now + time.min(far),
        key: None,
    }
}

/// Future of [`coarse_sleep`].
#[derive(Debug)]
pub struct CoarseSleep {
    at: Instant,
    key: Option<Key>,
}

impl Future for CoarseSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.at {
            return Poll::Ready(());
        }
        let sleepers = Sleepers::get();
        let at = self.at;
        let key = *self
            .key
            .get_or_insert_with(|| (at, sleepers.next.fetch_add(1, Ordering::Relaxed)));
        let mut wakers = sleepers.lock();
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
            Sleepers::get().lock().remove(&key);
        }
    }
}
