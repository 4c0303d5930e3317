//! One attempt at a target.

use std::fmt;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Instant;

use async_io::Async;
use futures_lite::{AsyncWriteExt, FutureExt};
use socket2::SockRef;

use crate::context_store::{FETCH_TIMEOUT, TransferPlan};
use crate::gateway::answer::AnswerHead;
use crate::gateway::connections::connect;
use crate::gateway::outbound::{Broken, Outbound};
use crate::gateway::reply::Reply;
use crate::gateway::shared::Shared;
use crate::gateway::{AnswerFacts, BodyReader, Call, Dispatch, EventSplitter, RawEvent, RunWord};
use crate::prelude::*;
use crate::route::{KeyHolder, Route};
use crate::scheduler::{AttemptOutcome, LoadEstimate};
use crate::shared_scheduler::RequestHandle;

/// Factor of the fetches in the note of an attempt's transfers.
pub(crate) const SAVED: usize = 1_000;

/// A request that passed the checks of its head.
pub(crate) struct Work {
    /// The decoded head.
    pub call: Call,
    /// The whole body, if there is one.
    pub body: Option<Vec<u8>>,
    /// Its route.
    pub route: Arc<Route>,
    /// The customer, unless the route is public.
    pub holder: Option<Arc<KeyHolder>>,
    /// The service that runs it.
    pub service: Name,
    /// When it was received whole.
    pub arrived: Instant,
    /// When it is given up.
    pub deadline: Instant,
}

impl Work {
    /// Text under which context of the prompt is cached: it is shared within one weight version, and
    /// only by customers that allow it.
    pub(crate) fn cache_scope(&self, weights: u64) -> Name {
        match self.holder.as_ref().filter(|h| h.isolated) {
            Some(holder) => format!("{weights}.{}", holder.customer).into(),
            None => weights.to_string().into(),
        }
    }

    /// Time until it is given up.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Where one attempt goes.
#[derive(Clone, Debug)]
pub(crate) struct Chosen {
    /// Number of the attempt, from one.
    pub number: u32,
    /// Name of the target.
    pub target: Name,
    /// Address of the target.
    pub address: SocketAddr,
    /// Weight version to run; `None` for plain services.
    pub weights: Option<u64>,
    /// Another target that is more likely to hold the start of the prompt.
    pub neighbour: Option<SocketAddr>,
    /// What the target was chosen on.
    pub belief: LoadEstimate,
}

/// How an answer was received.
pub(crate) enum Received {
    /// Whole, and not yet passed on.
    Whole(AnswerHead, Vec<u8>),
    /// As a stream that was passed on to its end.
    Streamed,
}

/// Why an attempt brought no answer.
#[derive(Debug)]
pub(crate) enum Fault {
    /// No byte was handed to the target.
    NotSent,
    /// The target proves that it did not run the request.
    Refused(AnswerFacts),
    /// The target may have run it.
    Broken(Broken),
    /// The caller cannot be written to.
    CallerLeft,
}

impl Fault {
    /// What the desk is told.
    pub(crate) fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::NotSent => AttemptOutcome::NotSent,
            Self::Refused(facts) => AttemptOutcome::Refused {
                retry_after: facts.retry_after,
            },
            Self::Broken(Broken::Silent) => AttemptOutcome::Lost,
            Self::Broken(_) => AttemptOutcome::CutShort,
            Self::CallerLeft => AttemptOutcome::Cancelled,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent => f.write_str("not-sent (no connection)"),
            Self::Refused(facts) if facts.run == RunWord::Misdirected => {
                let weights = facts.weights.unwrap_or_default();
                write!(f, "misdirected (another target or weights {weights})")
            }
            Self::Refused(_) => f.write_str("not-run (the target refused it)"),
            Self::Broken(Broken::Silent) => {
                f.write_str("lost (connection ended without an answer)")
            }
            Self::Broken(Broken::CutShort) => {
                f.write_str("cut-short (connection ended in the answer)")
            }
            Self::Broken(Broken::Garbled) => f.write_str("garbled (bytes that are no answer)"),
            Self::CallerLeft => f.write_str("caller-left (it cannot be written to)"),
        }
    }
}

