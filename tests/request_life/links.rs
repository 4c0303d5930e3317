//! Links between the entry and its hubs: in order, with delays, pauses and breaks.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender, unbounded};
use async_io::Timer;
use guavahold::domain_scheduler::{SchedulerCall, SchedulerLinks, SchedulerReply};

/// Longest delay of a message, in milliseconds.
const MAX_DELAY_MS: u64 = 12;
/// Interval at which a paused link looks whether it goes on.
const PAUSE_STEP: Duration = Duration::from_millis(5);

/// State of a link that faults change.
#[derive(Debug, Default)]
pub struct LinkState {
    /// Messages are lost and calls fail.
    pub is_down: AtomicBool,
    /// Messages of both directions wait, as those of a paused hub do.
    pub is_paused: AtomicBool,
}

/// One direction of a link.
#[derive(Clone)]
pub struct Direction<T> {
    pub state: Arc<LinkState>,
    tx: Sender<T>,
    rx: Receiver<T>,
}

impl<T> Direction<T> {
    pub fn new(state: Arc<LinkState>) -> Self {
        let (tx, rx) = unbounded();
        Self { state, tx, rx }
    }

    /// Queues a message; `false` when the link is down.
    pub fn send(&self, message: T) -> bool {
        !self.state.is_down.load(Ordering::Relaxed) && self.tx.try_send(message).is_ok()
    }

    /// Delivers messages in order until the play ends.
    pub async fn deliver(self, mut rng: fastrand::Rng, deliver: impl Fn(T)) {
        while let Ok(message) = self.rx.recv().await {
            if rng.u8(..3) == 0 {
                Timer::after(Duration::from_millis(rng.u64(..MAX_DELAY_MS))).await;
            }
            while self.state.is_paused.load(Ordering::Relaxed) {
                Timer::after(PAUSE_STEP).await;
            }
            if !self.state.is_down.load(Ordering::Relaxed) {
                deliver(message);
            }
        }
    }
}

/// Links of the entry to all hubs.
#[derive(Clone)]
pub struct EntryLinks {
    pub calls: Vec<Direction<SchedulerCall>>,
    pub replies: Vec<Direction<SchedulerReply>>,
}

/// Name of a hub.
pub fn hub_name(n: usize) -> String {
    format!("hub-{n}")
}

impl SchedulerLinks for EntryLinks {
    fn call(&self, hub: &str, call: SchedulerCall) -> bool {
        let mut hubs = self.calls.iter().enumerate();
        let link = hubs.find(|(n, _)| hub_name(*n) == hub);
        link.is_some_and(|(_, link)| link.send(call))
    }
}
