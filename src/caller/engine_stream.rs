//! A streamed answer of an engine, resumed on a new connection when the old one dies.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Instant;

use async_io::Timer;
use futures_lite::FutureExt;
use http_types::{Method, Request, StatusCode};

use crate::caller::attempt::{Attempt, WholeAnswer};
use crate::caller::exchange::{check_head, read_whole, request, send};
use crate::caller::{RunId, Shared, Work};
use crate::clock::coarse_sleep;
use crate::http::{ClientResponse, Connection, EventParser, SseEvent};
use crate::prelude::*;
use crate::scheduler::{AttemptOutcome, Event, Signal};
use crate::target::{REQUEST_ID_HEADER, WEIGHTS_HEADER};

/// Silence after which a connection is tested by a new one.
const SILENCE: Duration = Duration::from_secs(1);
/// Longest time without a new event once the answer has begun.
const STALL_LIMIT: Duration = Duration::from_secs(30);
/// Connections tried in a row to resume a run.
const RESUME_TRIES: u32 = 3;
/// Pause before the second try; it doubles with each further one.
const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// Data of the event that ends a stream.
pub(crate) const DONE: &str = "[DONE]";

/// Why a stream cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamFault {
    /// The target does not know the run.
    Gone,
    /// The target was not reached.
    Unreachable,
    /// No event came for too long although the target was reached.
    Stalled,
}

/// Events of one run, each seen exactly once and in order.
pub(crate) struct EngineStream {
    shared: Arc<Shared>,
    target: Name,
    address: SocketAddr,
    run: RunId,
    weights: Name,
    answer: Option<ClientResponse>,
    parser: EventParser,
    queue: VecDeque<SseEvent>,
    next: u64,
    done: bool,
}

impl EngineStream {
    /// Sends a streamed request and waits for its first event; an error answer comes back whole.
    pub(crate) async fn open(
        shared: &Arc<Shared>,
        work: &Work,
        attempt: &Attempt,
        req: Request,
    ) -> Result<Result<Self, WholeAnswer>, AttemptOutcome> {
        let mut stream = Self::new(shared, &attempt.target, attempt);
        let sent = async { Some(send(shared, work, attempt, req).await) };
        match sent.or(silence()).await {
            Some(Ok(mut answer)) => {
                check_head(&answer, work, attempt)?;
                if answer.res.status() != StatusCode::Ok {
                    return read_whole(&mut answer).await.map(Err);
                }
                stream.answer = Some(answer);
            }
            Some(Err(AttemptOutcome::Lost)) | None => {
                stream.resume().await.map_err(|_| AttemptOutcome::Lost)?;
            }
            Some(Err(outcome)) => return Err(outcome),
        }
        let _span = shared.spans.start(&work.trace, "first_token");
        let first = stream.event_within(work.time_left()).await;
        let first = first.map_err(|_| AttemptOutcome::Lost)?;
        stream.queue.push_front(first);
        stream.next = 0;
        stream.done = false;
        Ok(Ok(stream))
    }