/// Resets a connection whose exchange is given up: bytes that still wait to be sent, such as behind
/// a partition, would otherwise reach the target long afterwards.
struct Abandoned<'a>(Option<&'a Async<TcpStream>>);

impl Drop for Abandoned<'_> {
    fn drop(&mut self) {
        if let Some(stream) = self.0
            && let Err(err) = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO))
        {
            log::debug!("event=socket_option_failed error={:?}", err.to_string());
        }
    }
}

/// One attempt at a target.
pub(crate) struct Attempt<'a> {
    /// Shared state of the entry.
    pub shared: &'a Shared,
    /// The request.
    pub work: &'a Work,
    /// The target.
    pub chosen: &'a Chosen,
    /// Transfers of kept context, for the log: fetches times [`SAVED`] and saves.
    pub kept: &'a AtomicUsize,
    /// The desk's view of the request, which hears of the first event.
    pub waiter: &'a RequestHandle,
}

impl Attempt<'_> {
    /// Sends the request and receives its answer; streams are passed on as they come.
    pub(crate) async fn run(&self, reply: &mut Reply<'_>) -> Result<Received, Fault> {
        let careful = !self.work.route.is_repeatable();
        let kept = self.shared.connections.take(self.chosen.address, careful);
        if let Some(stream) = kept {
            let result = self.exchange(stream, reply).await;
            // A kept connection that its target dropped meanwhile says nothing of the target.
            let dropped = matches!(result, Err(Fault::Broken(Broken::Silent)));
            if careful || !dropped {
                return result;
            }
            let again = self.run_fresh(reply).await;
            // The target may have run what it received on the kept connection.
            return again.map_err(|fault| match fault {
                Fault::NotSent | Fault::Refused(_) => Fault::Broken(Broken::Silent),
                fault => fault,
            });
        }
        self.run_fresh(reply).await
    }

    /// Sends the request on a new connection.
    async fn run_fresh(&self, reply: &mut Reply<'_>) -> Result<Received, Fault> {
        let opened = connect(self.chosen.address).await;
        self.shared.metrics.connections.inc();
        let stream = opened.map_err(|_| Fault::NotSent)?;
        self.exchange(stream, reply).await
    }

    async fn exchange(
        &self,
        stream: Async<TcpStream>,
        reply: &mut Reply<'_>,
    ) -> Result<Received, Fault> {
        let head = self.encode(reply);
        let handed_over = AtomicBool::new(false);
        let send = async {
            let mut out = &stream;
            let written = match &self.work.body {
                Some(body) if body.len() + head.len() <= 16 * 1024 => {
                    let whole = [&head[..], body].concat();
                    out.write_all(&whole).await
                }
                Some(body) => match out.write_all(&head).await {
                    Ok(()) => out.write_all(body).await,
                    failed => failed,
                },
                None => out.write_all(&head).await,
            };
            // A failure shows on the reading side as well, behind an early answer if there is one.
            handed_over.store(written.is_ok(), Ordering::Release);
            std::future::pending().await
        };
        let mut abandoned = Abandoned(Some(&stream));
        let mut outbound = Outbound::new(&stream);
        let (received, facts) = self.receive(&mut outbound, reply).or(send).await?;
        abandoned.0 = None;
        drop(abandoned);
        let reusable = outbound.is_clean() && handed_over.load(Ordering::Acquire) && !facts.close;
        drop(outbound);
        if reusable {
            let addr = self.chosen.address;
            self.shared.connections.put(addr, stream, facts.idle_time);
        }
        match received {
            Received::Whole(head, _) if head.facts.run.is_not_run() => {
                Err(Fault::Refused(head.facts))
            }
            received => Ok(received),
        }
    }

    fn encode(&self, reply: &Reply<'_>) -> Vec<u8> {
        let work = self.work;
        let scope = self.chosen.weights.map(|w| self.work.cache_scope(w));
        let transfers = scope.as_ref().map(|scope| self.kept_plan(scope));
        let dispatch = Dispatch {
            kept: transfers.unwrap_or_default(),
            fetch_until_ms: self.shared.fetch_clock.after(FETCH_TIMEOUT),
            target: self.chosen.target.clone(),
            time_left: work.time_left(),
            customer: work.holder.as_ref().map(|h| h.customer.clone()),
            weights: self.chosen.weights,
            cache_scope: scope,
            urgency: self.urgency(),
            last_event: reply.last_event,
            body_bytes: work.body.as_ref().map(Vec::len),
        };
        let mut head = Vec::with_capacity(1024);
        let dialect = &self.shared.dialect;
        dialect.encode_request(&work.call, &dispatch, &mut head);
        head
    }

    /// Transfers of the parts that other requests may share.
    fn kept_plan(&self, scope: &Name) -> TransferPlan {
        let Some(prompt) = &self.work.call.prompt else {
            return TransferPlan::default();
        };
        let shared = prompt.shared_parts().iter();
        let parts: SmallVec<[_; 4]> = shared.map(|p| (p.id.clone(), p.tokens)).collect();
        let mut plan = self
            .shared
            .kept()
            .plan_transfers(self.shared.now(), scope, &parts);
        // A target drops what it holds when its weights change, and holds it under their scope.
        for fetch in &mut plan.fetch {
            *fetch = fetch.or(self.chosen.neighbour);
        }
        if self.shared.fetch_clock.after(FETCH_TIMEOUT).is_none() {
            plan.fetch.clear();
        }
        let count = |stores: &[Option<SocketAddr>]| stores.iter().flatten().count();
        let noted = count(&plan.fetch) * SAVED + count(&plan.save);
        self.kept.store(noted, Ordering::Relaxed);
        plan
    }

    fn urgency(&self) -> Option<u8> {
        self.work.call.prompt.as_ref()?;
        let own = self.work.holder.as_ref().and_then(|h| h.urgency);
        Some(own.unwrap_or(self.work.route.urgency))
    }

    async fn receive(
        &self,
        outbound: &mut Outbound<'_>,
        reply: &mut Reply<'_>,
    ) -> Result<(Received, AnswerFacts), Fault> {
        let head = outbound.head(&self.work.call, &*self.shared.dialect);
        let head = head.await.map_err(Fault::Broken)?;
        if head.facts.encoded || (head.is_success() && !head.facts.signed) {
            return Err(Fault::Broken(Broken::Garbled));
        }
        let facts = head.facts.clone();
        if self.work.route.is_streaming() && head.is_success() {
            self.relay(&head, outbound, reply).await?;
            return Ok((Received::Streamed, facts));
        }
        let body = outbound.whole(&head).await.map_err(Fault::Broken)?;
        Ok((Received::Whole(head, body), facts))
    }

    /// Passes on whole events until the stream ends.
    async fn relay(
        &self,
        head: &AnswerHead,
        outbound: &mut Outbound<'_>,
        reply: &mut Reply<'_>,
    ) -> Result<(), Fault> {
        let mut body = BodyReader::new(head.framing, head.is_bodiless());
        let mut events = EventSplitter::default();
        let mut first = true;
        loop {
            let more = outbound.part(&mut body, events.buf()).await;
            // Events that came whole before a break are passed on.
            let whole = take_events(&mut events, reply.last_event);
            if !whole.is_empty() {
                if std::mem::take(&mut first) {
                    self.waiter.report_first_token(self.chosen.number);
                }
                reply.send_events(head, &whole).await?;
            }
            let more = more.map_err(Fault::Broken)?;
            if events.is_overlong() || (!more && events.has_rest()) {
                return Err(Fault::Broken(Broken::CutShort));
            }
            if !more {
                return reply.end_stream(head).await;
            }
        }
    }
}

/// The whole events that the caller does not have yet.
fn take_events(events: &mut EventSplitter, last: Option<u64>) -> Vec<RawEvent> {
    let mut last = last;
    let mut out = Vec::new();
    while let Some(event) = events.next_event() {
        let known = matches!((event.id, last), (Some(id), Some(last)) if id <= last);
        if !known {
            last = event.id.or(last);
            out.push(event);
        }
    }
    out
}
