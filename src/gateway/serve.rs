//! Serves one request: attempts as the desk decides, until a final answer.

use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use async_io::Async;
use futures_lite::{AsyncWriteExt, FutureExt};

use crate::cache::BlockKey;
use crate::catalog::{Class, Policy};
use crate::clock::coarse_sleep;
use crate::decide::{Arrival, AttemptOutcome, Effect, Refusal, Signal};
use crate::desk::Waiter;
use crate::gateway::answer::AnswerHead;
use crate::gateway::attempt::{Attempt, Chosen, Fault, Received, Reply, SAVED, Work};
use crate::gateway::inbound::{self, Inbound};
use crate::gateway::refusal::{late, refused, rejected, unconfigured};
use crate::gateway::shared::{Shared, TargetWord};
use crate::gateway::trail::{EndLabel, Step, Trail};
use crate::gateway::{Call, OwnAnswer, RunWord};
use crate::prelude::*;
use crate::route::{Found, Route, RouteTable};

/// Longest wait of a request whose caller and route state none.
const LONGEST: Duration = Duration::from_mins(2);

/// How a request ended.
enum End {
    /// A whole answer of a target.
    Whole(AnswerHead, Vec<u8>),
    /// A stream that was passed on to its end.
    Streamed,
    /// A final answer of the gateway itself.
    Own(OwnAnswer),
    /// A stream that broke and does not go on.
    CutShort,
    /// The caller left.
    Left,
}

/// Serves a request; `false` when its connection is to be closed.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    received: inbound::Received,
    stream: &Async<TcpStream>,
    inbound: &mut Inbound,
) -> bool {
    let mut reply = Reply {
        stream,
        close: received.close || shared.drain.is_draining(),
        head_sent: false,
        last_event: received.call.last_event,
        first_at: None,
    };
    let routes = shared.routes.load_full();
    let admitted = match routes.map(|routes| admit(&routes, &received)) {
        None => Err(unconfigured()),
        Some(admitted) => admitted,
    };
    let work = match admitted {
        Err(answer) => {
            Trail::note_own(&shared.metrics, &received.call, &answer);
            return send_own(shared, &received.call, &answer, &mut reply).await;
        }
        Ok((route, holder, service)) => work_of(received, route, holder, service),
    };
    let mut request = Request {
        shared,
        work: &work,
        waiter: shared.desk.arrive(arrival_of(shared, &work)),
        kept: None,
        handed_over: false,
        given_up: false,
        trail: Trail::default(),
    };
    let end = request.run(&mut reply, inbound).await;
    let Request { waiter, trail, .. } = request;
    if !matches!(end, End::Left) {
        waiter.finish();
    }
    trail.note_end(&shared.metrics, &work, &end.label(), &reply);
    match end {
        End::Whole(head, body) => {
            reply.close |= shared.drain.is_draining();
            reply.send_whole(&head, &body).await.is_ok() && !reply.close
        }
        End::Streamed => !reply.close,
        End::Own(answer) => send_own(shared, &work.call, &answer, &mut reply).await,
        End::CutShort | End::Left => false,
    }
}

impl End {
    fn label(&self) -> EndLabel {
        match self {
            Self::Whole(head, _) => EndLabel::Status(head.status),
            Self::Streamed => EndLabel::Status(200),
            Self::Own(answer) => EndLabel::Own(answer.status, answer.code, answer.retry_after),
            Self::CutShort => EndLabel::CutShort,
            Self::Left => EndLabel::Left,
        }
    }
}

async fn send_own(shared: &Shared, call: &Call, answer: &OwnAnswer, reply: &mut Reply<'_>) -> bool {
    reply.close |= shared.drain.is_draining();
    let mut out = Vec::with_capacity(256);
    shared
        .dialect
        .encode_own(Some(call), answer, reply.close, &mut out);
    let mut stream = reply.stream;
    stream.write_all(&out).await.is_ok() && !reply.close
}

type Admitted = (Arc<Route>, Option<Arc<crate::route::KeyHolder>>, Name);

/// Finds the request's route, customer and service.
fn admit(routes: &RouteTable, received: &inbound::Received) -> Result<Admitted, OwnAnswer> {
    let call = &received.call;
    match routes.find(&call.host, &call.path, call.key.as_deref()) {
        Found::NoRoute => Err(rejected(404, "unknown-route")),
        Found::NoKey => Err(rejected(401, "unknown-key")),
        Found::Route(route, holder) => {
            let service = route.split.pick(fastrand::u64(..)).cloned();
            let service = service.ok_or_else(Shared::no_target)?;
            Ok((route, holder, service))
        }
    }
}

fn work_of(
    received: inbound::Received,
    route: Arc<Route>,
    holder: Option<Arc<crate::route::KeyHolder>>,
    service: Name,
) -> Work {
    let patience = received.call.patience.unwrap_or(LONGEST);
    Work {
        deadline: received.at + patience.min(route.timeout),
        arrived: received.at,
        call: received.call,
        body: received.body,
        route,
        holder,
        service,
    }
}

