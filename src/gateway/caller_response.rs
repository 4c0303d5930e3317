//! The response to one caller.

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::time::Instant;

use async_io::Async;
use futures_lite::{AsyncWriteExt, FutureExt};
use socket2::SockRef;

use crate::gateway::RawEvent;
use crate::gateway::attempt_error::AttemptError;
use crate::gateway::caller_room::CallerRoom;
use crate::gateway::response_head::ResponseHead;
use crate::prelude::*;

/// Largest body that is copied to be sent in one write with its head, in bytes.
const MAX_COPIED_BYTES: usize = 16 * 1024;

/// Sends the response to one caller, across all attempts.
pub(crate) struct CallerResponse<'a> {
    /// The caller's connection.
    pub stream: &'a Async<TcpStream>,
    /// The memory that the connection holds.
    pub room: &'a CallerRoom,
    /// Whether the connection closes after this response.
    pub close: bool,
    /// Whether the head of a streamed response was sent.
    pub head_sent: bool,
    /// ID of the last event sent, or of the last that the caller received in an earlier response.
    pub last_event: Option<u64>,
    /// Software version at which the stream began; `None` before its first event.
    pub software: Option<Name>,
    /// When the first event was sent.
    pub first_event_at: Option<Instant>,
}

/// Ends the mark of a response of which the caller takes no bytes when it is dropped.
struct StalledResponse<'a>(&'a CallerRoom);

impl Drop for StalledResponse<'_> {
    fn drop(&mut self) {
        self.0.resume_response();
    }
}

impl CallerResponse<'_> {
    /// Sends bytes. A caller that takes none for long is cut off if others need its place or its memory.
    pub(crate) async fn write(&self, bytes: &[u8]) -> Result<(), AttemptError> {
        let evicted = async {
            self.room.evicted().await;
            // What the system still holds for the caller is dropped as well.
            let _ = SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO));
            Err(AttemptError::CallerLeft)
        };
        self.write_all(bytes).or(evicted).await
    }

    async fn write_all(&self, mut bytes: &[u8]) -> Result<(), AttemptError> {
        let mut stream = self.stream;
        let mut stalled = None;
        while !bytes.is_empty() {
            let written = match stream.get_ref().write(bytes) {
                Err(err) if err.kind() == ErrorKind::WouldBlock => {
                    self.room.stall_response();
                    stalled.get_or_insert_with(|| StalledResponse(self.room));
                    stream.write(bytes).await
                }
                written => written,
            };
            match written {
                Ok(0) => return Err(AttemptError::CallerLeft),
                Ok(written) => bytes = &bytes[written..],
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(AttemptError::CallerLeft),
            }
        }
        drop(stalled);
        Ok(())
    }

    /// Sends events in one chunk, preceded by the head if it was not sent yet.
    pub(crate) async fn send_events(
        &mut self,
        head: &ResponseHead,
        events: &[RawEvent],
    ) -> Result<(), AttemptError> {
        let mut out = Vec::with_capacity(512);
        if !self.head_sent {
            head.write_chunked(self.close, &mut out);
        }
        let len: usize = events.iter().map(|e| e.bytes.len()).sum();
        let _ = write!(out, "{len:x}\r\n");
        for event in events {
            out.extend_from_slice(&event.bytes);
            self.last_event = event.id.or(self.last_event);
        }
        out.extend_from_slice(b"\r\n");
        self.head_sent = true;
        self.first_event_at.get_or_insert_with(Instant::now);
        self.write(&out).await
    }

    /// Ends a complete stream with the last chunk.
    pub(crate) async fn end_stream(&mut self, head: &ResponseHead) -> Result<(), AttemptError> {
        let mut out = Vec::new();
        if !self.head_sent {
            head.write_chunked(self.close, &mut out);
            self.head_sent = true;
        }
        out.extend_from_slice(b"0\r\n\r\n");
        self.write(&out).await
    }

    /// Sends a complete response of a target.
    pub(crate) async fn send_complete(
        &mut self,
        head: &ResponseHead,
        body: &[u8],
    ) -> Result<(), AttemptError> {
        let mut out = Vec::with_capacity(512);
        head.write_complete(body.len(), self.close, &mut out);
        if body.len() > MAX_COPIED_BYTES {
            self.write(&out).await?;
            return self.write(body).await;
        }
        out.extend_from_slice(body);
        self.write(&out).await
    }
}