    /// Attaches to a run from event `from` on.
    pub(crate) async fn attach(
        shared: &Arc<Shared>,
        attempt: &Attempt,
        from: u64,
    ) -> Result<Self, StreamFault> {
        let mut stream = Self::new(shared, &attempt.target, attempt);
        stream.next = from;
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
            answer: None,
            parser: EventParser::default(),
            queue: VecDeque::new(),
            next: 0,
            done: false,
        }
    }

    /// The next event with its number; `None` after the final one.
    pub(crate) async fn next(&mut self) -> Result<Option<(u64, SseEvent)>, StreamFault> {
        if self.done {
            self.recycle().await;
            return Ok(None);
        }
        let number = self.next;
        let event = self.event_within(STALL_LIMIT).await?;
        assert_eq!(self.next, number + 1, "an event was skipped or repeated");
        Ok(Some((number, event)))
    }

    async fn event_within(&mut self, limit: Duration) -> Result<SseEvent, StreamFault> {
        let started = Instant::now();
        loop {
            if let Some(event) = self.queue.pop_front() {
                if let Some(event) = self.accept(event) {
                    return Ok(event);
                }
                continue;
            }
            if self.read().await {
                continue;
            }
            if started.elapsed() >= limit {
                return Err(StreamFault::Stalled);
            }
            self.resume().await?;
        }
    }

    /// Takes the event that is next in order; repeated ones are dropped.
    fn accept(&mut self, event: SseEvent) -> Option<SseEvent> {
        let number = event.id.as_deref().map(str::parse::<u64>);
        match number {
            Some(Ok(number)) if number < self.next => return None,
            Some(Ok(number)) if number == self.next => {}
            None if event.data == DONE => {}
            _ => {
                self.queue.clear();
                self.answer = None;
                return None;
            }
        }
        self.next += 1;
        self.done = event.data == DONE;
        Some(event)
    }

    /// Reads more events; `false` when the connection ended, failed or stayed silent.
    async fn read(&mut self) -> bool {
        let Some(answer) = &mut self.answer else {
            return false;
        };
        let mut buf = vec![0; 4 * 1024];
        let read = async { answer.read(&mut buf).await.ok() };
        let n = read.or(silence()).await.unwrap_or(0);
        if n == 0 {
            self.answer = None;
            return false;
        }
        let mut events = Vec::new();
        self.parser.feed(&buf[..n], &mut events);
        self.queue.extend(events);
        true
    }

    /// Connects anew and asks for the run's events from the next one on.
    async fn resume(&mut self) -> Result<(), StreamFault> {
        self.shared.pool.clear(self.address);
        self.parser = EventParser::default();
        self.queue.clear();
        let mut pause = RESUME_PAUSE;
        for _ in 0..RESUME_TRIES {
            let tried = async { Some(self.try_resume().await) };
            match tried.or(silence()).await {
                Some(Some(Ok(answer))) => {
                    self.answer = Some(answer);
                    return Ok(());
                }
                Some(Some(Err(fault))) => return Err(fault),
                Some(None) | None => {}
            }
            Timer::after(pause).await;
            pause *= 2;
        }
        self.shared.scheduler.submit(Event::Signal {
            target: self.target.clone(),
            signal: Signal::Unreachable,
        });
        Err(StreamFault::Unreachable)
    }

    async fn try_resume(&self) -> Option<Result<ClientResponse, StreamFault>> {
        let path = format!("/v1/runs/{}?from={}", self.run.as_str(), self.next);
        let mut req = request(Method::Get, self.address, &path);
        req.insert_header(REQUEST_ID_HEADER, self.run.as_str());
        let conn = Connection::open(self.address, SILENCE).await.ok()?;
        let answer = conn.send(req).await.ok()?;
        if answer.res.status() == StatusCode::NotFound {
            return Some(Err(StreamFault::Gone));
        }
        let fits = answer.header(REQUEST_ID_HEADER) == Some(self.run.as_str())
            && answer.header(WEIGHTS_HEADER) == Some(&*self.weights);
        (answer.res.status() == StatusCode::Ok && fits).then_some(Ok(answer))
    }

    /// Waits for the end of the run without taking events; `false` when the connection died.
    pub(crate) async fn at_end(&mut self) -> bool {
        let Some(answer) = &mut self.answer else {
            return false;
        };
        let mut buf = [0; 1024];
        loop {
            match answer.read(&mut buf).await {
                Ok(0) => return true,
                Ok(_) => {}
                Err(_) => return false,
            }
        }
    }

    /// Reads the clean end of the answer and keeps its connection for reuse.
    async fn recycle(&mut self) {
        let Some(mut answer) = self.answer.take() else {
            return;
        };
        let mut buf = [0; 64];
        let ended = async { answer.read(&mut buf).await.ok() };
        if ended.or(silence()).await == Some(0) {
            self.shared.pool.put(self.address, answer);
        }
    }
}

async fn silence<T>() -> Option<T> {
    coarse_sleep(SILENCE).await;
    None
}