/// What the desk needs to know of a request.
fn arrival_of(shared: &Shared, work: &Work) -> Arrival {
    let route = &work.route;
    let customer = work.holder.as_ref().map(|h| h.customer.clone());
    let customer = customer.unwrap_or_default();
    let wait = work.time_left();
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    let first = route.first_event_time().map(|t| t.as_millis());
    let first = first.and_then(|ms| u64::try_from(ms).ok());
    let urgency = work.holder.as_ref().and_then(|h| h.urgency);
    let policy = Policy {
        class: class_of(urgency.unwrap_or(route.urgency)),
        first_token_ms: first.unwrap_or(wait_ms).min(wait_ms),
        total_ms: wait_ms,
        idempotent: route.is_repeatable(),
        ..Policy::default()
    };
    let prompt = work.call.prompt.as_ref();
    let weights = prompt.map_or_else(SmallVec::new, |p| shared.versions.allowed(&p.model));
    let shared_part = prompt.and_then(crate::gateway::Prompt::last_shared);
    let affinity = shared_part.map_or(&*work.call.id, |part| &*part.id);
    Arrival {
        id: shared.desk.next_id(),
        fingerprint: fingerprint(work, &customer),
        affinity: BlockKey::from_bytes(*blake3::hash(affinity.as_bytes()).as_bytes()),
        tokens: prompt.map_or(0, |p| p.input_tokens),
        shared_tokens: prompt.map_or(0, crate::gateway::Prompt::shared_tokens),
        kept_tokens: weights
            .iter()
            .map(|w| kept_tokens(shared, work, w))
            .collect(),
        output_tokens: prompt.map_or(0, |p| p.output_tokens),
        weights,
        customer,
        serves: work.service.clone(),
        policy: Arc::new(policy),
        attempts: route.attempts,
        resumable: route.is_resumable(),
    }
}

/// Tokens of a prompt that a target with these weights can fetch from stores.
fn kept_tokens(shared: &Shared, work: &Work, weights: &str) -> u32 {
    let (Some(prompt), Some(version)) = (&work.call.prompt, version_of(weights)) else {
        return 0;
    };
    let scope = work.cache_scope(version);
    let (now, kept) = (shared.now(), shared.kept());
    let parts = prompt.shared_parts().iter();
    let whole = parts.take_while(|p| kept.holds(now, &scope, &p.id));
    whole.map(|p| p.tokens).sum()
}

fn class_of(urgency: u8) -> Class {
    match urgency {
        0 => Class::Interactive,
        1 => Class::Standard,
        _ => Class::Patient,
    }
}

/// Hash of customer, path and body.
fn fingerprint(work: &Work, customer: &str) -> BlockKey {
    let mut hasher = blake3::Hasher::new();
    for part in [customer, &*work.call.method, &*work.call.path] {
        hasher.update(part.as_bytes()).update(&[0]);
    }
    hasher.update(work.body.as_deref().unwrap_or_default());
    BlockKey::from_bytes(*hasher.finalize().as_bytes())
}

/// A request between its arrival and its final answer.
struct Request<'a> {
    shared: &'a Arc<Shared>,
    work: &'a Work,
    waiter: Waiter,
    /// A target's own failure, passed on if nothing better comes.
    kept: Option<(AnswerHead, Vec<u8>)>,
    /// Whether any byte of it may have reached a target.
    handed_over: bool,
    /// Whether the caller left while a run that may not be repeated goes on.
    given_up: bool,
    trail: Trail,
}

/// What comes next.
enum Next {
    Effect(Effect),
    Late,
    Left,
}

