//! A single attempt of a request at a target.

mod encoding;
mod progress;
mod send_check;
mod stream;

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

use futures_lite::FutureExt;

use crate::domain_scheduler::ScheduledRequest;
use crate::gateway::admitted_request::AdmittedRequest;
use crate::gateway::attempt_error::{AttemptError, TargetResponse};
use crate::gateway::caller_response::CallerResponse;
use crate::gateway::connection_pool::ConnectionNeeds;
use crate::gateway::response_head::ResponseHead;
use crate::gateway::response_reader::{ResponseError, ResponseReader};
use crate::gateway::shared::{Shared, TargetObservation};
use crate::gateway::target_connection::TargetConnection;
use crate::gateway::target_limits::Exchange;
use crate::gateway::target_paths::ExchangeGuard;
use crate::gateway::target_stream::TargetStream;
use crate::gateway::{
    ConnectionHistory, ExpectedResponse, ResponseInfo, ResponseMeaning, TargetPresence,
};
use crate::prelude::*;
use crate::reachability::Path;
use crate::scheduler::{Event, LoadEstimate, Signal};

pub(crate) use progress::AttemptProgress;

/// Largest head and body that are sent in one write, in bytes.
const MAX_SINGLE_WRITE_BYTES: usize = 16 * 1024;

/// Target and weight version that the scheduler assigned to an attempt.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    /// Number of the attempt, from one.
    pub number: u32,
    /// Name of the target.
    pub target: Name,
    /// Address of the target.
    pub address: SocketAddr,
    /// Weight version that must run the request; `None` for plain services.
    pub weights: Option<u64>,
    /// Version of the target's software; empty when unknown.
    pub software: Name,
    /// Another target that is more likely to have the start of the prompt cached.
    pub neighbour: Option<SocketAddr>,
    /// Whether the scheduler counted the request against a limit of the target.
    pub within_limit: bool,
    /// Whether the scheduler counted the request against what the target takes while it warms up.
    pub within_warm_up: bool,
    /// Load estimate by which the target was chosen, for the log.
    pub estimate: LoadEstimate,
}

/// A response of a target, and what it means for the request.
struct Received {
    response: TargetResponse,
    meaning: ResponseMeaning,
    info: ResponseInfo,
}

/// Whether bytes that are no response arrived on a connection that had carried other requests.
fn is_malformed_on_kept(
    received: &Result<Received, AttemptError>,
    history: ConnectionHistory,
) -> bool {
    let malformed = ResponseError::Malformed;
    history != ConnectionHistory::New
        && matches!(received, Err(AttemptError::Response(error)) if *error == malformed)
}

/// Resets the connection when dropped before the exchange has completed.
struct ResetOnDrop<'a>(Option<&'a TargetStream>);

impl Drop for ResetOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(stream) = self.0 {
            stream.reset_on_drop();
        }
    }
}

/// A single attempt of a request at a target.
pub(crate) struct Attempt<'a> {
    /// Shared state of the gateway.
    pub shared: &'a Shared,
    /// Request to send.
    pub request: &'a AdmittedRequest,
    /// Target and weight version.
    pub assignment: &'a Assignment,
    /// How far it has come.
    pub progress: &'a AttemptProgress,
    /// The scheduler's handle of the request, to which the first event is reported.
    pub handle: &'a ScheduledRequest,
}

