//! Accepts and serves callers' connections.

use std::net::{Shutdown, TcpListener, TcpStream};
use std::panic::{AssertUnwindSafe, resume_unwind};

use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::clock::coarse_sleep;
use crate::gateway::LocalResponse;
use crate::gateway::caller_room::CallerRoom;
use crate::gateway::request_reader::{ReceiveError, RequestReader};
use crate::gateway::serve::serve;
use crate::gateway::shared::Shared;
use crate::http::enable_dead_peer_detection;
use crate::latch::Latch;
use crate::prelude::*;
use crate::supervisor::Supervisor;
use crate::telemetry::LogValue;

/// Delay after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without a byte after which a connection closes after its last response. Until then bytes are
/// read, since closing with unread bytes resets the connection and may destroy the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for which such bytes are read.
const MAX_LINGER_TIME: Duration = Duration::from_secs(3);
/// The same time if others need the connection's place.
const EVICTED_LINGER_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of bytes that are read in that time.
const MAX_LINGER_BYTES: usize = 16 * 1024 * 1024;
/// Size of such a read, in bytes.
const LINGER_READ_SIZE: usize = 4 * 1024;

/// Accepts connections until `stop` is set.
pub(crate) async fn accept(
    listener: Arc<Async<TcpListener>>,
    shared: Arc<Shared>,
    supervisor: Supervisor,
    stop: Latch,
) {
    loop {
        let accepted = async { Some(listener.accept().await) };
        let stopped = async {
            stop.wait().await;
            None
        };
        match accepted.or(stopped).await {
            None => break,
            Some(Ok((stream, _))) => spawn(stream, &shared, &supervisor),
            Some(Err(err)) => {
                log::warn!("event=accept_failed error={:?}", err.to_string());
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Closing the listener would reset connections that are established but not accepted yet.
    while let Ok((stream, _)) = listener.get_ref().accept() {
        if let Ok(stream) = Async::new(stream) {
            spawn(stream, &shared, &supervisor);
        }
    }
}

/// Serves a connection if there is a place for it; otherwise it is closed.
fn spawn(stream: Async<TcpStream>, shared: &Arc<Shared>, supervisor: &Supervisor) {
    let Some(permit) = shared.intake.open() else {
        return;
    };
    let room = Arc::new(CallerRoom::new(permit));
    enable_dead_peer_detection(stream.get_ref());
    supervisor.spawn(
        "caller_connection",
        serve_connection(stream, room, shared.clone()),
    );
}

async fn serve_connection(stream: Async<TcpStream>, room: Arc<CallerRoom>, shared: Arc<Shared>) {
    let _open = shared.drain.count_connection();
    let stream = Arc::new(stream);
    let mut reader = RequestReader::new(stream.clone(), room.clone());
    loop {
        if reader.wait_for_request(&shared).await.is_err() {
            return;
        }
        let running = shared.drain.count_request();
        let keep = match reader.receive(&shared).await {
            Ok(received) => {
                let id = received.head.id.clone();
                AssertUnwindSafe(serve(&shared, received, &stream, &room, &mut reader))
                    .catch_unwind()
                    .await
                    .unwrap_or_else(|panic| {
                        log::error!("event=request_panicked request={}", LogValue(&id));
                        resume_unwind(panic)
                    })
            }
            Err(ReceiveError::ConnectionClosed) => return,
            Err(ReceiveError::Rejected(local_response)) => {
                reader.finish_request(false);
                reject(&shared, &stream, &local_response).await;
                drop(running);
                return linger(&stream, &room).await;
            }
        };
        drop(running);
        if !reader.finish_request(keep) {
            return linger(&stream, &room).await;
        }
    }
}

/// Answers a request that was not received whole.
async fn reject(shared: &Shared, mut stream: &Async<TcpStream>, response: &LocalResponse) {
    let mut out = Vec::new();
    shared
        .dialect
        .encode_local_response(None, response, true, &mut out);
    if shared.permits_unsent_refusal_line() {
        log::info!(
            "event=request_rejected status={} reason={}",
            response.status,
            response.code
        );
    }
    let sent = async {
        let _ = stream.write_all(&out).await;
    };
    sent.or(coarse_sleep(LINGER_TIMEOUT)).await;
}

/// Closes a connection gracefully: reads what the caller still sends, so that the last response
/// is not lost to a reset.
async fn linger(stream: &Async<TcpStream>, room: &CallerRoom) {
    if stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let mut chunk = vec![0; LINGER_READ_SIZE];
    let mut input = stream;
    let drain = async {
        let mut left = MAX_LINGER_BYTES;
        loop {
            let silence = async {
                coarse_sleep(LINGER_TIMEOUT).await;
                Ok(0)
            };
            match input.read(&mut chunk).or(silence).await {
                Ok(read @ 1..) if read < left => left -= read,
                _ => return,
            }
            yield_now().await;
        }
    };
    let evicted = async {
        room.evicted().await;
        coarse_sleep(EVICTED_LINGER_TIMEOUT).await;
    };
    drain.or(coarse_sleep(MAX_LINGER_TIME)).or(evicted).await;
}