impl Request<'_> {
    async fn run(&mut self, reply: &mut Reply<'_>, inbound: &mut Inbound) -> End {
        loop {
            let next = {
                let effect = async { Next::Effect(self.waiter.next().await) };
                let left = async {
                    inbound.left().await;
                    Next::Left
                };
                effect.or(self.late()).or(left).await
            };
            match next {
                Next::Effect(Effect::Dispatch {
                    attempt,
                    target,
                    address,
                    weights,
                    neighbour,
                    ..
                }) => {
                    let chosen = Chosen {
                        neighbour,
                        number: attempt,
                        weights: version_of(&weights),
                        target,
                        address,
                    };
                    if let Some(end) = self.attempt(&chosen, reply, inbound).await {
                        return end;
                    }
                }
                Next::Effect(Effect::Refuse { refusal, .. }) => {
                    return self.refused(&refusal, reply);
                }
                Next::Effect(_) => {}
                Next::Late => return self.lateness(reply),
                Next::Left => return End::Left,
            }
        }
    }

    async fn late(&self) -> Next {
        coarse_sleep(self.work.time_left()).await;
        Next::Late
    }

    fn lateness(&self, reply: &Reply<'_>) -> End {
        if reply.head_sent {
            return End::CutShort;
        }
        End::Own(late(self.handed_over))
    }

    /// Runs one attempt; `None` when the desk decides what comes next.
    async fn attempt(
        &mut self,
        chosen: &Chosen,
        reply: &mut Reply<'_>,
        inbound: &mut Inbound,
    ) -> Option<End> {
        if self.given_up {
            return Some(End::Left);
        }
        let before = std::mem::replace(&mut self.handed_over, true);
        let goes_on = !self.work.route.is_repeatable() && !self.work.route.is_streaming();
        let started = Instant::now();
        let kept = AtomicUsize::new(0);
        let result = {
            let attempt = Attempt {
                kept: &kept,
                shared: self.shared,
                work: self.work,
                chosen,
                waiter: &self.waiter,
            };
            let run = async { Ok(attempt.run(reply).await) };
            let cancelled = async {
                loop {
                    if let Effect::Cancel { .. } = self.waiter.next().await {
                        return Err(Next::Effect(Effect::Cancel {
                            id: crate::decide::RequestId(0),
                            attempt: 0,
                        }));
                    }
                }
            };
            let left = async {
                inbound.left().await;
                if goes_on {
                    std::future::pending::<()>().await;
                }
                Err(Next::Left)
            };
            let late = async { Err(self.late().await) };
            run.or(cancelled).or(late).or(left).await
        };
        let result = match result {
            Ok(result) => result,
            Err(Next::Late) => {
                self.note(chosen, started, &kept, Some("late".into()));
                return Some(self.lateness(reply));
            }
            Err(Next::Left) => return Some(End::Left),
            // The desk has ended the attempt already.
            Err(Next::Effect(_)) => {
                self.note(chosen, started, &kept, Some("cancelled".into()));
                return None;
            }
        };
        match result {
            Ok(received) => {
                self.note(chosen, started, &kept, None);
                self.received(chosen, received)
            }
            Err(Fault::CallerLeft) => Some(End::Left),
            Err(fault) => {
                self.note(chosen, started, &kept, Some(fault.to_string()));
                self.handed_over = before || matches!(fault, Fault::Broken(_));
                self.failed(chosen, &fault);
                None
            }
        }
    }

    fn note(
        &mut self,
        chosen: &Chosen,
        started: Instant,
        kept: &AtomicUsize,
        fault: Option<String>,
    ) {
        let kept = kept.load(Ordering::Relaxed);
        self.trail.push(Step {
            target: chosen.target.clone(),
            weights: chosen.weights,
            after: started.saturating_duration_since(self.work.arrived),
            took: started.elapsed(),
            kept: (kept / SAVED, kept % SAVED),
            fault,
        });
    }

    fn received(&mut self, chosen: &Chosen, received: Received) -> Option<End> {
        match received {
            Received::Streamed => {
                self.waiter.ended(chosen.number, AttemptOutcome::Done);
                Some(End::Streamed)
            }
            Received::Whole(head, body)
                if head.status >= 500 && self.work.route.is_repeatable() =>
            {
                self.kept = Some((head, body));
                self.waiter.ended(chosen.number, AttemptOutcome::Faulty);
                None
            }
            Received::Whole(head, body) => {
                let outcome = if head.status >= 500 {
                    AttemptOutcome::Faulty
                } else {
                    self.waiter.first_token(chosen.number);
                    AttemptOutcome::Done
                };
                self.waiter.ended(chosen.number, outcome);
                Some(End::Whole(head, body))
            }
        }
    }

    fn failed(&self, chosen: &Chosen, fault: &Fault) {
        if let Fault::Refused(facts) = fault
            && facts.run == RunWord::Misdirected
        {
            let other = facts.target.as_ref().is_some_and(|t| *t != chosen.target);
            let signal = if other {
                Signal::Leaving
            } else {
                Signal::Reachable
            };
            let _ = self.shared.signals.try_send(TargetWord {
                target: chosen.target.clone(),
                signal,
                weights: facts.weights.or(Some(0)).filter(|_| !other),
            });
        }
        self.waiter.ended(chosen.number, fault.outcome());
    }

    fn refused(&mut self, refusal: &Refusal, reply: &Reply<'_>) -> End {
        if reply.head_sent {
            return End::CutShort;
        }
        match self.kept.take() {
            Some((head, body)) => End::Whole(head, body),
            None => End::Own(refused(refusal)),
        }
    }
}

/// The number in a label of weights such as `model/3`.
fn version_of(label: &str) -> Option<u64> {
    label.rsplit_once('/')?.1.parse().ok()
}

impl Work {
    /// Time since the request arrived.
    pub(crate) fn age(&self) -> Duration {
        Instant::now().saturating_duration_since(self.arrived)
    }
}
