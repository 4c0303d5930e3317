//! Streamed response of an engine, which is resumed on a new connection when a connection fails.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Instant;

use async_io::Timer;
use futures_lite::FutureExt;
use http_types::{Method, Request, StatusCode};

use crate::caller::attempt::{Attempt, FullResponse};
use crate::caller::target_request::{check_response_head, read_response, send, target_request};
use crate::caller::{CallerRequest, RunId, Shared};
use crate::clock::coarse_sleep;
use crate::http::{ClientResponse, Connection, EventParser, SseEvent};
use crate::prelude::*;
use crate::scheduler::{AttemptOutcome, Event, Signal};
use crate::target::{REQUEST_ID_HEADER, WEIGHTS_HEADER};

/// Time without data after which a connection counts as failed; also the timeout of each attempt to
/// resume.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time without a new event once the response has begun.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest number of attempts in a row to resume a run.
const MAX_RESUME_ATTEMPTS: u32 = 3;
/// Delay after the first failed attempt to resume a run; it doubles with each further one.
const INITIAL_RESUME_BACKOFF: Duration = Duration::from_millis(50);
/// Data of the final event of a stream.
pub(crate) const DONE_DATA: &str = "[DONE]";

/// Why a stream cannot be continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamError {
    /// The target no longer knows the run.
    Gone,
    /// The target could not be reached.
    Unreachable,
    /// The target is reachable, but no event arrived in time.
    Stalled,
}

/// Events of one run, each returned exactly once and in order.
pub(crate) struct EngineStream {
    shared: Arc<Shared>,
    target: Name,
    address: SocketAddr,
    run: RunId,
    weights: Name,
    /// Response that events are read from; `None` until the run is resumed.
    response: Option<ClientResponse>,
    parser: EventParser,
    /// Events that were received and not yet returned.
    queue: VecDeque<SseEvent>,
    /// Number of the event that is returned next.
    next_number: u64,
    /// Whether the final event was returned.
    done: bool,
}

impl EngineStream {
    /// Sends a streaming request and waits for its first event; the inner error is the full
    /// response if its status is not 200.
    pub(crate) async fn open(
        shared: &Arc<Shared>,
        request: &CallerRequest,
        attempt: &Attempt,
        req: Request,
    ) -> Result<Result<Self, FullResponse>, AttemptOutcome> {
        let mut stream = Self::new(shared, &attempt.target, attempt);
        let sent = async { Some(send(shared, request, attempt, req).await) };
        match sent.or(silence_timeout()).await {
            Some(Ok(mut response)) => {
                check_response_head(&response, request, attempt)?;
                if response.res.status() != StatusCode::Ok {
                    return read_response(&mut response).await.map(Err);
                }
                stream.response = Some(response);
            }
            Some(Err(AttemptOutcome::Lost)) | None => {
                stream.resume().await.map_err(|_| AttemptOutcome::Lost)?;
            }
            Some(Err(outcome)) => return Err(outcome),
        }
        let _span = shared.spans.start(&request.trace, "first_token");
        let first = stream.event_within(request.time_left()).await;
        let first = first.map_err(|_| AttemptOutcome::Lost)?;
        stream.queue.push_front(first);
        stream.next_number = 0;
        stream.done = false;
        Ok(Ok(stream))
    }

    /// Attaches to a run, starting with event number `from`.
    pub(crate) async fn attach(
        shared: &Arc<Shared>,
        attempt: &Attempt,
        from: u64,
    ) -> Result<Self, StreamError> {
        let mut stream = Self::new(shared, &attempt.target, attempt);
        stream.next_number = from;
        stream.resume().await?;
        Ok(stream)
    }

    fn new(shared: &Arc<Shared>, target: &Name, attempt: &Attempt) -> Self {
        Self {
            shared: shared.clone(),
            target: target.clone(),
            address: attempt.address,
            run: attempt.run.clone(),
            weights: attempt.weights.clone(),
            response: None,
            parser: EventParser::default(),
            queue: VecDeque::new(),
            next_number: 0,
            done: false,
        }
    }

    /// Returns the next event with its number, or `None` after the final one.
    pub(crate) async fn next(&mut self) -> Result<Option<(u64, SseEvent)>, StreamError> {
        if self.done {
            self.recycle().await;
            return Ok(None);
        }
        let number = self.next_number;
        let event = self.event_within(STALL_TIMEOUT).await?;
        assert_eq!(
            self.next_number,
            number + 1,
            "an event was skipped or repeated"
        );
        Ok(Some((number, event)))
    }

