//! Counting semaphore that grants permits in order of priority.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Position in the queue: priority, then order of arrival; the lowest key is served first.
type QueueKey = (u8, u64);

#[derive(Debug)]
struct State {
    available: usize,
    last_arrival: u64,
    waiting: BTreeMap<QueueKey, async_channel::Sender<Permit>>,
}

/// Semaphore whose waiters are served by lowest priority number, then by arrival.
#[derive(Clone, Debug)]
pub struct PrioritySemaphore(Arc<Mutex<State>>);

/// Permit of a [`PrioritySemaphore`], released on drop.
#[derive(Debug)]
pub struct Permit(Option<PrioritySemaphore>);

impl PrioritySemaphore {
    /// Creates a semaphore with `permits` permits.
    #[must_use]
    pub fn new(permits: usize) -> Self {
        Self(Arc::new(Mutex::new(State {
            available: permits,
            last_arrival: 0,
            waiting: BTreeMap::new(),
        })))
    }

    /// Waits for a permit.
    pub async fn acquire(&self, priority: u8) -> Permit {
        let rx = {
            let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            if state.available > 0 {
                state.available -= 1;
                return Permit(Some(self.clone()));
            }
            let (tx, rx) = async_channel::bounded(1);
            state.last_arrival += 1;
            let key = (priority, state.last_arrival);
            state.waiting.insert(key, tx);
            rx
        };
        rx.recv().await.unwrap_or(Permit(None))
    }

    /// Number of waiters whose [`acquire`](Self::acquire) has not been cancelled.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.waiting.values().filter(|tx| !tx.is_closed()).count()
    }

    fn release(&self) {
        loop {
            let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            let Some((_, tx)) = state.waiting.pop_first() else {
                state.available += 1;
                return;
            };
            drop(state);
            match tx.try_send(Permit(Some(self.clone()))) {
                Ok(()) => return,
                // The waiter was cancelled. The permit is emptied so that its drop does not
                // release it a second time.
                Err(err) => drop(err.into_inner().0.take()),
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(semaphore) = self.0.take() {
            semaphore.release();
        }
    }
}
