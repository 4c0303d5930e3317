//! A counting semaphore that admits by priority.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Order of waiting: priority, then arrival; lower goes first.
type Place = (u8, u64);

#[derive(Debug)]
struct State {
    free: usize,
    arrivals: u64,
    waiting: BTreeMap<Place, async_channel::Sender<Permit>>,
}

/// Admits a bounded number of holders, the lowest priority number first.
#[derive(Clone, Debug)]
pub struct Gate(Arc<Mutex<State>>);

/// A place behind the gate; it is given up when dropped.
#[derive(Debug)]
pub struct Permit(Option<Gate>);

impl Gate {
    /// Makes a gate for `permits` holders.
    #[must_use]
    pub fn new(permits: usize) -> Self {
        Self(Arc::new(Mutex::new(State {
            free: permits,
            arrivals: 0,
            waiting: BTreeMap::new(),
        })))
    }

    /// Waits for a permit.
    pub async fn enter(&self, priority: u8) -> Permit {
        let rx = {
            let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            if state.free > 0 {
                state.free -= 1;
                return Permit(Some(self.clone()));
            }
            let (tx, rx) = async_channel::bounded(1);
            state.arrivals += 1;
            let place = (priority, state.arrivals);
            state.waiting.insert(place, tx);
            rx
        };
        rx.recv().await.unwrap_or(Permit(None))
    }

    /// Number of waiters that have not left.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.waiting.values().filter(|tx| !tx.is_closed()).count()
    }

    fn leave(&self) {
        loop {
            let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            let Some((_, tx)) = state.waiting.pop_first() else {
                state.free += 1;
                return;
            };
            drop(state);
            match tx.try_send(Permit(Some(self.clone()))) {
                Ok(()) => return,
                Err(err) => drop(err.into_inner().0.take()),
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(gate) = self.0.take() {
            gate.leave();
        }
    }
}
