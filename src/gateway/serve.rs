//! Serves one request: attempts as the desk decides, until a final answer.

use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use async_io::Async;
use futures_lite::{AsyncWriteExt, FutureExt};

use crate::clock::coarse_sleep;
use crate::gateway::answer::AnswerHead;
use crate::gateway::arrival::{arrival_of, version_of};
use crate::gateway::attempt::{Attempt, Chosen, Fault, Received, SAVED, Work};
use crate::gateway::inbound::{self, Inbound};
use crate::gateway::refusal::{late, refused, rejected, unconfigured};
use crate::gateway::reply::Reply;
use crate::gateway::shared::{Shared, TargetWord};
use crate::gateway::trail::{EndLabel, Step, Trail};
use crate::gateway::{Call, OwnAnswer, RunWord};
use crate::prelude::*;
use crate::route::{Found, Route, RouteTable};
use crate::scheduler::{AttemptOutcome, Effect, Refusal, Signal};
use crate::shared_scheduler::RequestHandle;

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
        waiter: shared.scheduler.submit_request(arrival_of(shared, &work)),
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
    trail.note_end(shared, &work, &end.label(), &reply);
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

/// A request between its arrival and its final answer.
struct Request<'a> {
    shared: &'a Arc<Shared>,
    work: &'a Work,
    waiter: RequestHandle,
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
                let effect = async { Next::Effect(self.waiter.next_effect().await) };
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
                    estimate,
                    ..
                }) => {
                    let chosen = Chosen {
                        neighbour,
                        belief: estimate,
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
                    if let Effect::Cancel { .. } = self.waiter.next_effect().await {
                        return Err(Next::Effect(Effect::Cancel {
                            id: crate::scheduler::RequestId(0),
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
            Err(Next::Left) => {
                self.note(chosen, started, &kept, Some("caller-left".into()));
                return Some(End::Left);
            }
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
            Err(fault @ Fault::CallerLeft) => {
                self.note(chosen, started, &kept, Some(fault.to_string()));
                Some(End::Left)
            }
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
            belief: chosen.belief,
            fault,
        });
    }

    fn received(&mut self, chosen: &Chosen, received: Received) -> Option<End> {
        match received {
            Received::Streamed => {
                self.waiter.report_end(chosen.number, AttemptOutcome::Done);
                Some(End::Streamed)
            }
            Received::Whole(head, body)
                if head.status >= 500 && self.work.route.is_repeatable() =>
            {
                self.kept = Some((head, body));
                self.waiter
                    .report_end(chosen.number, AttemptOutcome::TargetError);
                None
            }
            Received::Whole(head, body) => {
                let outcome = if head.status >= 500 {
                    AttemptOutcome::TargetError
                } else {
                    self.waiter.report_first_token(chosen.number);
                    AttemptOutcome::Done
                };
                self.waiter.report_end(chosen.number, outcome);
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
        self.waiter.report_end(chosen.number, fault.outcome());
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

impl Work {
    /// Time since the request arrived.
    pub(crate) fn age(&self) -> Duration {
        Instant::now().saturating_duration_since(self.arrived)
    }
}
