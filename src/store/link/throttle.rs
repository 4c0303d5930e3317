//! Hands a pacer's permissions to the tasks that wait for them.

use std::collections::HashMap;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::{FutureExt, Stream};

use crate::prelude::*;
use crate::store::link::{Pacer, PacerConfig, Start, TransferId, Urgency};

#[derive(Debug)]
struct Inner {
    pacer: Pacer,
    waiting: HashMap<TransferId, Sender<u64>>,
    next: u64,
}

/// A pacer shared by all transfers of a store.
#[derive(Debug)]
pub(crate) struct Throttle {
    inner: Mutex<Inner>,
    began: Instant,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
}

impl Throttle {
    pub(crate) fn new(cfg: PacerConfig) -> Self {
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        Self {
            inner: Mutex::new(Inner {
                pacer: Pacer::new(cfg),
                waiting: HashMap::new(),
                next: 0,
            }),
            began: Instant::now(),
            wake_tx,
            wake_rx,
        }
    }

    /// Grants what falls due, for ever.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            let next_at = self.settle(&mut self.lock());
            let due = async {
                match next_at {
                    Some(at) => {
                        Timer::at(self.began + at).await;
                    }
                    None => std::future::pending().await,
                }
            };
            let woken = async {
                let _ = self.wake_rx.recv().await;
            };
            due.or(woken).await;
        }
    }

    /// Registers a transfer.
    ///
    /// # Errors
    /// The predicted wait when it is too long.
    pub(crate) fn open(
        self: &Arc<Self>,
        customer: &Name,
        urgency: Urgency,
        bytes: u64,
    ) -> Result<Transfer, Duration> {
        let (tx, rx) = async_channel::unbounded();
        let mut inner = self.lock();
        let id = TransferId(inner.next);
        inner.next += 1;
        let now = self.began.elapsed();
        inner.pacer.open(now, id, customer, urgency, bytes)?;
        inner.waiting.insert(id, tx);
        self.settle(&mut inner);
        Ok(Transfer {
            id,
            throttle: self.clone(),
            rx: Box::pin(rx),
            asked: false,
        })
    }

    /// Bytes that a new interactive fetch of `bytes` bytes waits behind.
    pub(crate) fn queue_bytes(&self, customer: &str, bytes: u64) -> u64 {
        let now = self.began.elapsed();
        let inner = self.lock();
        inner
            .pacer
            .queue_bytes(now, customer, Urgency::Interactive, bytes)
    }

    /// Speed of the link, in bytes per second.
    pub(crate) fn bytes_per_second(&self) -> u64 {
        self.lock().pacer.bytes_per_second()
    }

    fn ask(&self, id: TransferId, bytes: u64) {
        let mut inner = self.lock();
        inner.pacer.ask(id, bytes);
        if self.settle(&mut inner).is_some() {
            let _ = self.wake_tx.try_send(());
        }
    }

    fn close(&self, id: TransferId) {
        let mut inner = self.lock();
        inner.pacer.close(id);
        inner.waiting.remove(&id);
        self.settle(&mut inner);
    }

    /// Hands out what is due and returns when more will be.
    fn settle(&self, inner: &mut Inner) -> Option<Stamp> {
        let mut grants = Vec::new();
        inner.pacer.poll(self.began.elapsed(), &mut grants);
        for grant in grants {
            let (id, bytes) = match grant {
                Start::Transfer(id) => (id, 0),
                Start::Bytes(id, bytes) => (id, bytes),
            };
            if let Some(tx) = inner.waiting.get(&id) {
                let _ = tx.try_send(bytes);
            }
        }
        inner.pacer.next_at()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One transfer; it leaves the link when dropped.
#[derive(Debug)]
pub(crate) struct Transfer {
    id: TransferId,
    throttle: Arc<Throttle>,
    rx: Pin<Box<Receiver<u64>>>,
    asked: bool,
}

impl Transfer {
    /// Waits until the transfer may take memory and start.
    pub(crate) async fn start(&mut self) {
        poll_fn(|cx| self.rx.as_mut().poll_next(cx)).await;
    }

    /// Waits for the permission to move some of `bytes` bytes; `None` never comes while the
    /// transfer is open.
    pub(crate) fn poll_take(&mut self, cx: &mut Context<'_>, bytes: u64) -> Poll<u64> {
        if !self.asked {
            self.asked = true;
            self.throttle.ask(self.id, bytes);
        }
        let granted = ready!(self.rx.as_mut().poll_next(cx));
        self.asked = false;
        Poll::Ready(granted.unwrap_or(bytes))
    }

    /// Waits for the permission to move some of `bytes` bytes.
    pub(crate) async fn take(&mut self, bytes: u64) -> u64 {
        poll_fn(|cx| self.poll_take(cx, bytes)).await
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.throttle.close(self.id);
    }
}
