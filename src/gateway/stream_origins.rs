//! The origins of streams, shared by the request and control tasks.

use std::sync::{Mutex, MutexGuard, PoisonError};

use async_io::Timer;

use crate::gateway::admitted_request::AdmittedRequest;
use crate::gateway::shared::Shared;
use crate::prelude::*;
use crate::stream_origin::{OriginTable, StreamKey, StreamOrigin};

/// Time for which an origin is awaited that no entry has told this one yet.
const FIND_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which it is looked for meanwhile.
const FIND_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which other entries are asked: right after its start, an entry has no links yet.
const ASK_INTERVAL: Duration = Duration::from_millis(80);

/// Work for the control tasks.
#[derive(Clone, Debug)]
pub(crate) enum OriginCall {
    /// Tell other entries of a stream that began or went on here.
    Announce(StreamOrigin),
    /// Ask other entries for the origin of a stream.
    Ask(StreamKey),
}

/// No entry that could be asked knows at which software version a stream began.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnknownOrigin;

/// Receiver of the work for the control tasks.
pub(crate) type OriginCallReceiver = async_channel::Receiver<OriginCall>;

/// Known origins of streams.
#[derive(Debug)]
pub(crate) struct StreamOrigins {
    table: Mutex<OriginTable>,
    calls: async_channel::Sender<OriginCall>,
}

impl StreamOrigins {
    /// Makes an empty table whose announcements and questions go to `calls`.
    pub(crate) fn new(calls: async_channel::Sender<OriginCall>) -> Self {
        Self {
            table: Mutex::default(),
            calls,
        }
    }

    /// Records that a stream began or went on at this entry, and has others told.
    pub(crate) fn announce(&self, now: Timestamp, origin: StreamOrigin) {
        self.record(now, origin.clone());
        let _ = self.calls.try_send(OriginCall::Announce(origin));
    }

    /// Records an origin.
    pub(crate) fn record(&self, now: Timestamp, origin: StreamOrigin) {
        self.lock().record(now, origin);
    }

    /// The software version at which a stream began, as far as this entry knows.
    pub(crate) fn known(&self, now: Timestamp, key: StreamKey) -> Option<Name> {
        self.lock().software(now, key)
    }

    /// The software version at which a stream began; asks other entries if it is not known.
    pub(crate) async fn find(&self, now: Timestamp, key: StreamKey) -> Option<Name> {
        if let Some(software) = self.known(now, key) {
            return Some(software);
        }
        let mut waited = Duration::ZERO;
        let mut ask_at = Duration::ZERO;
        while waited < FIND_TIMEOUT {
            if waited >= ask_at {
                let _ = self.calls.try_send(OriginCall::Ask(key));
                ask_at = waited + ASK_INTERVAL;
            }
            Timer::after(FIND_INTERVAL).await;
            waited += FIND_INTERVAL;
            if let Some(software) = self.known(now + waited, key) {
                return Some(software);
            }
        }
        None
    }

    /// The software version that must run a request because it goes on with a stream; `None` for one
    /// that begins anew.
    ///
    /// # Errors
    /// When the stream's beginning is unknown.
    pub(crate) async fn required_software(
        &self,
        shared: &Shared,
        request: &AdmittedRequest,
    ) -> Result<Option<Name>, UnknownOrigin> {
        if !request.is_resumption() {
            return Ok(None);
        }
        let found = if request.head.resumes.is_some() {
            self.find(shared.now(), request.stream_key()).await
        } else {
            shared.scheduler.sole_software(&request.service)
        };
        found.map(Some).ok_or(UnknownOrigin)
    }

    fn lock(&self) -> MutexGuard<'_, OriginTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AdmittedRequest {
    /// Key of the stream that the request begins or takes up.
    pub(crate) fn stream_key(&self) -> StreamKey {
        let customer = self.holder.as_ref().map_or("", |h| &*h.customer);
        let resumed = self.head.resumes.as_ref().filter(|_| self.is_resumption());
        let first_request = resumed.unwrap_or(&self.head.id);
        StreamKey::new(customer, &self.head.path, first_request)
    }

    /// Whether the request takes up a stream of which its caller has received events.
    pub(crate) fn is_resumption(&self) -> bool {
        self.route.is_resumable() && self.head.last_event.is_some()
    }
}