    /// Waits for the next event; bytes that hold none do not extend the time.
    async fn event_within(&mut self, timeout: Duration) -> Result<SseEvent, StreamError> {
        let started = Instant::now();
        loop {
            if let Some(event) = self.queue.pop_front() {
                if let Some(event) = self.accept(event) {
                    return Ok(event);
                }
                continue;
            }
            if started.elapsed() >= timeout {
                return Err(StreamError::Stalled);
            }
            if !self.read().await && started.elapsed() < timeout {
                self.resume().await?;
            }
        }
    }

    /// Returns the event if it is next in order; repeated events are dropped. Any other number
    /// means that events are missing: the connection is dropped, so that the run is resumed.
    fn accept(&mut self, event: SseEvent) -> Option<SseEvent> {
        let number = event.id.as_deref().map(str::parse::<u64>);
        match number {
            Some(Ok(number)) if number < self.next_number => return None,
            Some(Ok(number)) if number == self.next_number => {}
            None if event.data == DONE_DATA => {}
            _ => {
                self.queue.clear();
                self.response = None;
                return None;
            }
        }
        self.next_number += 1;
        self.done = event.data == DONE_DATA;
        Some(event)
    }

    /// Reads more events; `false` if the connection ended, failed or timed out.
    async fn read(&mut self) -> bool {
        let Some(response) = &mut self.response else {
            return false;
        };
        let mut buf = vec![0; 4 * 1024];
        let read = async { response.read(&mut buf).await.ok() };
        let n = read.or(silence_timeout()).await.unwrap_or(0);
        if n == 0 {
            self.response = None;
            return false;
        }
        let mut events = Vec::new();
        self.parser.feed(&buf[..n], &mut events);
        self.queue.extend(events);
        true
    }

    /// Opens a new connection and requests the run's events from the next one on. After the last
    /// failed attempt, signals to the scheduler that the target is unreachable.
    async fn resume(&mut self) -> Result<(), StreamError> {
        self.shared.pool.clear(self.address);
        self.parser = EventParser::default();
        self.queue.clear();
        let mut backoff = INITIAL_RESUME_BACKOFF;
        for _ in 0..MAX_RESUME_ATTEMPTS {
            let resumed = async { Some(self.try_resume().await) };
            match resumed.or(silence_timeout()).await {
                Some(Some(Ok(response))) => {
                    self.response = Some(response);
                    return Ok(());
                }
                Some(Some(Err(err))) => return Err(err),
                Some(None) | None => {}
            }
            Timer::after(backoff).await;
            backoff *= 2;
        }
        self.shared.scheduler.submit(Event::Signal {
            target: self.target.clone(),
            signal: Signal::Unreachable,
        });
        Err(StreamError::Unreachable)
    }

    async fn try_resume(&self) -> Option<Result<ClientResponse, StreamError>> {
        let path = format!("/v1/runs/{}?from={}", self.run.as_str(), self.next_number);
        let mut req = target_request(Method::Get, self.address, &path)?;
        req.insert_header(REQUEST_ID_HEADER, self.run.as_str());
        let conn = Connection::open(self.address, SILENCE_TIMEOUT).await.ok()?;
        let response = conn.send(req).await.ok()?;
        if response.res.status() == StatusCode::NotFound {
            return Some(Err(StreamError::Gone));
        }
        let matches_run = response.header(REQUEST_ID_HEADER) == Some(self.run.as_str())
            && response.header(WEIGHTS_HEADER) == Some(&*self.weights);
        (response.res.status() == StatusCode::Ok && matches_run).then_some(Ok(response))
    }

    /// Waits for the end of the run and discards its events; `false` if the connection failed.
    pub(crate) async fn wait_for_end(&mut self) -> bool {
        let Some(response) = &mut self.response else {
            return false;
        };
        let mut buf = [0; 1024];
        loop {
            match response.read(&mut buf).await {
                Ok(0) => return true,
                Ok(_) => {}
                Err(_) => return false,
            }
        }
    }

    /// Reads the end of the response and returns its connection to the pool; one whose response does
    /// not end cleanly in time is dropped.
    async fn recycle(&mut self) {
        let Some(mut response) = self.response.take() else {
            return;
        };
        let mut buf = [0; 64];
        let ended = async { response.read(&mut buf).await.ok() };
        if ended.or(silence_timeout()).await == Some(0) {
            self.shared.pool.put(self.address, response);
        }
    }
}

async fn silence_timeout<T>() -> Option<T> {
    coarse_sleep(SILENCE_TIMEOUT).await;
    None
}
