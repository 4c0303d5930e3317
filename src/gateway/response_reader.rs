//! Reads a target's responses from a connection.

use std::io;

use futures_lite::FutureExt;
use futures_lite::future::yield_now;

use crate::clock::coarse_sleep;
use crate::gateway::caller_room::CallerRoom;
use crate::gateway::response_buffers::ResponseBuffers;
use crate::gateway::response_head::ResponseHead;
use crate::gateway::target_stream::TargetStream;
use crate::gateway::{BodyReader, ConnectionHistory, Dialect, ExpectedResponse, ResponseMeaning};
use crate::http::MessageError;
use crate::prelude::*;
use crate::telemetry::LogValue;

/// Size of a read from a socket, in bytes.
const READ_SIZE: usize = 8 * 1024;
/// Bytes after which other tasks of the thread run, since reads never wait while a target sends
/// faster than it is read.
const YIELD_BYTES: usize = 32 * 1024;
/// Longest time from the first byte of a head to its last.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of interim responses and of responses to other requests before the expected one, in
/// bytes.
const MAX_SKIPPED_BYTES: usize = 256 * 1024;
/// Maximum number of these responses.
const MAX_SKIPPED_RESPONSES: u32 = 16;

/// Why a response was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseError {
    /// The connection failed or closed before the first byte of a response.
    NoResponse,
    /// The connection failed or closed within the response.
    CutShort,
    /// The bytes are no valid response.
    Malformed,
    /// There is no memory for the response.
    NoMemory,
}

impl From<MessageError> for ResponseError {
    fn from(_: MessageError) -> Self {
        Self::Malformed
    }
}

/// Reads responses from one connection.
pub(crate) struct ResponseReader<'a> {
    stream: &'a TargetStream,
    /// Called after each read that got bytes.
    on_bytes: Box<dyn Fn() + Send + Sync + 'a>,
    raw: Vec<u8>,
    /// Whether the connection cannot be reused, since it closed or a response to another request
    /// was skipped.
    not_reusable: bool,
    /// Number of responses that were skipped.
    skipped_responses: u32,
    /// Whether a response to another request was received.
    has_foreign: bool,
    /// Whether a response without an ID was received.
    has_unnamed: bool,
    /// Bytes received so far.
    received: usize,
    /// Bytes received since other tasks last ran.
    unyielded: usize,
}

impl<'a> ResponseReader<'a> {
    /// Creates a reader of a connection, which calls `on_bytes` after each read that got bytes.
    pub(crate) fn new(stream: &'a TargetStream, on_bytes: impl Fn() + Send + Sync + 'a) -> Self {
        Self {
            stream,
            on_bytes: Box::new(on_bytes),
            raw: Vec::new(),
            not_reusable: false,
            skipped_responses: 0,
            has_foreign: false,
            has_unnamed: false,
            received: 0,
            unyielded: 0,
        }
    }

    /// Whether nothing but the response was received and the connection is open, so that it may be
    /// reused.
    pub(crate) fn is_clean(&self) -> bool {
        self.raw.is_empty() && !self.not_reusable
    }

    /// Whether a response to another request was received.
    pub(crate) fn has_foreign(&self) -> bool {
        self.has_foreign
    }

    /// Whether a response without an ID was received.
    pub(crate) fn has_unnamed(&self) -> bool {
        self.has_unnamed
    }

    /// Bytes received so far.
    pub(crate) fn received(&self) -> usize {
        self.received
    }

    /// Reads the head of the expected response; responses to other requests are skipped.
    pub(crate) async fn read_head(
        &mut self,
        mut expected: ExpectedResponse<'_>,
        dialect: &dyn Dialect,
    ) -> Result<(ResponseHead, ResponseMeaning), ResponseError> {
        loop {
            let head = self.read_any_head(dialect).await?;
            if head.is_interim() {
                self.count_skipped()?;
                continue;
            }
            let meaning = expected.meaning(head.status, &head.info);
            match head.info.request.as_deref() {
                Some(id) => self.has_foreign |= id != expected.request,
                None => self.has_unnamed = true,
            }
            if meaning != ResponseMeaning::Foreign {
                // The request's own response may follow.
                self.not_reusable |= meaning == ResponseMeaning::Doubtful;
                return Ok((head, meaning));
            }
            log::info!(
                "event=response_skipped request={} connection={} status={} of={} not_run={}",
                LogValue(expected.request),
                expected.connection.label(),
                head.status,
                LogValue(head.info.request.as_deref().unwrap_or("-")),
                head.info.run.is_not_run()
            );
            self.skip_response(&head).await?;
            if expected.connection == ConnectionHistory::New {
                expected.connection = ConnectionHistory::Kept;
            }
        }
    }

