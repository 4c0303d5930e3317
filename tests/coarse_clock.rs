//! Timeouts of the coarse clock beside a waker that panics.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Wake, Waker};
use std::time::Duration;

use async_io::{Timer, block_on};
use futures_lite::FutureExt;
use guavahold::clock::coarse_sleep;

/// Time limit for what a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const SLEEP_TIME: Duration = Duration::from_millis(40);

#[derive(Default)]
struct PanickingWaker(AtomicBool);

impl Wake for PanickingWaker {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::SeqCst);
        panic!("planned panic in a waker");
    }
}

/// Guards against timeouts that never expire again in the whole process.
#[test]
fn coarse_sleep_ends_after_a_waker_panicked() {
    let panicking = Arc::new(PanickingWaker::default());
    let waker = Waker::from(panicking.clone());
    let mut sleep = pin!(coarse_sleep(SLEEP_TIME));
    assert!(
        sleep
            .as_mut()
            .poll(&mut Context::from_waker(&waker))
            .is_pending()
    );
    // This one expires with it, after it in the map.
    let ended = async {
        coarse_sleep(SLEEP_TIME).await;
        while !panicking.0.load(Ordering::SeqCst) {
            coarse_sleep(SLEEP_TIME).await;
        }
        coarse_sleep(SLEEP_TIME).await;
        true
    };
    let timed_out = async {
        Timer::after(WAIT_TIMEOUT).await;
        false
    };
    assert!(block_on(ended.or(timed_out)), "a timeout never expired");
}