impl Attempt<'_> {
    /// Sends the request and receives the response; streams are relayed as they arrive.
    pub(crate) async fn run(
        &self,
        response: &mut CallerResponse<'_>,
    ) -> Result<TargetResponse, AttemptError> {
        let run_once = !self.request.route.is_repeatable();
        // A request that an idle connection loses is sent again, which a limit does not allow for.
        let idle = if self.assignment.within_limit || self.assignment.within_warm_up {
            None
        } else {
            let needs = ConnectionNeeds {
                request: &self.request.head.id,
                run_once,
                kept: !run_once || self.permits_kept(),
                relays: self.request.allowed_relays(),
            };
            let connections = &self.shared.connections;
            connections.take(self.assignment.address, needs)
        };
        if let Some(connection) = idle {
            let result = self.exchange(connection, response).await;
            return match result {
                // The target may have closed the idle connection meanwhile, which is no failure of
                // the target.
                Err(error) if !run_once && error.may_be_of_idle_connection() => {
                    let retried = self.run_on_new_connection(response).await;
                    // The target may have run the request that it received on the idle connection.
                    retried.map_err(|again| if again.is_not_run() { error } else { again })
                }
                result => result,
            };
        }
        self.run_on_new_connection(response).await
    }

    /// Records how the target told which request its responses belong to.
    fn record_conduct(
        &self,
        reader: &ResponseReader<'_>,
        received: &Result<Received, AttemptError>,
        history: ConnectionHistory,
    ) {
        let (conduct, service) = (&self.shared.conduct, &self.request.service);
        if reader.has_unnamed() {
            conduct.record_unnamed(self.shared.now(), service);
        } else if reader.has_foreign() || is_malformed_on_kept(received, history) {
            conduct.record_unassigned(self.shared.now(), service);
        } else if let Ok(received) = received {
            if received.meaning == ResponseMeaning::NotRun {
                conduct.record_named_refusal(service);
            } else {
                conduct.record_named(service);
            }
        }
    }

    /// Whether what the targets of the service sent lets a request that must not run twice use a
    /// connection that carried others.
    fn permits_kept(&self) -> bool {
        let now = self.shared.now();
        self.shared.conduct.permits_kept(now, &self.request.service)
    }

    /// Sends the request on a new connection.
    async fn run_on_new_connection(
        &self,
        response: &mut CallerResponse<'_>,
    ) -> Result<TargetResponse, AttemptError> {
        let Assignment {
            target, address, ..
        } = self.assignment;
        let relays = self.request.allowed_relays();
        let stream = self.shared.connect_to_target(target, *address, relays);
        let stream = stream.await.ok_or_else(|| {
            // Other requests may reach the target through peers that must not see this one.
            if relays.is_some() && self.shared.paths.path(target) == Path::Relayed {
                AttemptError::OutsideRegions
            } else {
                AttemptError::NotSent
            }
        })?;
        self.exchange(stream.into(), response).await
    }

    async fn exchange(
        &self,
        mut connection: TargetConnection,
        response: &mut CallerResponse<'_>,
    ) -> Result<TargetResponse, AttemptError> {
        let history = connection.history(&self.request.head.id);
        let stream = &connection.stream;
        // Waiting in a queue and connecting may have taken long.
        if let Err(error) = self.check_send(response) {
            let addr = self.assignment.address;
            self.shared.connections.put(addr, connection, None);
            return Err(error);
        }
        let head = match self.encode(response) {
            Ok(head) => head,
            Err(error) => {
                let addr = self.assignment.address;
                self.shared.connections.put(addr, connection, None);
                return Err(error);
            }
        };
        self.progress.record_sent(history, stream.peer());
        let sent_completely = AtomicBool::new(false);
        let send = async {
            let written = self.send(stream, &head).await;
            // The reading side reports a failure as well, after an early response if there is one.
            sent_completely.store(written.is_ok(), Ordering::Release);
            std::future::pending().await
        };
        let mut reset_on_drop = ResetOnDrop(Some(stream));
        let target = &self.assignment.target;
        let own = stream.peer().is_none();
        let exchange = own.then(|| self.shared.paths.begin_exchange(self.shared.now(), target));
        let mut reader = ResponseReader::new(stream, || {
            if let Some(exchange) = &exchange {
                exchange.record_bytes(self.shared.now());
            }
        });
        let received = self.receive(&mut reader, response, history);
        let hanging = self.until_path_lost(exchange.as_ref());
        let received = received.or(send).or(hanging).await;
        self.record_conduct(&reader, &received, history);
        let Received {
            response,
            meaning,
            info,
        } = received?;
        if meaning != ResponseMeaning::Doubtful {
            reset_on_drop.0 = None;
        }
        drop(reset_on_drop);
        let reusable = reader.is_clean() && sent_completely.load(Ordering::Acquire) && !info.close;
        drop(reader);
        if reusable {
            if meaning == ResponseMeaning::NotRun {
                connection.record_refused(&self.request.head.id);
            } else {
                connection.record_answered();
            }
            let addr = self.assignment.address;
            let connections = &self.shared.connections;
            connections.put(addr, connection, info.idle_timeout);
        }
        match meaning {
            ResponseMeaning::NotRun => Err(AttemptError::Refused(info)),
            ResponseMeaning::Doubtful => Err(AttemptError::Doubtful(info)),
            ResponseMeaning::UnprovenRefusal => Ok(TargetResponse::UnprovenRefusal),
            ResponseMeaning::Answer | ResponseMeaning::Foreign => Ok(response),
        }
    }

    /// Sends the request.
    async fn send(&self, stream: &TargetStream, head: &[u8]) -> io::Result<()> {
        stream.announce_request(&self.request.head.id).await?;
        // A small body is sent in one write with the head; a large one is not copied.
        match &self.request.body {
            Some(body) if body.len() + head.len() <= MAX_SINGLE_WRITE_BYTES => {
                stream.write_all(&[head, body].concat()).await
            }
            Some(body) => {
                stream.write_all(head).await?;
                stream.write_all(body).await
            }
            None => stream.write_all(head).await,
        }
    }

    /// Completes when the own connection on which the request was sent is found to hang, unless the
    /// request must not run twice: it may still be answered.
    async fn until_path_lost<T>(
        &self,
        exchange: Option<&ExchangeGuard>,
    ) -> Result<T, AttemptError> {
        let route = &self.request.route;
        let may_go_on = route.is_repeatable() || route.is_resumable();
        match exchange.filter(|_| may_go_on) {
            Some(exchange) => exchange.until_hanging().await,
            None => std::future::pending().await,
        }
        Err(AttemptError::PathLost)
    }

    async fn receive(
        &self,
        reader: &mut ResponseReader<'_>,
        response: &mut CallerResponse<'_>,
        connection: ConnectionHistory,
    ) -> Result<Received, AttemptError> {
        let sent_at = self.shared.now();
        let expected = ExpectedResponse {
            request: &self.request.head.id,
            run_once: !self.request.route.is_repeatable(),
            connection,
        };
        let head = reader.read_head(expected, &*self.shared.dialect);
        let (head, meaning) = head.await.map_err(AttemptError::Response)?;
        self.observe(&head, sent_at);
        if head.info.encoded || (head.is_success() && !head.info.from_target) {
            return Err(AttemptError::Response(ResponseError::Malformed));
        }
        let info = head.info.clone();
        if self.request.route.is_streaming() && head.is_success() {
            self.relay_stream(&head, reader, response).await?;
            return Ok(Received {
                response: TargetResponse::Streamed,
                meaning,
                info,
            });
        }
        let body = reader
            .read_body(&head, &self.shared.response_buffers, response.room)
            .await
            .map_err(AttemptError::Response)?;
        Ok(Received {
            response: TargetResponse::Complete(head, body),
            meaning,
            info,
        })
    }

    /// Reports what a response says about its target: that it is leaving, wants a pause, is
    /// cold, or limits the requests sent to it.
    fn observe(&self, head: &ResponseHead, sent_at: Timestamp) {
        let info = &head.info;
        let target = info.target.as_ref().unwrap_or(&self.assignment.target);
        let exchange = Exchange {
            sent: sent_at,
            received: self.shared.now(),
        };
        self.shared.limits.observe(target, info, exchange);
        self.shared.brittle.observe(target, info);
        let mut signals: SmallVec<[Signal; 2]> = SmallVec::new();
        let leaving = info.presence == TargetPresence::Leaving;
        if leaving {
            signals.push(Signal::Leaving);
        }
        if let Some(cold) = info.cold.filter(|cold| !cold.is_zero()) {
            signals.push(Signal::Cold(cold));
        }
        if let Some(pause) = info.retry_after.filter(|_| head.status == 503) {
            signals.push(Signal::Pause(pause));
        }
        for signal in signals {
            // Takes effect at once here, before the control tasks have seen it.
            let event = Event::Signal {
                target: target.clone(),
                signal,
            };
            self.shared.scheduler.submit(event);
            let _ = self.shared.target_observations.try_send(TargetObservation {
                target: target.clone(),
                signal,
                weights: None,
                said_leaving: leaving,
            });
        }
    }
}
