//! Hands a result over to a caller that may leave.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::prelude::*;

enum Slot<T> {
    Waiting,
    Ready(T),
    Taken,
    Abandoned,
}

/// Both ends of a hand-over: the result is either taken, or given back to the side that has to undo
/// it.
pub(crate) struct Delivery<T> {
    slot: Mutex<Slot<T>>,
    ready: async_channel::Sender<()>,
}

/// The receiving end.
pub(crate) struct Receiver<T, F: Fn(T)> {
    delivery: Arc<Delivery<T>>,
    ready: async_channel::Receiver<()>,
    undo: F,
}

impl<T> Delivery<T> {
    /// Makes both ends; `undo` gets a result that was ready when its receiver was dropped.
    pub(crate) fn new<F: Fn(T)>(undo: F) -> (Arc<Self>, Receiver<T, F>) {
        let (tx, rx) = async_channel::bounded(1);
        let delivery = Arc::new(Self {
            slot: Mutex::new(Slot::Waiting),
            ready: tx,
        });
        let receiver = Receiver {
            delivery: delivery.clone(),
            ready: rx,
            undo,
        };
        (delivery, receiver)
    }

    fn slot(&self) -> MutexGuard<'_, Slot<T>> {
        self.slot.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Delivers the result; gives it back when the receiver is gone.
    pub(crate) fn put(&self, result: T) -> Option<T> {
        let mut slot = self.slot();
        if matches!(*slot, Slot::Abandoned) {
            return Some(result);
        }
        *slot = Slot::Ready(result);
        drop(slot);
        let _ = self.ready.try_send(());
        None
    }
}

impl<T, F: Fn(T)> Receiver<T, F> {
    /// Waits for the result; `None` when the sending end was dropped.
    pub(crate) async fn take(self) -> Option<T> {
        let _ = self.ready.recv().await;
        let mut slot = self.delivery.slot();
        match std::mem::replace(&mut *slot, Slot::Taken) {
            Slot::Ready(result) => Some(result),
            _ => None,
        }
    }
}

impl<T, F: Fn(T)> Drop for Receiver<T, F> {
    fn drop(&mut self) {
        let old = {
            let mut slot = self.delivery.slot();
            let taken = matches!(*slot, Slot::Taken);
            let next = if taken { Slot::Taken } else { Slot::Abandoned };
            std::mem::replace(&mut *slot, next)
        };
        if let Slot::Ready(result) = old {
            (self.undo)(result);
        }
    }
}
