//! Acquires and renews a lease on the platform.

use std::panic::AssertUnwindSafe;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_io::Timer;
use futures_lite::FutureExt;

use crate::clock::time_since_boot;
use crate::lease::{
    HeldLease, LeaseEffect, LeaseEvent, LeaseObject, LeaseRecord, LeaseSettings, LeaseStateMachine,
};
use crate::platform::{Object, Platform, PlatformError, Version};
use crate::prelude::*;

/// Interval at which a release checks whether the lease has been given back.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A process that competes for a lease stored on the platform, and renews it while it holds it.
pub struct LeaseClient {
    platform: Arc<dyn Platform>,
    name: Name,
    state_machine: Mutex<LeaseStateMachine>,
    /// Boot time at construction. Boot time advances while the VM is suspended, so that a held
    /// lease expires during the suspension.
    origin: Duration,
    /// Whether the record that was last read could not be decoded.
    is_unreadable: AtomicBool,
}

impl LeaseClient {
    /// Creates a candidate for the lease `name` that has not read it yet.
    #[must_use]
    pub fn new(platform: Arc<dyn Platform>, name: Name, cfg: LeaseSettings) -> Self {
        Self {
            platform,
            name,
            state_machine: Mutex::new(LeaseStateMachine::new(cfg)),
            origin: time_since_boot(),
            is_unreadable: AtomicBool::new(false),
        }
    }

    /// Current time on the clock of [`HeldLease::since`] and [`HeldLease::until`]; it advances
    /// while the VM is suspended.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        time_since_boot().saturating_sub(self.origin)
    }

    /// The lease, if this process holds it now and may use it.
    #[must_use]
    pub fn held(&self) -> Option<HeldLease> {
        let now = self.now();
        self.current(now).held(now)
    }

    /// The lease, if this process holds it now, even if it may not use it yet.
    #[must_use]
    pub fn owned(&self) -> Option<HeldLease> {
        let now = self.now();
        self.current(now).owned(now)
    }

    /// Records that the lease is used, such as for an order.
    pub fn record_use(&self) {
        let now = self.now();
        self.state_machine().record_use(now);
    }

    /// Gives the lease back, if this process holds it, so that the next holder need not wait until it
    /// has run out. It is not acquired again.
    pub async fn release(&self) {
        let now = self.now();
        self.state_machine().begin_release(now);
        while !self.state_machine().is_released(self.now()) {
            self.step().await;
            Timer::after(RELEASE_POLL_INTERVAL).await;
        }
    }

    /// Gives the lease back as [`LeaseClient::release`] does, within a time limit. Returns whether the
    /// platform confirmed it; `None` if this process does not hold the lease.
    pub async fn release_within(&self, timeout: Duration) -> Option<bool> {
        self.owned()?;
        let released = async {
            self.release().await;
            true
        };
        let late = async {
            Timer::after(timeout).await;
            false
        };
        Some(released.or(late).await)
    }

    /// Requires later fencing tokens to exceed `fencing`, which a target has already seen, and
    /// gives up a held lease whose token does not.
    pub fn raise_fencing_floor(&self, fencing: u64) {
        self.state_machine().raise_fencing_floor(fencing);
    }

    /// Reads or writes the lease on the platform if that is due. Call it several times within the
    /// duration of the lease.
    pub async fn step(&self) {
        let mut event = LeaseEvent::Tick;
        loop {
            let mut effects = Vec::new();
            let now = self.now();
            self.handle(now, event, &mut effects);
            let Some(effect) = effects.pop() else {
                return;
            };
            // A call that panics may have taken effect, as one without an answer.
            let executed = AssertUnwindSafe(self.execute(effect)).catch_unwind();
            event = executed.await.unwrap_or(LeaseEvent::Unanswered);
        }
    }

    fn handle(&self, now: Timestamp, event: LeaseEvent, effects: &mut Vec<LeaseEffect>) {
        self.current(now).on(now, event, effects);
    }

    /// The state machine, with the newest era of the store.
    fn current(&self, now: Timestamp) -> MutexGuard<'_, LeaseStateMachine> {
        let mut state_machine = self.state_machine();
        state_machine.observe_era(now, self.platform.era());
        state_machine
    }

    fn state_machine(&self) -> MutexGuard<'_, LeaseStateMachine> {
        self.state_machine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn execute(&self, effect: LeaseEffect) -> LeaseEvent {
        let result = match effect {
            LeaseEffect::Read => self.read().await,
            LeaseEffect::Write { version, record } => self.write(version, &record).await,
        };
        result.unwrap_or_else(|err| match err {
            PlatformError::Conflict | PlatformError::NotFound => LeaseEvent::Conflict,
            _ => LeaseEvent::Unanswered,
        })
    }

    async fn read(&self) -> Result<LeaseEvent, PlatformError> {
        let object = self.platform.get(LeaseRecord::KIND, &self.name).await?;
        let object = object.map(|object| LeaseObject {
            record: self.decode(&object),
            version: object.version,
        });
        Ok(LeaseEvent::ObjectRead(object))
    }

    /// Decodes the record of the lease; `None` if it is none that this process could have written.
    fn decode(&self, object: &Object) -> Option<LeaseRecord> {
        let record = object.decode().ok().filter(LeaseRecord::is_valid);
        let is_unreadable = record.is_none();
        let was_unreadable = self.is_unreadable.swap(is_unreadable, Ordering::Relaxed);
        if is_unreadable && !was_unreadable {
            log::warn!("event=lease_unreadable lease={:?}", self.name);
        }
        record
    }

    async fn write(
        &self,
        version: Option<Version>,
        record: &LeaseRecord,
    ) -> Result<LeaseEvent, PlatformError> {
        let spec = serde_json::json!(record);
        let mut object = Object::new(LeaseRecord::KIND, self.name.clone(), spec);
        let written = if let Some(version) = version {
            object.version = version;
            self.platform.update(object).await?
        } else {
            self.platform.create(object).await?
        };
        Ok(LeaseEvent::Written(written.version))
    }
}
