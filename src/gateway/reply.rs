//! The answer to one caller.

use std::io::Write;
use std::net::TcpStream;
use std::time::Instant;

use async_io::Async;
use futures_lite::AsyncWriteExt;

use crate::gateway::RawEvent;
use crate::gateway::answer::AnswerHead;
use crate::gateway::attempt::Fault;

/// The answer to one caller over all attempts.
pub(crate) struct Reply<'a> {
    /// The caller's connection.
    pub stream: &'a Async<TcpStream>,
    /// Whether the connection ends with this answer.
    pub close: bool,
    /// Whether the head of a stream was sent.
    pub head_sent: bool,
    /// Last event sent, or the last that the caller had of an earlier answer.
    pub last_event: Option<u64>,
    /// When the first event was sent.
    pub first_at: Option<Instant>,
}

impl Reply<'_> {
    async fn write(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        let mut stream = self.stream;
        let written = stream.write_all(bytes).await;
        written.map_err(|_| Fault::CallerLeft)
    }

    /// Sends events in one chunk, with the head before the first.
    pub(crate) async fn send_events(
        &mut self,
        head: &AnswerHead,
        events: &[RawEvent],
    ) -> Result<(), Fault> {
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
        self.first_at.get_or_insert_with(Instant::now);
        self.write(&out).await
    }

    /// Ends a stream as complete.
    pub(crate) async fn end_stream(&mut self, head: &AnswerHead) -> Result<(), Fault> {
        let mut out = Vec::new();
        if !self.head_sent {
            head.write_chunked(self.close, &mut out);
            self.head_sent = true;
        }
        out.extend_from_slice(b"0\r\n\r\n");
        self.write(&out).await
    }

    /// Sends a whole answer of a target.
    pub(crate) async fn send_whole(&mut self, head: &AnswerHead, body: &[u8]) -> Result<(), Fault> {
        let mut out = Vec::with_capacity(body.len() + 512);
        head.write_whole(body.len(), self.close, &mut out);
        out.extend_from_slice(body);
        self.write(&out).await
    }
}