    /// Reads the next head, whether or not its response is expected.
    async fn read_any_head(
        &mut self,
        dialect: &dyn Dialect,
    ) -> Result<ResponseHead, ResponseError> {
        if self.raw.is_empty() {
            self.fill().await?;
        }
        let timeout = async {
            coarse_sleep(HEAD_TIMEOUT).await;
            Err(ResponseError::Malformed)
        };
        let read = async {
            loop {
                if let Some(head) = ResponseHead::parse(&mut self.raw, dialect)? {
                    return Ok(head);
                }
                self.fill().await?;
            }
        };
        read.or(timeout).await
    }

    /// Reads the complete body of a response.
    pub(crate) async fn read_body(
        &mut self,
        head: &ResponseHead,
        buffers: &ResponseBuffers,
        room: &CallerRoom,
    ) -> Result<Vec<u8>, ResponseError> {
        let mut body = Vec::new();
        let mut buffered = buffers.begin();
        let received_before = self.received;
        let mut reader = BodyReader::new(head.framing, head.is_bodiless());
        loop {
            hold_room(&mut body, room).await?;
            if !self.read_part(&mut reader, &mut body).await? {
                return Ok(body);
            }
            // With their coding, since tiny chunks are longer than what they carry.
            if !buffered.grow_to(self.received - received_before) {
                return Err(ResponseError::Malformed);
            }
        }
    }

    /// Appends the next bytes of a body to `out`; `false` at its end.
    pub(crate) async fn read_part(
        &mut self,
        reader: &mut BodyReader,
        out: &mut Vec<u8>,
    ) -> Result<bool, ResponseError> {
        reader.feed(&mut self.raw, out)?;
        if reader.is_done() {
            return Ok(false);
        }
        let read = self.read().await.map_err(|_| ResponseError::CutShort)?;
        if read == 0 {
            reader.end().map_err(|_| ResponseError::CutShort)?;
            self.not_reusable = true;
            return Ok(false);
        }
        reader.feed(&mut self.raw, out)?;
        Ok(!reader.is_done())
    }

    /// Skips a response to another request.
    async fn skip_response(&mut self, head: &ResponseHead) -> Result<(), ResponseError> {
        self.not_reusable = true;
        self.count_skipped()?;
        let mut reader = BodyReader::new(head.framing, head.is_bodiless());
        if reader.is_until_close() {
            return Err(ResponseError::Malformed);
        }
        let mut dropped = Vec::new();
        let mut dropped_bytes = 0;
        while self.read_part(&mut reader, &mut dropped).await? {
            dropped_bytes += dropped.len();
            if dropped_bytes > MAX_SKIPPED_BYTES {
                return Err(ResponseError::Malformed);
            }
            dropped.clear();
        }
        Ok(())
    }

    fn count_skipped(&mut self) -> Result<(), ResponseError> {
        self.skipped_responses += 1;
        if self.skipped_responses > MAX_SKIPPED_RESPONSES {
            return Err(ResponseError::Malformed);
        }
        Ok(())
    }

    async fn fill(&mut self) -> Result<(), ResponseError> {
        let begun = !self.raw.is_empty();
        match self.read().await {
            Ok(n) if n > 0 => Ok(()),
            _ if begun => Err(ResponseError::CutShort),
            _ => Err(ResponseError::NoResponse),
        }
    }

    async fn read(&mut self) -> io::Result<usize> {
        if self.unyielded >= YIELD_BYTES {
            self.unyielded = 0;
            yield_now().await;
        }
        let len = self.raw.len();
        self.raw.resize(len + READ_SIZE, 0);
        let read = self.stream.read(&mut self.raw[len..]).await;
        let n = *read.as_ref().unwrap_or(&0);
        if n > 0 {
            (self.on_bytes)();
        }
        self.raw.truncate(len + n);
        self.received += n;
        self.unyielded += n;
        read
    }
}

/// Makes room in a body for another read, once it is longer than one. Until its bytes have moved, both
/// buffers count.
async fn hold_room(body: &mut Vec<u8>, room: &CallerRoom) -> Result<(), ResponseError> {
    // What was left of the read before comes with the next one.
    let needed = body.len() + 2 * READ_SIZE;
    if body.is_empty() || needed <= body.capacity() {
        return Ok(());
    }
    let capacity = needed.max(body.capacity() * 2);
    let both = room.hold_response(body.capacity() + capacity).await;
    both.map_err(|_| ResponseError::NoMemory)?;
    let reserved = body.try_reserve_exact(capacity - body.len());
    reserved.map_err(|_| ResponseError::NoMemory)?;
    let moved = room.hold_response(capacity).await;
    moved.map_err(|_| ResponseError::NoMemory)
}
