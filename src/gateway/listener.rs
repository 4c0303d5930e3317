//! Accepts and serves callers' connections.

use std::net::{Shutdown, TcpListener, TcpStream};

use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::clock::coarse_sleep;
use crate::gateway::refusal::rejected;
use crate::gateway::request_reader::{ReceiveError, RequestReader};
use crate::gateway::serve::serve;
use crate::gateway::shared::Shared;
use crate::http::enable_dead_peer_detection;
use crate::latch::Latch;
use crate::prelude::*;

/// Delay after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time for which bytes are still read after the last response, since closing with unread bytes
/// resets the connection and may destroy the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Accepts connections until `stop` is set.
pub(crate) async fn accept(
    listener: Async<TcpListener>,
    shared: Arc<Shared>,
    ex: Arc<Executor<'static>>,
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
            Some(Ok((stream, _))) => spawn(stream, &shared, &ex),
            Some(Err(err)) => {
                log::warn!("event=accept_failed error={:?}", err.to_string());
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Closing the listener would reset connections that are established but not accepted yet.
    while let Ok((stream, _)) = listener.get_ref().accept() {
        if let Ok(stream) = Async::new(stream) {
            spawn(stream, &shared, &ex);
        }
    }
}

fn spawn(stream: Async<TcpStream>, shared: &Arc<Shared>, ex: &Executor<'static>) {
    enable_dead_peer_detection(stream.get_ref());
    ex.spawn(serve_connection(stream, shared.clone())).detach();
}

async fn serve_connection(stream: Async<TcpStream>, shared: Arc<Shared>) {
    let _open = shared.drain.count_connection();
    let stream = Arc::new(stream);
    let mut reader = RequestReader::new(stream.clone());
    loop {
        if reader.wait_for_request(&shared).await.is_err() {
            return;
        }
        let running = shared.drain.count_request();
        let keep = match reader.receive(&shared).await {
            Ok(received) => serve(&shared, received, &stream, &mut reader).await,
            Err(ReceiveError::ConnectionClosed) => return,
            Err(ReceiveError::Rejected(status, code)) => {
                let mut out = Vec::new();
                let local_response = rejected(status, code);
                shared
                    .dialect
                    .encode_local_response(None, &local_response, true, &mut out);
                log::info!("event=request_rejected status={status} reason={code}");
                let _ = (&*stream).write_all(&out).await;
                false
            }
        };
        drop(running);
        if !keep {
            return linger(&stream).await;
        }
    }
}

/// Closes a connection gracefully: reads what the caller still sends, so that the last response
/// is not lost to a reset.
async fn linger(stream: &Async<TcpStream>) {
    if stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let mut chunk = [0; 512];
    let mut input = stream;
    let drain = async { while matches!(input.read(&mut chunk).await, Ok(n) if n > 0) {} };
    drain.or(coarse_sleep(LINGER_TIMEOUT)).await;
}
