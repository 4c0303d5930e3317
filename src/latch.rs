//! One-time event for which any number of tasks wait.

use async_channel::{Receiver, Sender};

/// An event that happens once. Only [`Latch::set`] makes it happen: dropping a latch does not.
#[derive(Clone, Debug)]
pub(crate) struct Latch {
    setter: Sender<()>,
    waiter: Receiver<()>,
}

impl Default for Latch {
    fn default() -> Self {
        let (setter, waiter) = async_channel::bounded(1);
        Self { setter, waiter }
    }
}

impl Latch {
    /// Makes the event happen; further calls have no effect.
    pub(crate) fn set(&self) {
        self.setter.close();
    }

    /// Completes once the event has happened.
    pub(crate) async fn wait(&self) {
        // This latch holds a sender of its own, so that only `set` closes the channel.
        let _ = self.waiter.recv().await;
    }
}
