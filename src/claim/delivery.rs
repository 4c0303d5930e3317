//! One-shot channel whose undelivered result is handed to a cleanup function.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::prelude::*;

enum Slot<T> {
    Empty,
    Ready(T),
    Received,
    ReceiverDropped,
}

/// Sending end. A result is either received, or returned by [`Delivery::send`], or passed to the
/// receiver's `on_undelivered`, so that it is never lost.
pub(crate) struct Delivery<T> {
    slot: Mutex<Slot<T>>,
    ready: async_channel::Sender<()>,
}

/// Receiving end.
pub(crate) struct Receiver<T, F: Fn(T)> {
    delivery: Arc<Delivery<T>>,
    ready: async_channel::Receiver<()>,
    on_undelivered: F,
}

impl<T> Delivery<T> {
    /// Creates both ends; `on_undelivered` gets a result that was sent but not received when the
    /// receiver is dropped.
    pub(crate) fn new<F: Fn(T)>(on_undelivered: F) -> (Arc<Self>, Receiver<T, F>) {
        let (tx, rx) = async_channel::bounded(1);
        let delivery = Arc::new(Self {
            slot: Mutex::new(Slot::Empty),
            ready: tx,
        });
        let receiver = Receiver {
            delivery: delivery.clone(),
            ready: rx,
            on_undelivered,
        };
        (delivery, receiver)
    }

    fn slot(&self) -> MutexGuard<'_, Slot<T>> {
        self.slot.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends the result; returns it when the receiver was dropped.
    pub(crate) fn send(&self, result: T) -> Option<T> {
        let mut slot = self.slot();
        if matches!(*slot, Slot::ReceiverDropped) {
            return Some(result);
        }
        *slot = Slot::Ready(result);
        drop(slot);
        let _ = self.ready.try_send(());
        None
    }
}

impl<T, F: Fn(T)> Receiver<T, F> {
    /// Waits for the result; `None` when the sending end was dropped without one.
    pub(crate) async fn recv(self) -> Option<T> {
        let _ = self.ready.recv().await;
        let mut slot = self.delivery.slot();
        match std::mem::replace(&mut *slot, Slot::Received) {
            Slot::Ready(result) => Some(result),
            _ => None,
        }
    }
}

impl<T, F: Fn(T)> Drop for Receiver<T, F> {
    fn drop(&mut self) {
        let old = {
            let mut slot = self.delivery.slot();
            let received = matches!(*slot, Slot::Received);
            let next = if received {
                Slot::Received
            } else {
                Slot::ReceiverDropped
            };
            std::mem::replace(&mut *slot, next)
        };
        if let Slot::Ready(result) = old {
            (self.on_undelivered)(result);
        }
    }
}
